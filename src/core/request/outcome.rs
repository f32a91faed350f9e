//! What the end of an attempt means for slots and retries.

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

/// Returns the report about a slot that was not used.
pub fn unused() -> SlotReport {
    SlotReport {
        result: SlotResult::Unused,
        elapsed: Millis(0),
        backend_run: None,
    }
}

/// Returns what an outcome says about the slot.
pub fn slot_result(outcome: &AttemptOutcome) -> SlotResult {
    match outcome {
        AttemptOutcome::Answered(_) => SlotResult::Answered,
        AttemptOutcome::NotRun(NotRunReason::NotConnected) => SlotResult::Unreachable,
        AttemptOutcome::NotRun(NotRunReason::Shed) => SlotResult::Shed,
        AttemptOutcome::NotRun(_) => SlotResult::Unused,
        AttemptOutcome::Unknown(_) => SlotResult::Lost,
    }
}

/// Returns the counter of retries after an outcome.
pub fn retry_counter(outcome: &AttemptOutcome) -> Counter {
    match outcome {
        AttemptOutcome::NotRun(NotRunReason::NotConnected) => Counter::RequestRetriedNotConnected,
        AttemptOutcome::NotRun(NotRunReason::Shed) => Counter::RequestRetriedShed,
        AttemptOutcome::NotRun(_) => Counter::RequestRetriedLate,
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => Counter::RequestRetriedLost,
    }
}
