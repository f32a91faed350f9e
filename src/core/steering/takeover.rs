//! Speaking for VMs that were lost together with their backend servers.

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

/// How long the clients of a data centre count as sent here after the last sign
/// of it.
const VALID_FOR: Millis = Millis::from_secs(3);

/// The data centres whose clients the routers send here or beside.
#[derive(Debug, Default)]
pub(super) struct TakenOver {
    /// As this VM saw.
    seen: HashMap<DataCentreId, Time>,
    /// As this VM saw or was told.
    known: HashMap<DataCentreId, Known>,
}

/// A data centre whose clients the routers send elsewhere.
#[derive(Clone, Copy, Debug)]
struct Known {
    since: Time,
    last: Time,
}

impl TakenOver {
    /// Notes a data centre, which this VM saw itself or was told of. Returns
    /// whether that is news.
    fn note(&mut self, place: &DataCentreId, is_seen: bool, now: Time) -> bool {
        if is_seen {
            self.seen.insert(place.clone(), now);
        }
        if let Some(known) = self.known.get_mut(place) {
            known.last = now;
            return false;
        }
        let known = Known {
            since: now,
            last: now,
        };
        self.known.insert(place.clone(), known);
        true
    }

    /// What other VMs are told.
    pub(super) fn export(&self) -> Vec<DataCentreId> {
        self.seen.keys().cloned().collect()
    }

    fn sweep(&mut self, now: Time) {
        self.seen.retain(|_, at| now.since(*at) < VALID_FOR);
        self.known.retain(|_, k| now.since(k.last) < VALID_FOR);
    }
}

impl Steering {
    /// Tells the VM with the replicas what has changed.
    pub(super) fn replicate(&mut self, now: Time) {
        let batch = self.replication.next(self.holder, &mut self.flows, now);
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
        self.tell(batch.holder, msg);
    }

    /// Chooses the VM that keeps the replicas of this one's flows.
    pub(super) fn choose_holder(&mut self, now: Time) {
        let avoid = self.replication.avoided(now);
        self.holder = self.peers.replica_holder(avoid, now);
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, msg: PeerMessage, now: Time) {
        match msg {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, now),
            PeerMessage::Replicas(batch) => self.on_replicas(&batch, now),
            PeerMessage::ReplicasAcked { holder, number } => {
                self.replication.on_taken(holder, number);
            }
            PeerMessage::ReplicasRestored { flows } => {
                for record in &flows {
                    self.flows.restore(record, now);
                }
            }
        }
    }

    fn on_replicas(&mut self, batch: &ReplicaBatch, now: Time) {
        let carried = self.replicas.take(batch, now);
        let taken = PeerMessage::ReplicasAcked {
            holder: self.me.address,
            number: batch.number,
        };
        self.tell(batch.owner, taken);
        for part in carried.chunks(MAX_BATCH_FLOWS) {
            let flows = part.to_vec();
            self.tell(batch.owner, PeerMessage::ReplicasRestored { flows });
        }
    }

    fn tell(&mut self, to: SocketAddrV4, msg: PeerMessage) {
        self.actions.push(Action::Send { to, msg });
    }

    /// Notes that the routers send the clients of a data centre to others.
    pub(super) fn note_taken_over(&mut self, place: &DataCentreId, is_seen: bool, now: Time) {
        if *place == self.me.data_centre || !self.taken_over.note(place, is_seen, now) {
            return;
        }
        self.decisions.push(Decision::TakenOver {
            data_centre: place.clone(),
            replicas: self.replicas.len(),
        });
        // Its backend servers may be lost with its VMs. What was found out
        // before, perhaps during a cut, does not count.
        self.doubt_place(place, now);
        for tag in self.backends_in(place) {
            self.suspicion.probe_again(tag);
        }
        if is_seen {
            self.peers.hurry(now);
        }
    }

    /// Tells clients of data centres without VMs that their flows are over.
    pub(super) fn speak_for_lost(&mut self, now: Time) {
        for place in self.replicas.moved_away(now) {
            self.note_taken_over(&place, true, now);
        }
        self.taken_over.sweep(now);
        if self.taken_over.known.is_empty() || self.replicas.is_empty() {
            return;
        }
        let taken_over = &self.taken_over.known;
        let over: Vec<FlowRecord> = self.replicas.take_over(
            |place| taken_over.get(place).map(|known| known.since),
            |tag, since| is_over(&self.directory, &self.suspicion, tag, since),
        );
        for record in &over {
            self.reset_flow(record, ResetReason::VmAndBackendLost);
        }
    }
}

/// Tells whether the flows of a backend server are over, as seen after `since`.
fn is_over(directory: &Directory, suspicion: &FailureDetector, tag: Tag, since: Time) -> bool {
    let Some(entry) = directory.entry(tag) else {
        return false;
    };
    let is_dead = suspicion.standing(tag) == HealthState::Dead;
    !entry.may_hold_flows() || (is_dead && suspicion.probed_after(tag, since))
}
