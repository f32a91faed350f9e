//! A retry budget: retries add a bounded share to the load of a service.

/// The cost of one retry, in thousandths of a token.
const RETRY_COST: u32 = 1_000;

/// What each first attempt adds, in thousandths of a token.
const DEPOSIT: u32 = 80;

/// The most that is saved up, in thousandths of a token.
const MAX_SAVED: u32 = 4_000;

/// A token bucket that is filled by first attempts and emptied by retries.
///
/// Invariant: over any span, retries are at most 8% of the first attempts plus
/// four. The sum over all VMs stays under 10% once each has had 200 requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// Takes in a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(MAX_SAVED);
    }

    /// Takes the cost of one retry. Returns whether it could be paid.
    pub fn take(&mut self) -> bool {
        let paid = self.saved >= RETRY_COST;
        if paid {
            self.saved -= RETRY_COST;
        }
        paid
    }
}
