//! Replicas of flows that VMs of other data centres forward.
//!
//! A client that waits for an answer sends nothing. If the VM that forwarded
//! its flow is lost together with the backend server, as in a power loss of a
//! data centre, only a VM with a replica can reset the flow.
//!
//! A VM that cannot hear a data centre cannot tell a power loss from a
//! partition in which that data centre keeps serving. The routers can: they
//! send clients to another data centre only if none of their own VMs answers.
//! So replicas are used only once their clients arrive here.

use std::{
    hash::Hash,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
};

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::{
    packet::FlowId,
    peers::{
        FlowRecord,
        ReplicaBatch, //
    },
    replication_queue::REFRESH_INTERVAL,
    tag::Tag,
};
use crate::{
    core::names::{
        DataCentreId,
        Incarnation, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Maximum number of replicas. Further flows are not replicated.
const MAX_REPLICAS: usize = 32_768;

/// Minimum number of a VM's clients that must arrive here.
const MIN_MOVED_CLIENTS: usize = 3;

/// One in this many of a VM's clients must arrive here.
const MOVED_CLIENT_RATIO: usize = 4;

/// How long a client that arrived here counts.
const MOVED_RETENTION: Millis = Millis::from_secs(3);

/// A VM that was not heard for this long may be lost.
const SILENT_AFTER: Millis = Millis(800);

/// How long a client is ignored that arrived here while its VM was heard. The
/// routers may spread the clients of a third data centre over both.
const ROAMING_RETENTION: Millis = Millis::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Replica {
    tag: Tag,
    ack: u32,
    updated_at: Time,
}

/// Replicas of one VM's flows.
#[derive(Debug)]
struct Owner {
    incarnation: Incarnation,
    data_centre: DataCentreId,
    /// Number of the last accepted batch.
    number: u64,
    flows: HashMap<FlowId, Replica>,
    /// Number of flows per backend server.
    ///
    /// Invariant: the sum is the number of `flows`; none is zero.
    tags: HashMap<Tag, u32>,
    /// Number of flows per client.
    ///
    /// Invariant: the sum is the number of `flows`; none is zero.
    clients: HashMap<Ipv4Addr, u32>,
    /// When the VM was last heard.
    heard: Time,
    /// Clients that arrived at this VM since the owner was last heard, with the
    /// time.
    moved_clients: HashMap<Ipv4Addr, Time>,
    /// Clients that arrived here before that, with the time.
    roaming: HashMap<Ipv4Addr, Time>,
}

/// Replicas held by this VM.
#[derive(Debug, Default)]
pub struct Replicas {
    owners: HashMap<SocketAddrV4, Owner>,
}

impl Replicas {
    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.owners.values().map(|o| o.flows.len()).sum()
    }

    /// Returns whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.owners.values().all(|o| o.flows.is_empty())
    }

    /// Returns whether there is a replica of a flow of the backend server.
    pub fn holds_flows_of(&self, tag: Tag) -> bool {
        self.owners.values().any(|o| o.tags.contains_key(&tag))
    }

    /// Applies a batch. If its sender has restarted, returns the flows of the
    /// sender's previous run.
    pub fn apply(&mut self, batch: &ReplicaBatch, now: Time) -> Vec<FlowRecord> {
        let room = MAX_REPLICAS.saturating_sub(self.len());
        let owner = self
            .owners
            .entry(batch.owner)
            .or_insert_with(|| Owner::open(batch));
        owner.mark_heard(now);
        // Runs are numbered by wall-clock time, which may go back.
        let has_restarted = batch.incarnation != owner.incarnation;
        if !has_restarted && batch.number <= owner.number {
            return Vec::new();
        }
        let restored = match has_restarted {
            true => owner.records(|_| true),
            false => Vec::new(),
        };
        owner.incarnation = batch.incarnation;
        owner.number = batch.number;
        for record in &batch.flows {
            owner.apply_record(record, room, now);
        }
        restored
    }

    /// Records that a VM was heard.
    pub fn mark_heard(&mut self, vm: SocketAddrV4, now: Time) {
        if let Some(owner) = self.owners.get_mut(&vm) {
            owner.mark_heard(now);
        }
    }

    /// Records that a client arrived at this VM.
    pub fn record_client(&mut self, client: Ipv4Addr, now: Time) {
        for owner in self.owners.values_mut() {
            owner.record_client(client, now);
        }
    }

    /// Returns the data centres whose clients arrive here.
    pub fn moved_data_centres(&self, now: Time) -> SmallVec<[DataCentreId; 2]> {
        let moved = self.owners.values().filter(|o| o.have_clients_moved(now));
        moved.map(|owner| owner.data_centre.clone()).collect()
    }

    /// Removes and returns the flows of the backend servers for which
    /// `has_ended` holds, given the time from `moved_since` at which the clients
    /// of the flow's data centre were sent elsewhere.
    pub fn take_over(
        &mut self,
        moved_since: impl Fn(&DataCentreId) -> Option<Time>,
        has_ended: impl Fn(Tag, Time) -> bool,
    ) -> Vec<FlowRecord> {
        let mut taken = Vec::new();
        for owner in self.owners.values_mut() {
            let Some(since) = moved_since(&owner.data_centre) else {
                continue;
            };
            let tags = owner.tags.keys().copied();
            let ended: Vec<Tag> = tags.filter(|tag| has_ended(*tag, since)).collect();
            if ended.is_empty() {
                continue;
            }
            for record in owner.records(|tag| ended.contains(&tag)) {
                owner.remove(&record.flow);
                taken.push(record);
            }
        }
        taken
    }

    /// Removes replicas that were not updated for longer than `idle_timeout`
    /// plus the refresh interval.
    pub fn sweep(&mut self, idle_timeout: Millis, now: Time) {
        for owner in self.owners.values_mut() {
            owner.sweep(idle_timeout + REFRESH_INTERVAL, now);
        }
        self.owners.retain(|_, owner| !owner.flows.is_empty());
    }
}

