//! Retry budget that bounds the extra load of retries on a service.

/// Cost of one retry, in thousandths of a token.
const RETRY_COST: u32 = 1_000;

/// Credit for each first attempt, in thousandths of a token.
const DEPOSIT: u32 = 80;

/// Capacity of the bucket, in thousandths of a token.
const CAPACITY: u32 = 4_000;

/// Token bucket filled by first attempts and drained by retries.
///
/// Invariant: over any time span, retries are at most 8% of the first attempts
/// plus four. Across all VMs they stay under 10% once each VM has had 200
/// requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    millitokens: u32,
}

impl RetryBudget {
    /// Credits a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.millitokens = (self.millitokens + DEPOSIT).min(CAPACITY);
    }

    /// Deducts the cost of one retry if the bucket holds enough. Returns whether
    /// it did.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.millitokens >= RETRY_COST;
        if enough {
            self.millitokens -= RETRY_COST;
        }
        enough
    }
}
