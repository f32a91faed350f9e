//! Samples of the time that a backend server takes for one request.

use serde::{
    Deserialize,
    Serialize, //
};

/// Largest number of recent responses on the wire; a larger one is scaled down. Seven
/// bits hold its values together with `is_answering`.
const MAX_WIRE_ANSWERS: u16 = 7;

/// Number of values of the packed recent responses.
pub(in crate::core::steering) const RECENT_WIRE_VALUES: u64 = (MAX_WIRE_ANSWERS as u64 + 1).pow(2);

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

    /// Packs the recent responses into a number below [`RECENT_WIRE_VALUES`]: of the
    /// fast and the slow ones, those that are more.
    pub(in crate::core::steering) fn recent_to_wire(&self) -> u64 {
        let answers = u64::from(self.answers.min(MAX_WIRE_ANSWERS));
        let all = u64::from(self.answers.max(1));
        let part = u64::from(self.fast.max(self.slow));
        let part = ((part * answers + all / 2) / all).min(answers);
        let is_slow = self.slow > self.fast;
        answers * answers + part + if is_slow { answers } else { 0 }
    }

    /// Sets the recent responses from [`ServiceTime::recent_to_wire`].
    pub(in crate::core::steering) fn with_recent(mut self, packed: u64) -> ServiceTime {
        let packed = packed.min(RECENT_WIRE_VALUES - 1) as u16;
        let answers = packed.isqrt();
        let part = packed - answers * answers;
        self.answers = answers;
        self.fast = if part <= answers { part } else { 0 };
        self.slow = part.saturating_sub(answers);
        self
    }
}
