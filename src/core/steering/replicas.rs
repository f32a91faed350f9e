//! Replicas of the flows that VMs of other data centres carry.
//!
//! A client that waits for an answer sends nothing. If the VM that carried its
//! flow is lost together with the backend server, as when a data centre loses
//! power, only a VM with a replica can tell the client.
//!
//! A VM that does not hear a data centre cannot know whether that has lost power
//! or is only cut off and goes on serving. The routers know: they send clients to
//! another data centre only if no VM of their own answers. So replicas are used
//! once their clients turn up here.

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

/// The most replicas. Further ones are not kept.
const MAX_REPLICAS: usize = 32_768;

/// The clients of a VM that have to turn up here, at least.
const MIN_CLIENTS: usize = 3;

/// One client in this many of a VM has to turn up here.
const CLIENT_SHARE: usize = 4;

/// How long a client that turned up here counts.
const TURNED_UP_FOR: Millis = Millis::from_secs(3);

/// A VM that was not heard for this long may be lost.
const SILENT_AFTER: Millis = Millis(800);

/// How long a client that turned up here while its VM was heard shows nothing.
/// The routers may spread the clients of a third data centre over both.
const ROAMS_FOR: Millis = Millis::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Replica {
    tag: Tag,
    ack: u32,
    told: Time,
}

/// The replicas of one VM's flows.
#[derive(Debug)]
struct Owner {
    incarnation: Incarnation,
    data_centre: DataCentreId,
    /// The last batch that was taken.
    number: u64,
    flows: HashMap<FlowId, Replica>,
    /// The flows of each backend server.
    ///
    /// Invariant: the sum is the number of `flows`; none is zero.
    tags: HashMap<Tag, u32>,
    /// The flows of each client.
    ///
    /// Invariant: the sum is the number of `flows`; none is zero.
    clients: HashMap<Ipv4Addr, u32>,
    /// When the VM was heard last.
    heard: Time,
    /// The clients that turned up at this VM since the owner was heard last, and
    /// when.
    turned_up: HashMap<Ipv4Addr, Time>,
    /// The clients that did so before.
    roaming: HashMap<Ipv4Addr, Time>,
}

/// The replicas that this VM keeps.
#[derive(Debug, Default)]
pub struct Replicas {
    owners: HashMap<SocketAddrV4, Owner>,
}

impl Replicas {
    /// The number of replicas.
    pub fn len(&self) -> usize {
        self.owners.values().map(|o| o.flows.len()).sum()
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.owners.values().all(|o| o.flows.is_empty())
    }

    /// Tells whether there is a flow of a backend server.
    pub fn has_any_of(&self, tag: Tag) -> bool {
        self.owners.values().any(|o| o.tags.contains_key(&tag))
    }

    /// Takes in a batch. If the VM has started again, returns what it carried
    /// in its run before.
    pub fn take(&mut self, batch: &ReplicaBatch, now: Time) -> Vec<FlowRecord> {
        let room = MAX_REPLICAS.saturating_sub(self.len());
        let owner = self
            .owners
            .entry(batch.owner)
            .or_insert_with(|| Owner::open(batch));
        owner.hear(now);
        // The time of day, by which runs are numbered, may have gone back.
        let has_restarted = batch.incarnation != owner.incarnation;
        if !has_restarted && batch.number <= owner.number {
            return Vec::new();
        }
        let carried = match has_restarted {
            true => owner.records(|_| true),
            false => Vec::new(),
        };
        owner.incarnation = batch.incarnation;
        owner.number = batch.number;
        for record in &batch.flows {
            owner.note(record, room, now);
        }
        carried
    }

    /// Notes that a VM was heard.
    pub fn hear(&mut self, vm: SocketAddrV4, now: Time) {
        if let Some(owner) = self.owners.get_mut(&vm) {
            owner.hear(now);
        }
    }

    /// Notes that the routers sent a client here.
    pub fn turn_up(&mut self, client: Ipv4Addr, now: Time) {
        for owner in self.owners.values_mut() {
            owner.turn_up(client, now);
        }
    }

    /// The data centres whose clients the routers send here.
    pub fn moved_away(&self, now: Time) -> SmallVec<[DataCentreId; 2]> {
        let moved = self.owners.values().filter(|o| o.has_moved_away(now));
        moved.map(|owner| owner.data_centre.clone()).collect()
    }

    /// Removes and returns the flows that `is_over` says are over since its
    /// clients were sent elsewhere, as `moved_since` tells of its data centre.
    pub fn take_over(
        &mut self,
        moved_since: impl Fn(&DataCentreId) -> Option<Time>,
        is_over: impl Fn(Tag, Time) -> bool,
    ) -> Vec<FlowRecord> {
        let mut taken = Vec::new();
        for owner in self.owners.values_mut() {
            let Some(since) = moved_since(&owner.data_centre) else {
                continue;
            };
            let tags = owner.tags.keys().copied();
            let over: Vec<Tag> = tags.filter(|tag| is_over(*tag, since)).collect();
            if over.is_empty() {
                continue;
            }
            for record in owner.records(|tag| over.contains(&tag)) {
                owner.remove(&record.flow);
                taken.push(record);
            }
        }
        taken
    }

    /// Forgets the flows that rested for longer than `idle_timeout`.
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
            turned_up: HashMap::new(),
            roaming: HashMap::new(),
        }
    }

    fn note(&mut self, record: &FlowRecord, room: usize, now: Time) {
        let Some(tag) = record.tag else {
            self.remove(&record.flow);
            return;
        };
        let replica = Replica {
            tag,
            ack: record.ack,
            told: now,
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
            count_down(&mut self.tags, replica.tag);
            count_down(&mut self.clients, *flow.client.ip());
        }
    }

    /// The flows of the backend servers that `is_wanted` names.
    fn records(&self, is_wanted: impl Fn(Tag) -> bool) -> Vec<FlowRecord> {
        let record = |(flow, replica): (&FlowId, &Replica)| FlowRecord {
            flow: *flow,
            tag: Some(replica.tag),
            ack: replica.ack,
        };
        let wanted = self.flows.iter().filter(|(_, r)| is_wanted(r.tag));
        wanted.map(record).collect()
    }

    fn hear(&mut self, now: Time) {
        self.heard = now;
        self.roaming.extend(self.turned_up.drain());
    }

    fn turn_up(&mut self, client: Ipv4Addr, now: Time) {
        if self.clients.contains_key(&client) && !self.roaming.contains_key(&client) {
            self.turned_up.insert(client, now);
        }
    }

    /// Tells whether the routers send its clients here since it fell silent.
    fn has_moved_away(&self, now: Time) -> bool {
        let is_recent = |at: &&Time| now.since(**at) < TURNED_UP_FOR;
        let turned_up = self.turned_up.values().filter(is_recent).count();
        let enough = MIN_CLIENTS.max(self.clients.len() / CLIENT_SHARE);
        turned_up >= enough && now.since(self.heard) >= SILENT_AFTER
    }

    fn sweep(&mut self, lifetime: Millis, now: Time) {
        self.roaming.retain(|_, at| now.since(*at) < ROAMS_FOR);
        self.turned_up
            .retain(|_, at| now.since(*at) < TURNED_UP_FOR);
        let old: Vec<FlowId> = self
            .flows
            .iter()
            .filter(|(_, r)| now.since(r.told) > lifetime)
            .map(|(flow, _)| *flow)
            .collect();
        for flow in old {
            self.remove(&flow);
        }
    }
}

/// Takes one off a count and forgets it at zero.
fn count_down<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
