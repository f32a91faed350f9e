//! Maps attempt outcomes to slot reports and retry counters.

use crate::{
    core::{
        capacity::{
            SlotReport,
            SlotResult, //
        },
        counter::Counter,
        request::answer::NotRunReason,
        request::attempt::AttemptOutcome, //
    },
    kernel::clock::Millis,
};

/// Returns the report for a slot released without an attempt.
pub fn unused_slot() -> SlotReport {
    SlotReport {
        result: SlotResult::Unused,
        elapsed: Millis(0),
        backend_run: None,
    }
}

/// Returns the slot result for an attempt's outcome.
pub fn slot_result(outcome: &AttemptOutcome) -> SlotResult {
    match outcome {
        AttemptOutcome::Answered(_) => SlotResult::Answered,
        AttemptOutcome::NotRun(NotRunReason::NotConnected) => SlotResult::Unreachable,
        AttemptOutcome::NotRun(NotRunReason::Shed) => SlotResult::Shed,
        AttemptOutcome::NotRun(_) => SlotResult::Unused,
        AttemptOutcome::Unknown(_) => SlotResult::Lost,
    }
}

/// Returns the metric that counts retries after `outcome`.
pub fn retry_counter(outcome: &AttemptOutcome) -> Counter {
    match outcome {
        AttemptOutcome::NotRun(NotRunReason::NotConnected) => Counter::RequestRetriedNotConnected,
        AttemptOutcome::NotRun(NotRunReason::Shed) => Counter::RequestRetriedShed,
        AttemptOutcome::NotRun(_) => Counter::RequestRetriedLate,
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => Counter::RequestRetriedLost,
    }
}
