//! The platform calls that are open, each with the state machine that waits
//! for it.

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

/// A call without an answer for this long is forgotten.
const FORGET_AFTER: Millis = Millis::from_secs(120);

/// The state machine that waits for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// The watch on the configuration.
    Watch,
    /// An operator's call.
    Operation(AdminCallId),
    /// The ramp of a returning data centre.
    Ramp,
    /// The replacement of a bad record.
    Repair,
    /// The objects that show the record.
    Projection,
}

/// An open call.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenCall {
    /// Who waits.
    pub(super) purpose: Purpose,
    /// Whether it is about the configuration in force.
    pub(super) on_configuration: bool,
    sent: Time,
}

/// The open calls of one VM.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    open: BTreeMap<PlatformCallId, OpenCall>,
}

impl Calls {
    /// Sends `op` to the platform.
    pub(super) fn send(
        &mut self,
        cx: &mut Cx<'_>,
        purpose: Purpose,
        op: PlatformOp,
    ) -> PlatformCallId {
        let id = PlatformCallId(self.next);
        self.next += 1;
        let call = OpenCall {
            purpose,
            on_configuration: op.key() == CONFIGURATION_KEY,
            sent: cx.now,
        };
        self.open.insert(id, call);
        cx.count(Counter::PlatformCalled);
        cx.act(Action::Platform(PlatformCall { id, op }));
        id
    }

    /// Ends the call `id` and counts how.
    pub(super) fn end(
        &mut self,
        cx: &mut Cx<'_>,
        id: PlatformCallId,
        outcome: &PlatformOutcome,
    ) -> Option<OpenCall> {
        match outcome {
            PlatformOutcome::NoAnswer => cx.count(Counter::PlatformNoAnswer),
            PlatformOutcome::Conflict => cx.count(Counter::PlatformConflict),
            PlatformOutcome::Refused(_) => cx.count(Counter::PlatformRefused),
            PlatformOutcome::Object(_) | PlatformOutcome::Absent | PlatformOutcome::Unchanged => {}
        }
        self.open.remove(&id)
    }

    /// Forgets calls that were never answered.
    pub(super) fn tick(&mut self, now: Time) {
        let is_old = |call: &OpenCall| now.since(call.sent) >= FORGET_AFTER;
        while let Some(entry) = self.open.first_entry() {
            if !is_old(entry.get()) {
                return;
            }
            entry.remove();
        }
    }
}
