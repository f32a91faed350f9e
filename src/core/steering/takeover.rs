//! Resets of flows whose VM was lost together with the backend server.

use std::net::SocketAddrV4;

use hashbrown::HashMap;

use super::{
    Action,
    Steering,
    decision::Decision,
    directory::Directory,
    failure_detector::{
        FailureDetector,
        HealthState, //
    },
    packet::ResetReason,
    peers::{
        FlowRecord,
        PeerMessage,
        ReplicaBatch, //
    },
    replication::MAX_BATCH_FLOWS,
    tag::Tag, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long a data centre counts as taken over after the last sign of it.
const TAKEOVER_TIMEOUT: Millis = Millis::from_secs(3);

/// Data centres whose clients the routers send to other data centres.
#[derive(Debug, Default)]
pub(super) struct Takeovers {
    /// Takeovers observed by this VM, with the time of the last sign.
    observed: HashMap<DataCentreId, Time>,
    /// Takeovers observed by this VM or reported by peers.
    active: HashMap<DataCentreId, Takeover>,
}

/// A data centre whose clients the routers send elsewhere.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    since: Time,
    last: Time,
}

impl Takeovers {
    /// Records a takeover that this VM observed or a peer reported. Returns
    /// whether it is new.
    fn record(&mut self, data_centre: &DataCentreId, is_observed: bool, now: Time) -> bool {
        if is_observed {
            self.observed.insert(data_centre.clone(), now);
        }
        if let Some(takeover) = self.active.get_mut(data_centre) {
            takeover.last = now;
            return false;
        }
        let takeover = Takeover {
            since: now,
            last: now,
        };
        self.active.insert(data_centre.clone(), takeover);
        true
    }

    /// Returns the observed takeovers, for other VMs.
    pub(super) fn export(&self) -> Vec<DataCentreId> {
        self.observed.keys().cloned().collect()
    }

    /// Returns whether the routers send the clients of a data centre elsewhere.
    pub(super) fn is_active(&self, data_centre: &DataCentreId) -> bool {
        self.active.contains_key(data_centre)
    }

    fn sweep(&mut self, now: Time) {
        self.observed
            .retain(|_, at| now.since(*at) < TAKEOVER_TIMEOUT);
        self.active
            .retain(|_, takeover| now.since(takeover.last) < TAKEOVER_TIMEOUT);
    }
}

impl Steering {
    /// Sends the next batch of flow records to the replica holder, if one is
    /// due.
    pub(super) fn replicate(&mut self, now: Time) {
        let batch = self
            .replication
            .next(self.replica_holder, &mut self.flows, now);
        let Some(batch) = batch else {
            return;
        };
        let msg = PeerMessage::Replicas(ReplicaBatch {
            owner: self.me.address,
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            number: batch.number,
            flows: batch.flows,
        });
        self.send(batch.holder, msg);
    }

    /// Selects the VM that holds replicas of this VM's flows.
    pub(super) fn choose_holder(&mut self, now: Time) {
        let avoid = self.replication.avoided(now);
        self.replica_holder = self.peers.replica_holder(avoid, now);
    }

    /// Processes a message of another VM.
    pub fn on_message(&mut self, msg: PeerMessage, now: Time) {
        match msg {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, now),
            PeerMessage::FleetLoads(loads) => self.on_fleet_loads(loads, now),
            PeerMessage::DataCentreLoads(loads) => self.on_data_centre_loads(loads, now),
            PeerMessage::Replicas(batch) => self.on_replicas(&batch, now),
            PeerMessage::ReplicasAcked { holder, number } => {
                self.replication.on_ack(holder, number);
            }
            PeerMessage::ReplicasRestored { flows } => {
                for record in &flows {
                    self.flows.restore(record, now);
                }
            }
        }
    }

    fn on_replicas(&mut self, batch: &ReplicaBatch, now: Time) {
        let restored = self.replicas.apply(batch, now);
        let ack = PeerMessage::ReplicasAcked {
            holder: self.me.address,
            number: batch.number,
        };
        self.send(batch.owner, ack);
        for part in restored.chunks(MAX_BATCH_FLOWS) {
            let flows = part.to_vec();
            self.send(batch.owner, PeerMessage::ReplicasRestored { flows });
        }
    }

    fn send(&mut self, to: SocketAddrV4, msg: PeerMessage) {
        self.actions.push(Action::Send { to, msg });
    }

    /// Records that the routers send the clients of a data centre elsewhere.
    pub(super) fn record_takeover(
        &mut self,
        data_centre: &DataCentreId,
        is_observed: bool,
        now: Time,
    ) {
        if *data_centre == self.me.data_centre
            || !self.takeovers.record(data_centre, is_observed, now)
        {
            return;
        }
        self.decisions.push(Decision::TakenOver {
            data_centre: data_centre.clone(),
            replicas: self.replicas.len(),
        });
        // Its backend servers may be lost together with its VMs. Earlier probe
        // outcomes do not count because they may stem from a partition.
        self.suspect_data_centre(data_centre, now);
        for tag in self.backends_in(data_centre) {
            self.detector.request_probe(tag);
        }
        if is_observed {
            self.peers.send_soon(now);
        }
    }

    /// Resets the flows of data centres without VMs whose backend servers have
    /// ended.
    pub(super) fn reset_lost_flows(&mut self, now: Time) {
        for data_centre in self.replicas.moved_data_centres(now) {
            self.record_takeover(&data_centre, true, now);
        }
        self.takeovers.sweep(now);
        if self.takeovers.active.is_empty() || self.replicas.is_empty() {
            return;
        }
        let takeovers = &self.takeovers.active;
        let ended: Vec<FlowRecord> = self.replicas.take_over(
            |data_centre| takeovers.get(data_centre).map(|takeover| takeover.since),
            |tag, since| has_ended(&self.directory, &self.detector, tag, since),
        );
        for record in &ended {
            self.reset_flow(record, ResetReason::VmAndBackendLost);
        }
    }
}

/// Returns whether a backend server is gone, or dead by a probe after `since`.
fn has_ended(directory: &Directory, detector: &FailureDetector, tag: Tag, since: Time) -> bool {
    let Some(entry) = directory.entry(tag) else {
        return false;
    };
    let is_dead = detector.health(tag) == HealthState::Dead;
    !entry.may_hold_flows() || (is_dead && detector.probe_finished_after(tag, since))
}
