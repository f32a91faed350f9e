//! Latency estimate of a service, used for queueing and retry delays.

use crate::kernel::clock::Millis;

/// Inverse weight of a new sample in the moving average.
const SMOOTHING: u64 = 8;

/// Minimum retry delay sent to a refused caller.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// Maximum retry delay sent to a refused caller.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// Exponential moving average of the latency of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: Option<Millis>,
}

impl Latency {
    /// Adds the latency of an answered request.
    pub fn observe(&mut self, elapsed: Millis) {
        let mean = match self.mean {
            Some(Millis(mean)) => (mean * (SMOOTHING - 1) + elapsed.0) / SMOOTHING,
            None => elapsed.0,
        };
        self.mean = Some(Millis(mean));
    }

    /// Estimates the queueing time behind `waiting` requests when `running`
    /// requests are served at once.
    pub fn expected_wait(&self, waiting: usize, running: usize) -> Millis {
        let rounds = (waiting / running.max(1)) as u64;
        Millis(self.mean.unwrap_or_default().0.saturating_mul(rounds))
    }

    /// Estimates when a refused caller would find a free slot. Returns `None`
    /// until a request has been answered.
    pub fn retry_after(&self, waiting: usize, running: usize) -> Option<Millis> {
        let span = self.mean?.0 + self.expected_wait(waiting, running).0;
        Some(Millis(span.clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0)))
    }
}
