//! Samples of the time that a backend server takes for one request.

use serde::{
    Deserialize,
    Serialize, //
};

/// Largest number of recent responses on the wire; a larger one is scaled down.
const MAX_WIRE_ANSWERS: u16 = 10;

/// Base of the packed numbers of recent responses.
const WIRE_BASE: u16 = MAX_WIRE_ANSWERS + 1;

/// Mean service time with the number of samples behind it, and the recent responses
/// that were far off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Number of samples; the weight of the mean.
    pub samples: u16,
    /// Mean time for one request without queueing, in milliseconds.
    pub mean_ms: u16,
    /// Number of responses within the last second, all included.
    pub answers: u16,
    /// Number of these that took far less than the service time.
    ///
    /// Invariant: at most `answers`.
    pub fast: u16,
    /// Number of these that took far longer than the mean.
    ///
    /// Invariant: with `fast`, at most `answers`.
    pub slow: u16,
}

impl ServiceTime {
    /// Adds the samples of another VM.
    pub fn merge(&mut self, other: ServiceTime) {
        self.answers = self.answers.saturating_add(other.answers);
        self.fast = self.fast.saturating_add(other.fast);
        self.slow = self.slow.saturating_add(other.slow);
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

    /// Packs the recent responses into two bytes of a message with many entries.
    pub fn recent_to_wire(&self) -> u16 {
        let scale = u32::from(self.answers.max(MAX_WIRE_ANSWERS));
        let scaled = |part: u16| {
            let part = u32::from(part) * u32::from(MAX_WIRE_ANSWERS);
            ((part + scale / 2) / scale) as u16
        };
        let fast = scaled(self.fast).min(MAX_WIRE_ANSWERS);
        let slow = scaled(self.slow).min(MAX_WIRE_ANSWERS - fast);
        let answers = self.answers.min(MAX_WIRE_ANSWERS);
        (answers * WIRE_BASE + fast) * WIRE_BASE + slow
    }

    /// Sets the recent responses from [`ServiceTime::recent_to_wire`].
    pub fn with_recent(mut self, packed: u16) -> ServiceTime {
        self.answers = (packed / WIRE_BASE / WIRE_BASE).min(MAX_WIRE_ANSWERS);
        self.fast = (packed / WIRE_BASE % WIRE_BASE).min(self.answers);
        self.slow = (packed % WIRE_BASE).min(self.answers - self.fast);
        self
    }
}
