//! How long a refused caller should stay away.

use crate::kernel::clock::Millis;

/// The weight of a new observation is one part in this many.
const SMOOTHING: u64 = 8;

/// The shortest delay that is asked of a refused caller.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// The longest delay that is asked of a refused caller.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// A smoothed duration of the answered requests of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: Option<Millis>,
}

impl Latency {
    /// Takes in how long an answered request took.
    pub fn observe(&mut self, elapsed: Millis) {
        let mean = match self.mean {
            Some(Millis(mean)) => (mean * (SMOOTHING - 1) + elapsed.0) / SMOOTHING,
            None => elapsed.0,
        };
        self.mean = Some(Millis(mean));
    }

    /// Estimates how long a request waits behind `waiting` ones while `running`
    /// ones are under way.
    pub fn expected_wait(&self, waiting: usize, running: usize) -> Millis {
        let rounds = (waiting / running.max(1)) as u64;
        Millis(self.mean.unwrap_or_default().0.saturating_mul(rounds))
    }

    /// Estimates when a refused caller would find a free slot. Returns `None`
    /// if no request was answered yet.
    pub fn retry_after(&self, waiting: usize, running: usize) -> Option<Millis> {
        let span = self.mean?.0 + self.expected_wait(waiting, running).0;
        Some(Millis(span.clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0)))
    }
}
