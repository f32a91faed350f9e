//! Samples of the time that a backend server takes for one request.

use serde::{
    Deserialize,
    Serialize, //
};

/// Mean service time with the number of samples behind it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Number of samples; the weight of the mean.
    pub samples: u16,
    /// Mean time for one request without queueing, in milliseconds.
    pub mean_ms: u16,
}

impl ServiceTime {
    /// Adds the samples of another VM.
    pub fn merge(&mut self, other: ServiceTime) {
        let samples = u32::from(self.samples) + u32::from(other.samples);
        if samples == 0 {
            return;
        }
        let sum = u32::from(self.samples) * u32::from(self.mean_ms)
            + u32::from(other.samples) * u32::from(other.mean_ms);
        self.mean_ms = u16::try_from(sum / samples).unwrap_or(u16::MAX);
        self.samples = u16::try_from(samples).unwrap_or(u16::MAX);
    }
}
