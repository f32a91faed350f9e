//! New flows of this VM on one route: counts and credit.

use super::Refusal;

/// Retries that are accepted for each first try while flows are refused.
const RETRY_BUDGET: f64 = 0.1;

/// Largest number of retries that are accepted at once after a pause.
const MAX_RETRY_CREDIT: f64 = 2.0;

/// Number of new flows on a route since the start of this VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FlowCounts {
    /// First tries.
    pub first_tries: u64,
    /// Retries of flows that were refused or did not open.
    pub retries: u64,
    /// Refused flows, in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
}

/// First tries and retries on one route.
#[derive(Debug)]
pub struct Tries {
    /// Totals.
    pub counts: FlowCounts,
    /// Flow credit: one is spent for each accepted first try.
    ///
    /// Invariant: at least 0 and less than 2.
    credit: f64,
    /// Credit for accepted retries.
    retry_credit: f64,
}

impl Default for Tries {
    fn default() -> Tries {
        Tries {
            counts: FlowCounts::default(),
            // The middle of the range, so that rounding is unbiased on average.
            credit: 0.5,
            retry_credit: 0.0,
        }
    }
}

impl Tries {
    /// Counts a first try. Returns whether it is within the accepted share.
    pub fn admit_first_try(&mut self, share: f64) -> bool {
        self.counts.first_tries += 1;
        self.retry_credit = (self.retry_credit + RETRY_BUDGET).min(MAX_RETRY_CREDIT);
        self.credit += share;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Counts a retry. Returns whether it is within the budget. Without
    /// `is_limited`, all retries are.
    pub fn admit_retry(&mut self, is_limited: bool) -> bool {
        self.counts.retries += 1;
        if !is_limited {
            return true;
        }
        if self.retry_credit < 1.0 {
            return false;
        }
        self.retry_credit -= 1.0;
        true
    }

    /// Counts a refusal.
    pub fn record_refusal(&mut self, refusal: Refusal) {
        self.counts.refused[refusal as usize] += 1;
    }
}
