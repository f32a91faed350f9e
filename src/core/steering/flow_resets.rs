//! Resets of flows that have ended.

use super::{
    Action,
    Steering,
    decision::Decision,
    directory::{
        EndedBackend,
        REREGISTER_TIME, //
    },
    packet::{
        Reset,
        ResetReason, //
    },
    peers::FlowRecord,
    store::Kind,
    tag::Tag, //
};
use crate::kernel::clock::Time;

impl Steering {
    /// Resets the flows of backend servers that ended.
    pub(super) fn reset_ended_backends(&mut self, now: Time) {
        for ended in self.directory.take_ended() {
            let (EndedBackend::Gone(tag) | EndedBackend::Restarted(tag)) = ended;
            self.detector.remove(tag);
            self.capability.forget(tag, now);
            let flows = self.reset_flows(tag, ResetReason::BackendGone, now);
            self.decisions.push(Decision::BackendEnded { tag, flows });
        }
    }

    /// Resets the flows of tags that a later read of the store still does not
    /// list.
    pub(super) fn reset_unlisted(&mut self, now: Time) {
        let Some(as_of) = self.list_complete_as_of(now) else {
            return;
        };
        let is_unknown = |tag: &Tag| self.directory.entry(*tag).is_none();
        let unlisted_tags: Vec<Tag> = self
            .unlisted
            .seen_before(as_of)
            .filter(is_unknown)
            .collect();
        for tag in unlisted_tags {
            self.reset_flows(tag, ResetReason::BackendUnlisted, now);
        }
    }

    /// Returns a time at which the list of backend servers was complete. `None`
    /// shortly after a store outage, and shortly after the start because an
    /// earlier outage would be unknown.
    pub(super) fn list_complete_as_of(&self, now: Time) -> Option<Time> {
        let settled_at = self
            .sync
            .outage_settled_at()
            .max(self.started_at + REREGISTER_TIME);
        let as_of = self.sync.get(Kind::BackendServers).as_of;
        (now >= settled_at).then_some(as_of)
    }

    /// Resets all flows of a backend server and returns their number.
    pub(super) fn reset_flows(&mut self, tag: Tag, reason: ResetReason, now: Time) -> usize {
        let flows = self.flows.take_backend_flows(tag, now);
        for record in &flows {
            self.reset_flow(record, reason);
        }
        flows.len()
    }

    /// Resets a flow towards its client.
    pub(super) fn reset_flow(&mut self, record: &FlowRecord, reason: ResetReason) {
        self.actions.push(Action::Reset(Reset {
            flow: record.flow,
            seq: record.ack,
            reason,
        }));
        self.decisions.push(Decision::FlowReset {
            flow: record.flow,
            tag: record.tag,
            reason,
            configuration: self.routing.position(),
        });
    }
}
