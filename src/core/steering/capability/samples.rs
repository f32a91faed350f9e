//! Responses of one backend server to this VM.

use smallvec::SmallVec;

use super::ServiceTime;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Time after which a sample has half its weight.
const HALF_LIFE: Millis = Millis::from_secs(4);

/// Weight below which a sample is not reported, because the reports are in whole
/// samples.
const MIN_WEIGHT: f64 = 0.5;

/// Number of latest responses that are checked for being far off.
const RECENT_ANSWERS: usize = 8;

/// How long a response counts as recent. A backend server of a service that is worth
/// judging gets some ten requests in this time.
const RECENT_TIME: Millis = Millis(1_000);

/// How a response compares with the mean.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Speed {
    /// Too fast to be a sample.
    Fast,
    /// Usual.
    Usual,
    /// Limited as a sample.
    Slow,
}

/// A recent response.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Time,
    speed: Speed,
}

/// Samples of the service time of one backend server, the latest with the most
/// weight.
#[derive(Debug)]
pub(super) struct Samples {
    first: Time,
    /// Sum of the weights, as of `updated`.
    weight: f64,
    /// Weighted sum of the samples in milliseconds, as of `updated`.
    sum_ms: f64,
    updated: Time,
    /// Invariant: oldest first, at most [`RECENT_ANSWERS`].
    recent: SmallVec<[Answer; RECENT_ANSWERS]>,
}

impl Samples {
    /// Creates an empty record.
    pub(super) fn open(now: Time) -> Samples {
        Samples {
            first: now,
            weight: 0.0,
            sum_ms: 0.0,
            updated: now,
            recent: SmallVec::new(),
        }
    }

    /// Returns when the first response arrived.
    pub(super) fn first(&self) -> Time {
        self.first
    }

    /// Adds a sample of the service time.
    pub(super) fn add(&mut self, service_ms: f64, now: Time) {
        let decay = self.decay(now);
        self.weight = self.weight * decay + 1.0;
        self.sum_ms = self.sum_ms * decay + service_ms;
        self.updated = now;
    }

    /// Limits the mean of samples that were added before a limit was known.
    pub(super) fn limit(&mut self, limit_ms: f64) {
        self.sum_ms = self.sum_ms.min(self.weight * limit_ms);
    }

    /// Records a response, a sample or not.
    pub(super) fn record_answer(&mut self, speed: Speed, now: Time) {
        if self.recent.len() == RECENT_ANSWERS {
            self.recent.remove(0);
        }
        self.recent.push(Answer { at: now, speed });
    }

    /// Returns the sum of the samples for other VMs.
    pub(super) fn report(&self, now: Time) -> ServiceTime {
        let recent = self.recent.iter().filter(|a| is_recent(a, now));
        let mut report = ServiceTime::default();
        for answer in recent {
            report.answers += 1;
            report.fast += u16::from(answer.speed == Speed::Fast);
            report.slow += u16::from(answer.speed == Speed::Slow);
        }
        let weight = self.weight * self.decay(now);
        if weight < MIN_WEIGHT {
            return report;
        }
        report.samples = weight.round().min(f64::from(u16::MAX)) as u16;
        report.mean_ms = (self.sum_ms / self.weight).round().min(f64::from(u16::MAX)) as u16;
        report
    }

    /// Returns when the last response arrived.
    pub(super) fn last(&self) -> Time {
        self.recent.last().map_or(self.updated, |a| a.at)
    }

    /// Returns whether nothing is left to report.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        self.report(now) == ServiceTime::default()
    }

    fn decay(&self, now: Time) -> f64 {
        let age = now.since(self.updated);
        (-(age.0 as f64) / HALF_LIFE.0 as f64).exp2()
    }
}

fn is_recent(answer: &Answer, now: Time) -> bool {
    now.since(answer.at) < RECENT_TIME
}
