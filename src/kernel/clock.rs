//! Monotonic and wall-clock time with millisecond resolution.

use std::{
    ops::{
        Add,
        AddAssign,
        Sub, //
    },
    time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use derive_more::Display;
use rustix::time::{
    ClockId,
    Timespec,
    clock_gettime, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Monotonic timestamp: milliseconds since the [`Clock`] was started.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct Time(pub u64);

/// Duration in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct Millis(pub u64);

/// Wall-clock timestamp: milliseconds since the Unix epoch.
///
/// Used only for values that cross a process boundary, such as deadlines.
/// Within a process, use [`Time`], which never jumps.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct WallTime(pub u64);

/// Implements saturating arithmetic between a timestamp type and [`Millis`].
macro_rules! impl_timestamp {
    ($name:ident) => {
        impl $name {
            /// Returns the time elapsed since `earlier`, or zero if `earlier`
            /// is later than `self`.
            pub fn since(self, earlier: $name) -> Millis {
                Millis(self.0.saturating_sub(earlier.0))
            }
        }

        impl Add<Millis> for $name {
            type Output = $name;

            fn add(self, duration: Millis) -> $name {
                $name(self.0.saturating_add(duration.0))
            }
        }

        impl Sub<Millis> for $name {
            type Output = $name;

            fn sub(self, duration: Millis) -> $name {
                $name(self.0.saturating_sub(duration.0))
            }
        }
    };
}

impl_timestamp!(Time);
impl_timestamp!(WallTime);

impl Millis {
    /// Converts whole seconds to milliseconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs * 1_000)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl AddAssign<Millis> for Time {
    fn add_assign(&mut self, duration: Millis) {
        *self = *self + duration;
    }
}

/// Source of monotonic and wall-clock time for one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock; its monotonic time begins at zero.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Returns the monotonic time since [`Clock::start`].
    pub fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    /// Returns the total time that the machine has been suspended since boot.
    ///
    /// [`Time`] does not advance while the machine is suspended.
    pub fn suspended(&self) -> Millis {
        let boottime = clock_gettime(ClockId::Boottime);
        let monotonic = clock_gettime(ClockId::Monotonic);
        let millis = |t: Timespec| t.tv_sec as u64 * 1_000 + t.tv_nsec as u64 / 1_000_000;
        Millis(millis(boottime)) - Millis(millis(monotonic))
    }

    /// Returns the wall-clock time, or zero if the system clock is set before
    /// the epoch.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(since_epoch.as_millis() as u64)
    }
}
