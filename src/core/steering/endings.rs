//! Flows that are over, and what their clients are told.

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
    pub(super) fn end_flows(&mut self, now: Time) {
        for ended in self.directory.take_ended() {
            let (EndedBackend::Gone(tag) | EndedBackend::Restarted(tag)) = ended;
            self.suspicion.forget(tag);
            let flows = self.reset_flows(tag, ResetReason::BackendGone, now);
            self.decisions.push(Decision::BackendEnded { tag, flows });
        }
    }

    /// Resets the flows of tags that the store, asked again, does not list.
    pub(super) fn end_unlisted(&mut self, now: Time) {
        let Some(as_of) = self.surely_listed_at(now) else {
            return;
        };
        let is_unknown = |tag: &Tag| self.directory.entry(*tag).is_none();
        let over: Vec<Tag> = self
            .unlisted
            .seen_before(as_of)
            .filter(is_unknown)
            .collect();
        for tag in over {
            self.reset_flows(tag, ResetReason::BackendUnlisted, now);
        }
    }

    /// Returns a time at which the store listed all backend servers that lived,
    /// and this VM knows the list. `None` shortly after trouble of the store, of
    /// which a VM that has just started knows nothing.
    pub(super) fn surely_listed_at(&self, now: Time) -> Option<Time> {
        let settled = self
            .beliefs
            .trouble_over()
            .max(self.opened + REREGISTER_TIME);
        let as_of = self.beliefs.get(Kind::BackendServers).as_of;
        (now >= settled).then_some(as_of)
    }

    /// Tells the clients of a backend server that their flows are over. Returns
    /// the number of flows.
    pub(super) fn reset_flows(&mut self, tag: Tag, reason: ResetReason, now: Time) -> usize {
        let flows = self.flows.take_of(tag, now);
        for record in &flows {
            self.reset_flow(record, reason);
        }
        flows.len()
    }

    /// Tells a client that its flow is over.
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
            configuration: self.routing.revision(),
        });
    }
}