impl Owner {
    fn open(batch: &ReplicaBatch) -> Owner {
        Owner {
            incarnation: batch.incarnation,
            data_centre: batch.data_centre.clone(),
            number: 0,
            flows: HashMap::new(),
            tags: HashMap::new(),
            clients: HashMap::new(),
            heard: Time::default(),
            moved_clients: HashMap::new(),
            roaming: HashMap::new(),
        }
    }

    fn apply_record(&mut self, record: &FlowRecord, room: usize, now: Time) {
        let Some(tag) = record.tag else {
            self.remove(&record.flow);
            return;
        };
        let replica = Replica {
            tag,
            ack: record.ack,
            updated_at: now,
        };
        if self.flows.contains_key(&record.flow) {
            self.remove(&record.flow);
        } else if room == 0 {
            return;
        }
        self.flows.insert(record.flow, replica);
        *self.tags.entry(tag).or_default() += 1;
        *self.clients.entry(*record.flow.client.ip()).or_default() += 1;
    }

    fn remove(&mut self, flow: &FlowId) {
        if let Some(replica) = self.flows.remove(flow) {
            decrement(&mut self.tags, replica.tag);
            decrement(&mut self.clients, *flow.client.ip());
        }
    }

    /// Returns the flows of the backend servers for which `is_wanted` holds.
    fn records(&self, is_wanted: impl Fn(Tag) -> bool) -> Vec<FlowRecord> {
        let record = |(flow, replica): (&FlowId, &Replica)| FlowRecord {
            flow: *flow,
            tag: Some(replica.tag),
            ack: replica.ack,
        };
        let wanted = self.flows.iter().filter(|(_, r)| is_wanted(r.tag));
        wanted.map(record).collect()
    }

    fn mark_heard(&mut self, now: Time) {
        self.heard = now;
        self.roaming.extend(self.moved_clients.drain());
    }

    fn record_client(&mut self, client: Ipv4Addr, now: Time) {
        if self.clients.contains_key(&client) && !self.roaming.contains_key(&client) {
            self.moved_clients.insert(client, now);
        }
    }

    /// Returns whether the routers send its clients here since it became
    /// silent.
    fn have_clients_moved(&self, now: Time) -> bool {
        let is_recent = |at: &&Time| now.since(**at) < MOVED_RETENTION;
        let moved = self.moved_clients.values().filter(is_recent).count();
        let enough = MIN_MOVED_CLIENTS.max(self.clients.len() / MOVED_CLIENT_RATIO);
        moved >= enough && now.since(self.heard) >= SILENT_AFTER
    }

    fn sweep(&mut self, lifetime: Millis, now: Time) {
        self.roaming
            .retain(|_, at| now.since(*at) < ROAMING_RETENTION);
        self.moved_clients
            .retain(|_, at| now.since(*at) < MOVED_RETENTION);
        let old: Vec<FlowId> = self
            .flows
            .iter()
            .filter(|(_, r)| now.since(r.updated_at) > lifetime)
            .map(|(flow, _)| *flow)
            .collect();
        for flow in old {
            self.remove(&flow);
        }
    }
}

/// Decrements a count and removes it at zero.
fn decrement<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
