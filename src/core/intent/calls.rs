//! The pending platform calls, each with the state machine that waits for its
//! outcome.

use std::collections::BTreeMap;

use crate::{
    core::{
        action::Action,
        counter::Counter,
        cx::Cx,
        intent::{
            admin::AdminCallId,
            platform::{
                CONFIGURATION_KEY,
                PlatformCall,
                PlatformCallId,
                PlatformOp,
                PlatformOutcome, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long an unanswered call is tracked.
const CALL_RETENTION: Millis = Millis::from_secs(120);

/// The state machine that waits for the outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// The watch on the configuration.
    Watch,
    /// An operator's call.
    Operation(AdminCallId),
    /// The ramp of a returning data centre.
    Ramp,
    /// The replacement of an invalid or outdated record.
    Repair,
    /// The writer of the objects that show the record.
    Projection,
}

/// A call without an outcome yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingCall {
    /// The state machine that waits.
    pub(super) purpose: Purpose,
    /// Whether the call reads or writes the record.
    pub(super) targets_record: bool,
    sent_at: Time,
}

/// The pending calls of one VM.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next_id: u64,
    pending: BTreeMap<PlatformCallId, PendingCall>,
}

impl Calls {
    /// Sends `op` to the platform.
    pub(super) fn send(
        &mut self,
        cx: &mut Cx<'_>,
        purpose: Purpose,
        op: PlatformOp,
    ) -> PlatformCallId {
        let id = PlatformCallId(self.next_id);
        self.next_id += 1;
        let call = PendingCall {
            purpose,
            targets_record: op.key() == CONFIGURATION_KEY,
            sent_at: cx.now,
        };
        self.pending.insert(id, call);
        cx.count(Counter::PlatformCalled);
        cx.act(Action::Platform(PlatformCall { id, op }));
        id
    }

    /// Removes the pending call `id` and counts `outcome` if it is a failure.
    pub(super) fn complete(
        &mut self,
        cx: &mut Cx<'_>,
        id: PlatformCallId,
        outcome: &PlatformOutcome,
    ) -> Option<PendingCall> {
        match outcome {
            PlatformOutcome::NoAnswer => cx.count(Counter::PlatformNoAnswer),
            PlatformOutcome::Conflict => cx.count(Counter::PlatformConflict),
            PlatformOutcome::Refused(_) => cx.count(Counter::PlatformRefused),
            PlatformOutcome::Object(_) | PlatformOutcome::Absent | PlatformOutcome::Unchanged => {}
        }
        self.pending.remove(&id)
    }

    /// Drops calls that were never answered.
    pub(super) fn tick(&mut self, now: Time) {
        let is_expired = |call: &PendingCall| now.since(call.sent_at) >= CALL_RETENTION;
        while let Some(entry) = self.pending.first_entry() {
            if !is_expired(entry.get()) {
                return;
            }
            entry.remove();
        }
    }
}
