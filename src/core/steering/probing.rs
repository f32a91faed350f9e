//! Probes of suspect backend servers and handling of dead ones.

use super::{
    Action,
    Steering,
    decision::Decision,
    failure_detector::{
        HealthState,
        ProbeOutcome, //
    },
    flows::FlowTable,
    members::{
        Member,
        Members, //
    },
    packet::ResetReason,
    replicas::Replicas,
    store::Kind,
    tag::Tag, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::Time, //
};

impl Steering {
    /// Processes the outcome of a probe.
    pub fn on_probe(&mut self, tag: Tag, outcome: ProbeOutcome, now: Time) {
        if outcome == ProbeOutcome::Accepted {
            self.record_path_probe(tag, now);
        }
        let outcome = match outcome {
            ProbeOutcome::Refused | ProbeOutcome::TimedOut if self.is_behind_cut(tag, now) => {
                ProbeOutcome::Unclear
            }
            outcome => outcome,
        };
        let was_dead = self.detector.health(tag) == HealthState::Dead;
        if self.detector.on_probe(tag, outcome, now) {
            self.declare_dead(tag, now);
        } else if self.detector.is_likely_dead(tag, now) {
            self.check_data_centre(tag, now);
        }
        if was_dead && outcome == ProbeOutcome::Accepted {
            self.decisions.push(Decision::BackendRevived { tag });
        }
    }

    /// Schedules probes of backend servers that leave new flows unanswered.
    pub(super) fn probe_unopened(&mut self, now: Time) {
        for tag in self.handshakes.failing(now) {
            if self.detector.record_unopened(tag, now) {
                self.decisions.push(Decision::HandshakesFailing { tag });
            }
        }
    }

    pub(super) fn send_probes(&mut self, now: Time) {
        let as_of = self.sync.get(Kind::BackendServers).as_of;
        self.detector.confirm(as_of, now);
        let is_relevant = is_relevant(&self.peers, &self.flows, &self.replicas);
        let has_hubs = !self.peers.is_hub();
        for tag in self.detector.take_probes(is_relevant, has_hubs, now) {
            match self.directory.entry(tag).filter(|e| e.may_hold_flows()) {
                Some(entry) => self.actions.push(Action::Probe {
                    tag,
                    address: entry.server.address,
                }),
                None => self.detector.remove(tag),
            }
        }
    }

    pub(super) fn declare_dead(&mut self, tag: Tag, now: Time) {
        let flows = self.reset_flows(tag, ResetReason::BackendDead, now);
        let evidence = self.detector.evidence(tag);
        self.decisions.push(Decision::BackendDead {
            tag,
            evidence,
            flows,
        });
        self.check_data_centre(tag, now);
        self.peers.send_soon(now);
    }

    /// Returns the backend servers of a data centre that may hold flows.
    pub(super) fn backends_in(&self, data_centre: &DataCentreId) -> Vec<Tag> {
        self.directory
            .iter()
            .filter(|(_, e)| e.server.data_centre == *data_centre && e.may_hold_flows())
            .map(|(tag, _)| tag)
            .collect()
    }

    pub(super) fn remove_lost_peers(&mut self, now: Time) {
        for lost in self.peers.take_lost(now) {
            self.remote_loads.remove(lost.address);
            self.record_peer(false, lost.contact());
            // A VM that is not a neighbour stops its heartbeats when it no longer
            // needs this VM.
            if !self.peers.is_neighbour(lost.address) {
                continue;
            }
            let shares_data_centre = |m: &Member| m.heartbeat.data_centre == lost.data_centre;
            if !self.peers.live(now).any(shares_data_centre) {
                // Its backend servers may be lost together with its VMs.
                self.suspect_data_centre(&lost.data_centre, now);
            }
        }
    }

    /// Drops evidence that was not renewed.
    pub(super) fn sweep_detector(&mut self, now: Time) {
        let is_relevant = is_relevant(&self.peers, &self.flows, &self.replicas);
        self.detector.sweep(is_relevant, now);
    }
}

/// Returns a predicate for the backend servers that this VM probes on
/// suspicion: all of them at a hub, and those with known flows at any other VM.
/// So the probe load of other VMs does not grow with the fleet.
fn is_relevant(peers: &Members, flows: &FlowTable, replicas: &Replicas) -> impl Fn(Tag) -> bool {
    |tag| peers.is_hub() || flows.load(tag).flows > 0 || replicas.holds_flows_of(tag)
}
