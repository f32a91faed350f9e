//! The capacity of an emulated backend server: slots, cold start and load
//! reports.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use super::Behaviour;

/// The run and the load of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    slots: u32,
    behaviour: Behaviour,
    started: Instant,
    /// Distinguishes this run from earlier ones.
    pub(super) run_id: u64,
    /// The number of running requests.
    pub(super) in_flight: u32,
    /// The value of `in_flight` that the load endpoint reports.
    pub(super) reported_in_flight: u32,
}

impl Server {
    /// Starts a backend server with `slots` slots, in cold start unless its
    /// duration is zero.
    pub(super) fn open(slots: u32, behaviour: Behaviour) -> Server {
        Server {
            slots,
            behaviour,
            started: Instant::now(),
            run_id: wall_ms(),
            in_flight: 0,
            reported_in_flight: 0,
        }
    }

    /// Begins a new run in cold start.
    pub(super) fn restart(&mut self) {
        self.started = Instant::now();
        self.run_id = wall_ms().max(self.run_id + 1);
    }

    /// Returns the number of requests that may run now: one at first, rising
    /// linearly to all slots over the cold start.
    pub(super) fn concurrency_limit(&self) -> u32 {
        let age = self.started.elapsed();
        if age >= self.behaviour.warm_up {
            return self.slots;
        }
        let progress = age.as_secs_f64() / self.behaviour.warm_up.as_secs_f64();
        1 + (f64::from(self.slots.saturating_sub(1)) * progress) as u32
    }

    /// Returns the run time of a request, which doubles during cold start.
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
