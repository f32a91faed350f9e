//! The other VMs: who is there, what they know, and what their flows ask of the
//! backend servers.

use std::net::SocketAddrV4;

use hashbrown::HashMap;
use rand::{
    rngs::SmallRng,
    seq::IteratorRandom, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    flows::Load,
    store::{
        Kind,
        Object,
        Revision, //
    },
    tag::Tag,
};
use crate::{
    core::names::{
        DataCentreId,
        Incarnation,
        VmId, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// A VM that was not heard for this long counts as lost.
pub const LOST_AFTER: Millis = Millis(800);

/// The time between two heartbeats to a VM that was not heard.
const SEARCH_INTERVAL: Millis = Millis(1_000);

/// A VM that was not heard for this long is no longer looked for.
const FORGET_AFTER: Millis = Millis::from_secs(300);

/// The addresses that a heartbeat names.
const CONTACTS_TOLD: usize = 4;

/// The most addresses that are tried.
const MAX_CONTACTS: usize = 1_024;

/// What a VM knows of one kind of object.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Belief {
    /// The version up to which all changes are known. Zero if none.
    pub revision: Revision,
    /// The version at which something changed last.
    pub changed: Revision,
    /// How long ago the store was known to have nothing newer.
    pub age: Millis,
}

/// What VMs tell each other a few times a second.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes heartbeats and gives snapshots.
    pub address: SocketAddrV4,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// Whether the store answered its last calls.
    pub has_store: bool,
    /// What it knows, by the order of [`Kind::ALL`].
    pub beliefs: [Belief; Kind::ALL.len()],
    /// How long ago the store was last in trouble, as seen by the sender.
    pub trouble_age: Option<Millis>,
    /// What its flows ask of the backend servers.
    pub loads: Vec<TagLoad>,
    /// The backend servers that it holds for dead.
    pub dead: Vec<Tag>,
    /// Some of the VMs that it hears.
    pub contacts: Vec<SocketAddrV4>,
}

/// What flows ask of one backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TagLoad {
    /// The backend server.
    pub tag: Tag,
    /// The open flows.
    pub flows: u32,
    /// Those whose client waits for an answer.
    pub waiting: u32,
}

/// Asks a VM for what it knows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// The kinds that are wanted.
    pub kinds: Vec<Kind>,
}

/// What a VM knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// One part for each kind that was asked for and is known.
    pub parts: Vec<SnapshotPart>,
    /// Where other VMs may be found.
    pub contacts: Vec<SocketAddrV4>,
}

/// What a VM knows of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The kind.
    pub kind: Kind,
    /// Up to which version, and how old that is.
    pub belief: Belief,
    /// All objects of the kind.
    pub objects: Vec<Object>,
}

/// A VM that was heard.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said last.
    pub heartbeat: Heartbeat,
    /// When that was.
    pub heard: Time,
}

/// The other VMs.
#[derive(Debug)]
pub struct Peers {
    me: SocketAddrV4,
    members: HashMap<SocketAddrV4, Member>,
    contacts: HashMap<SocketAddrV4, Contact>,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When it was heard, or first heard of.
    heard: Time,
    next: Time,
}

impl Peers {
    /// Starts with the addresses `seeds`.
    pub fn open(me: SocketAddrV4, seeds: &[SocketAddrV4]) -> Peers {
        let mut peers = Peers {
            me,
            members: HashMap::new(),
            contacts: HashMap::new(),
        };
        for seed in seeds {
            peers.add_contact(*seed, Time::default());
        }
        peers
    }

    /// Adds an address that may be another VM's.
    pub fn add_contact(&mut self, address: SocketAddrV4, now: Time) {
        if address == self.me || self.contacts.len() >= MAX_CONTACTS {
            return;
        }
        self.contacts.entry(address).or_insert(Contact {
            heard: now,
            next: now,
        });
    }

    /// The addresses of the VMs that were heard of late.
    pub fn addresses(&self, now: Time) -> Vec<SocketAddrV4> {
        self.live(now).map(|m| m.heartbeat.address).collect()
    }

    /// Some addresses of VMs that were heard of late, others each time.
    pub fn some_addresses(&self, now: Time, rng: &mut SmallRng) -> Vec<SocketAddrV4> {
        let live = self.live(now).map(|m| m.heartbeat.address);
        let mut some = vec![self.me; CONTACTS_TOLD];
        let found = live.choose_multiple_fill(rng, &mut some);
        some.truncate(found);
        some
    }

    /// The VMs that were heard of late.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| now.since(m.heard) < LOST_AFTER)
    }

    /// Takes in a heartbeat. Returns the one before it, if the VM was not lost.
    pub fn hear(&mut self, heartbeat: Heartbeat, now: Time) -> Option<Heartbeat> {
        let address = heartbeat.address;
        if address == self.me {
            return None;
        }
        self.add_contact(address, now);
        if let Some(contact) = self.contacts.get_mut(&address) {
            contact.heard = now;
            // It may have been looked for at longer intervals before.
            contact.next = contact.next.min(now + HEARTBEAT_INTERVAL);
        }
        let member = Member {
            heartbeat,
            heard: now,
        };
        let before = self.members.insert(address, member)?;
        (now.since(before.heard) < LOST_AFTER).then_some(before.heartbeat)
    }

    /// Returns the addresses that a heartbeat is due to.
    pub fn take_due(&mut self, now: Time) -> Vec<SocketAddrV4> {
        self.contacts
            .retain(|_, c| now.since(c.heard) < FORGET_AFTER);
        let mut due = Vec::new();
        for (address, contact) in &mut self.contacts {
            if now < contact.next {
                continue;
            }
            let is_live = now.since(contact.heard) < LOST_AFTER;
            let pause = if is_live {
                HEARTBEAT_INTERVAL
            } else {
                SEARCH_INTERVAL
            };
            contact.next = now + pause;
            due.push(*address);
        }
        due
    }

    /// Makes a heartbeat to all live VMs due.
    pub fn hurry(&mut self, now: Time) {
        for contact in self.contacts.values_mut() {
            if now.since(contact.heard) < LOST_AFTER {
                contact.next = now;
            }
        }
    }

    /// Removes the VMs that were lost and returns their last heartbeats.
    pub fn take_lost(&mut self, now: Time) -> Vec<Heartbeat> {
        let lost: Vec<SocketAddrV4> = self
            .members
            .iter()
            .filter(|(_, m)| now.since(m.heard) >= LOST_AFTER)
            .map(|(address, _)| *address)
            .collect();
        lost.iter()
            .filter_map(|address| self.members.remove(address))
            .map(|m| m.heartbeat)
            .collect()
    }
}

/// What the flows of other VMs ask of the backend servers.
#[derive(Debug, Default)]
pub struct RemoteLoads {
    sums: HashMap<Tag, Load>,
}

impl RemoteLoads {
    /// The sum over the other VMs.
    pub fn load(&self, tag: Tag) -> Load {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    /// Replaces what one VM said by what it says now.
    pub fn replace(&mut self, before: &[TagLoad], after: &[TagLoad]) {
        for load in after {
            let sum = self.sums.entry(load.tag).or_default();
            sum.flows += load.flows;
            sum.waiting += load.waiting;
        }
        for load in before {
            let Some(sum) = self.sums.get_mut(&load.tag) else {
                continue;
            };
            sum.flows = sum.flows.saturating_sub(load.flows);
            sum.waiting = sum.waiting.saturating_sub(load.waiting);
            if *sum == Load::default() {
                self.sums.remove(&load.tag);
            }
        }
    }
}
