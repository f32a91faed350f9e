//! Samples of the time that a backend server takes for one request.

use serde::{
    Deserialize,
    Serialize, //
};

/// Mean service time with the number of samples behind it, and recent responses that
/// were too fast to be samples.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Number of samples; the weight of the mean.
    pub samples: u16,
    /// Mean time for one request without queueing, in milliseconds.
    pub mean_ms: u16,
    /// Number of responses within the last second, fast ones included.
    pub answers: u16,
    /// Number of these that took far less than the service time.
    ///
    /// Invariant: at most `answers`.
    pub fast: u16,
}

impl ServiceTime {
    /// Adds the samples of another VM.
    pub fn merge(&mut self, other: ServiceTime) {
        self.answers = self.answers.saturating_add(other.answers);
        self.fast = self.fast.saturating_add(other.fast);
        let samples = u32::from(self.samples) + u32::from(other.samples);
        if samples == 0 {
            return;
        }
        let sum = u64::from(self.samples) * u64::from(self.mean_ms)
            + u64::from(other.samples) * u64::from(other.mean_ms);
        // Rounded to the nearest: truncation would lower the mean with each VM.
        let mean_ms = (sum + u64::from(samples) / 2) / u64::from(samples);
        self.mean_ms = u16::try_from(mean_ms).unwrap_or(u16::MAX);
        self.samples = u16::try_from(samples).unwrap_or(u16::MAX);
    }
}
