//! What one backend server bears: slots, cold start and load reports.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use super::Behaviour;

/// The load of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    slots: u32,
    behaviour: Behaviour,
    started: Instant,
    /// Distinguishes this run from earlier ones.
    pub(super) run: u64,
    /// How many requests run.
    pub(super) in_flight: u32,
    /// What the load endpoint reports.
    pub(super) reported: u32,
}

impl Server {
    /// Starts a backend server with `slots` slots.
    pub(super) fn open(slots: u32, behaviour: Behaviour) -> Server {
        Server {
            slots,
            behaviour,
            started: Instant::now(),
            run: wall_ms(),
            in_flight: 0,
            reported: 0,
        }
    }

    /// Falls back into cold start, as after a restart.
    pub(super) fn restart(&mut self) {
        self.started = Instant::now();
        self.run = wall_ms().max(self.run + 1);
    }

    /// Returns how many requests the server bears now: one at first, growing
    /// evenly to all slots over the time of the cold start.
    pub(super) fn allowance(&self) -> u32 {
        let age = self.started.elapsed();
        if age >= self.behaviour.warm_up {
            return self.slots;
        }
        let share = age.as_secs_f64() / self.behaviour.warm_up.as_secs_f64();
        1 + (f64::from(self.slots.saturating_sub(1)) * share) as u32
    }

    /// Returns how long a request runs now. A cold server takes twice as long.
    pub(super) fn run_time(&self) -> Duration {
        if self.started.elapsed() < self.behaviour.warm_up {
            self.behaviour.run_time * 2
        } else {
            self.behaviour.run_time
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(super) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
