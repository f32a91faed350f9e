//! Backend servers that may be dead: which are probed, and what follows.

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
    tag::Tag, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::Time, //
};

/// Dead backend servers in one data centre that make the others there suspect.
const DEAD_TOGETHER: usize = 2;

impl Steering {
    /// Takes in what a probe found.
    pub fn on_probe(&mut self, tag: Tag, outcome: ProbeOutcome, now: Time) {
        let was_dead = self.suspicion.standing(tag) == HealthState::Dead;
        if self.suspicion.probed(tag, outcome, now) {
            self.declare_dead(tag, now);
        }
        if was_dead && outcome == ProbeOutcome::Accepted {
            self.decisions.push(Decision::BackendRevived { tag });
        }
    }

    /// Has the backend servers probed that leave new flows unanswered.
    pub(super) fn doubt_unopened(&mut self, now: Time) {
        for tag in self.handshakes.doubtful(now) {
            if self.suspicion.doubt_unopened(tag, now) {
                self.decisions.push(Decision::BackendDoubtful { tag });
            }
        }
    }

    pub(super) fn probe(&mut self, now: Time) {
        let concerns = concerns(&self.peers, &self.flows, &self.replicas);
        for tag in self.suspicion.take_probes(concerns, now) {
            match self.directory.entry(tag).filter(|e| e.may_hold_flows()) {
                Some(entry) => self.actions.push(Action::Probe {
                    tag,
                    address: entry.server.address,
                }),
                None => self.suspicion.forget(tag),
            }
        }
    }

    pub(super) fn declare_dead(&mut self, tag: Tag, now: Time) {
        let flows = self.reset_flows(tag, ResetReason::BackendDead, now);
        let evidence = self.suspicion.evidence(tag);
        self.decisions.push(Decision::BackendDead {
            tag,
            evidence,
            flows,
        });
        self.review_place_of(tag, now);
        self.peers.hurry(now);
    }

    /// Several dead backend servers in one data centre may mean that it lost
    /// power or is cut off.
    fn review_place_of(&mut self, tag: Tag, now: Time) {
        let Some(entry) = self.directory.entry(tag) else {
            return;
        };
        let place = entry.server.data_centre.clone();
        let dead = self.backends_in(&place);
        let dead = dead
            .iter()
            .filter(|t| self.suspicion.standing(**t) == HealthState::Dead);
        if dead.count() >= DEAD_TOGETHER {
            self.doubt_place(&place, now);
        }
    }

    /// Has the backend servers of a data centre probed before clients run into
    /// them.
    pub(super) fn doubt_place(&mut self, place: &DataCentreId, now: Time) {
        for tag in self.backends_in(place) {
            if self.suspicion.standing(tag) != HealthState::Dead {
                self.suspicion.doubt_place(tag, now);
            }
        }
    }

    /// The backend servers of a data centre that may live.
    pub(super) fn backends_in(&self, place: &DataCentreId) -> Vec<Tag> {
        self.directory
            .iter()
            .filter(|(_, e)| e.server.data_centre == *place && e.may_hold_flows())
            .map(|(tag, _)| tag)
            .collect()
    }

    pub(super) fn forget_lost(&mut self, now: Time) {
        for lost in self.peers.take_lost(now) {
            self.remote.replace(&lost.loads, &[]);
            self.note_peer(false, lost.contact());
            let is_beside = |m: &Member| m.heartbeat.data_centre == lost.data_centre;
            if !self.peers.live(now).any(is_beside) {
                // Its backend servers may be lost with its VMs.
                self.doubt_place(&lost.data_centre, now);
            }
        }
    }

    /// Drops evidence that was not renewed.
    pub(super) fn sweep_doubts(&mut self, now: Time) {
        let concerns = concerns(&self.peers, &self.flows, &self.replicas);
        self.suspicion.sweep(concerns, now);
    }
}

/// Tells whether a VM looks after doubts about a backend server: hubs do, and
/// VMs that know flows of it. So what all others spend on doubts does not grow
/// with the fleet.
fn concerns(peers: &Members, flows: &FlowTable, replicas: &Replicas) -> impl Fn(Tag) -> bool {
    |tag| peers.is_hub() || flows.load(tag).flows > 0 || replicas.has_any_of(tag)
}
