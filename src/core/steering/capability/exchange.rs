//! Samples from the flows of this VM, and their exchange with other VMs.

use super::{
    super::{
        Steering,
        decision::Decision,
        flows::Load,
        packet::Packet,
        tag::Tag, //
    },
    Response, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Maximum number of backend servers without flows that are reported for their
/// samples. Flows with one request are usually closed before the next heartbeat.
const MAX_REPORTED_IDLE: usize = 32;

impl Steering {
    /// Records how many requests are outstanding at a backend server when a client
    /// sends one.
    pub(in super::super) fn record_request(&mut self, packet: &Packet, tag: Tag, now: Time) {
        if packet.len == 0 || !self.capability.is_active() {
            return;
        }
        let outstanding = self.flows.load(tag).waiting + self.remote_loads.load(tag).waiting;
        self.flows
            .record_outstanding(&packet.flow, outstanding, now);
    }

    /// Records a response time.
    pub(in super::super) fn record_service_time(
        &mut self,
        tag: Tag,
        elapsed: Millis,
        outstanding: u32,
        now: Time,
    ) {
        let (Some(entry), Some(network_ms)) =
            (self.directory.entry(tag), self.handshakes.mean_ms())
        else {
            return;
        };
        if !self.capability.is_active() {
            return;
        }
        let response = Response {
            tag,
            elapsed,
            network_ms,
            outstanding,
            slots: entry.server.slots,
        };
        self.capability.record(&response, now);
    }

    /// Derives the cost factors from the samples of all VMs.
    pub(in super::super) fn update_capability(&mut self, now: Time) {
        self.capability.set_active(!self.peers.is_full_mesh());
        if !self.capability.is_due(now) {
            return;
        }
        let others = |tag| self.remote_loads.load(tag).service_time;
        let found = self.capability.update(self.directory.pools(), others, now);
        let decisions = found
            .into_iter()
            .map(|tag| Decision::ResponsesTooFast { tag });
        self.decisions.extend(decisions);
    }

    /// Returns the backend servers without flows of this VM that are reported for
    /// their samples.
    pub(in super::super) fn sampled_idle(&self) -> impl Iterator<Item = (Tag, Load)> {
        let is_idle = |tag| self.flows.load(tag) == Load::default();
        let sampled = self.capability.sampled(is_idle, MAX_REPORTED_IDLE);
        sampled.into_iter().map(|tag| (tag, Load::default()))
    }
}
