//! The clock of the system, in milliseconds.

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

/// A point in monotonic time: milliseconds since the process started.
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

/// A span of time in milliseconds.
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

/// A wall-clock time: milliseconds since the Unix epoch.
///
/// Only deadlines that cross a process boundary use it. Order within a process
/// comes from [`Time`], which never steps.
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

/// Lets spans be added to points in time, and be taken between them.
macro_rules! point_in_time {
    ($name:ident) => {
        impl $name {
            /// Returns the span since `earlier`, or zero if `earlier` is in the
            /// future.
            pub fn since(self, earlier: $name) -> Millis {
                Millis(self.0.saturating_sub(earlier.0))
            }
        }

        impl Add<Millis> for $name {
            type Output = $name;

            fn add(self, span: Millis) -> $name {
                $name(self.0.saturating_add(span.0))
            }
        }

        impl Sub<Millis> for $name {
            type Output = $name;

            fn sub(self, span: Millis) -> $name {
                $name(self.0.saturating_sub(span.0))
            }
        }
    };
}

point_in_time!(Time);
point_in_time!(WallTime);

impl Millis {
    /// Returns a span of `n` seconds.
    pub const fn from_secs(n: u64) -> Millis {
        Millis(n * 1_000)
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
    fn add_assign(&mut self, span: Millis) {
        *self = *self + span;
    }
}

/// The source of time of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock whose [`Time`] begins at zero.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    /// Returns how long the machine has been suspended in all. [`Time`] stands
    /// still meanwhile.
    pub fn suspended(&self) -> Millis {
        let boot = clock_gettime(ClockId::Boottime);
        let monotonic = clock_gettime(ClockId::Monotonic);
        let millis = |t: Timespec| t.tv_sec as u64 * 1_000 + t.tv_nsec as u64 / 1_000_000;
        Millis(millis(boot)) - Millis(millis(monotonic))
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(since_epoch.as_millis() as u64)
    }
}
