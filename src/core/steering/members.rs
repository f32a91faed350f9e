//! Peers of this VM: discovery, heartbeats and their loss.

use std::net::SocketAddrV4;

use hashbrown::{
    HashMap,
    HashSet, //
};
use rand::{
    rngs::SmallRng,
    seq::IteratorRandom, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    first_read::is_early_reader,
    known_peer::{
        HEARTBEAT_INTERVAL,
        KnownPeer,
        LOCAL_HEARTBEAT_INTERVAL,
        LOST_AFTER, //
    },
    peers::{
        Contact,
        Heartbeat, //
    },
};
use crate::kernel::clock::Time;

/// Maximum number of early readers that a VM is told of at its start.
const MAX_EARLY_READERS: usize = 16;

/// Maximum number of known peers.
const MAX_PEERS: usize = 4_096;

const CONTACTS_PER_HEARTBEAT: usize = 4;

/// Contacts for a VM that has just started, besides those of the hubs.
const START_CONTACTS: usize = 32;

/// A peer that was heard.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When the heartbeat arrived.
    pub heard: Time,
}

/// Peers of this VM.
#[derive(Debug)]
pub struct Members {
    pub(super) me: Contact,
    heard: HashMap<SocketAddrV4, Member>,
    pub(super) known: HashMap<SocketAddrV4, KnownPeer>,
    /// Peers selected for heartbeats.
    pub(super) neighbours: HashSet<SocketAddrV4>,
    pub(super) is_hub: bool,
    /// Whether other VMs contact this one at their start.
    is_seed: bool,
    pub(super) next_selection: Time,
}

impl Members {
    /// Creates a peer list from the addresses `seeds`.
    pub fn open(me: Contact, seeds: &[SocketAddrV4]) -> Members {
        let mut members = Members {
            heard: HashMap::new(),
            known: HashMap::new(),
            neighbours: HashSet::new(),
            is_hub: true,
            is_seed: seeds.is_empty() || seeds.contains(&me.address),
            next_selection: Time::default(),
            me,
        };
        for seed in seeds {
            members.add(*seed, None, Time::default());
        }
        members
    }

    /// Adds a peer with its contact.
    pub fn add_contact(&mut self, contact: &Contact, now: Time) {
        self.add(contact.address, Some(contact), now);
    }

    /// Adds a peer that gets heartbeats at the start of this VM, hub or not.
    pub fn add_start_peer(&mut self, contact: &Contact, now: Time) {
        self.add_contact(contact, now);
        if let Some(known) = self.known.get_mut(&contact.address) {
            known.is_start_peer = true;
        }
    }

    /// Returns VMs that read the store at their start, at most
    /// `MAX_EARLY_READERS`.
    pub fn early_readers(&self) -> Vec<Contact> {
        let contacts = self.known.values().filter_map(|k| k.contact.as_ref());
        let mut early: Vec<Contact> = contacts
            .filter(|c| is_early_reader(&c.vm))
            .cloned()
            .collect();
        early.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        early.truncate(MAX_EARLY_READERS);
        early
    }

    /// Adds an address at which a peer may be reachable.
    pub fn add_seed(&mut self, address: SocketAddrV4, now: Time) {
        self.add(address, None, now);
    }

    fn add(&mut self, address: SocketAddrV4, contact: Option<&Contact>, now: Time) {
        if address == self.me.address {
            return;
        }
        if let Some(known) = self.known.get_mut(&address) {
            if known.contact.is_none() {
                known.contact = contact.cloned();
            }
            return;
        }
        if self.known.len() >= MAX_PEERS {
            return;
        }
        let known = KnownPeer::open(contact, now);
        self.known.insert(address, known);
        self.next_selection = now;
    }

    /// Iterates over the peers that were heard within `LOST_AFTER`.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.heard
            .values()
            .filter(move |m| now.since(m.heard) < LOST_AFTER)
    }

    /// Returns contacts for a VM that has just started: the hubs of all data
    /// centres and a random sample of the others. Bounded, whatever the size of
    /// the fleet; the VM learns of the rest from heartbeats.
    pub fn start_contacts(&self, now: Time, rng: &mut SmallRng) -> Vec<Contact> {
        let hubs = self.hubs(now);
        let is_hub = |c: &&Contact| hubs.values().any(|h| h.contains(&c.address));
        let contacts = || self.known.values().filter_map(|k| k.contact.as_ref());
        let mut selected: Vec<Contact> = contacts().filter(is_hub).cloned().collect();
        let others = contacts().filter(|c| !is_hub(c));
        let mut sample = vec![self.me.clone(); START_CONTACTS];
        let found = others.cloned().choose_multiple_fill(rng, &mut sample);
        selected.extend(sample.into_iter().take(found));
        selected
    }

    /// Returns the number of known peers, heard or not.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Returns whether other VMs contact this one at their start.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Iterates over the live peers in this data centre.
    pub fn live_local(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.live(now)
            .filter(|m| m.heartbeat.data_centre == self.me.data_centre)
    }

    /// Returns whether a peer is in this data centre.
    pub fn is_local(&self, address: SocketAddrV4) -> bool {
        let known = self.known.get(&address);
        known.is_some_and(|k| k.is_in(&self.me.data_centre))
    }

    /// Returns a random sample of contacts of live peers.
    pub fn sample_contacts(&self, now: Time, rng: &mut SmallRng) -> Vec<Contact> {
        let live = self.live(now).map(|m| m.heartbeat.contact());
        let mut sample = vec![self.me.clone(); CONTACTS_PER_HEARTBEAT];
        let found = live.choose_multiple_fill(rng, &mut sample);
        sample.truncate(found);
        sample
    }

    /// Selects the VM that holds replicas of this VM's flows: one in another
    /// data centre, weighted by CPU capacity. A neighbour must be live to be
    /// selected.
    pub fn replica_holder(&self, avoid: Option<SocketAddrV4>, now: Time) -> Option<SocketAddrV4> {
        let may_hold = |(address, known): &(&SocketAddrV4, &KnownPeer)| {
            Some(**address) != avoid && (known.is_live(now) || !self.neighbours.contains(*address))
        };
        let candidates = self.known.iter().filter(may_hold);
        candidates
            .filter_map(|(_, known)| known.contact.as_ref())
            .filter(|c| c.data_centre != self.me.data_centre)
            .max_by(|a, b| {
                self.rendezvous_score(a)
                    .total_cmp(&self.rendezvous_score(b))
            })
            .map(|c| c.address)
    }

    /// Score for weighted rendezvous hashing, which changes few selections when
    /// VMs come and go.
    fn rendezvous_score(&self, contact: &Contact) -> f64 {
        let hash = xxh3_64_with_seed(contact.vm.as_str().as_bytes(), self.me.vm.hash64());
        let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -f64::from(contact.millicores) / unit.ln()
    }

    /// Returns whether this VM wants heartbeats from `address`.
    pub fn is_neighbour(&self, address: SocketAddrV4) -> bool {
        self.neighbours.contains(&address)
    }

    /// Records a heartbeat. Returns the previous one unless the peer was lost or has
    /// restarted since.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> Option<Heartbeat> {
        let address = heartbeat.address;
        if address == self.me.address {
            return None;
        }
        let contact = heartbeat.contact();
        let incarnation = heartbeat.incarnation;
        self.add(address, Some(&contact), now);
        if let Some(known) = self.known.get_mut(&address) {
            known.contact = Some(contact);
            known.heard = now;
            known.silent_since = None;
            known.is_start_peer = false;
            known.wants_heartbeats = heartbeat.wants_reply;
            // Ends the longer interval used while the peer was silent.
            known.next = known.next.min(now + HEARTBEAT_INTERVAL);
        }
        let member = Member {
            heartbeat,
            heard: now,
        };
        let before = self.heard.insert(address, member);
        let before = before.filter(|m| now.since(m.heard) < LOST_AFTER);
        let before = before.filter(|m| m.heartbeat.incarnation == incarnation);
        if before.is_none() {
            self.answer_soon(address, now);
        }
        before.map(|m| m.heartbeat)
    }

    /// Makes a heartbeat to a peer due now: it has just started and waits for it.
    fn answer_soon(&mut self, address: SocketAddrV4, now: Time) {
        if let Some(known) = self.known.get_mut(&address) {
            known.next = now;
        }
    }

    /// Takes the addresses to which a heartbeat is due.
    pub fn take_due(&mut self, now: Time) -> Vec<SocketAddrV4> {
        if now >= self.next_selection {
            self.select_neighbours(now);
        }
        let mut due = Vec::new();
        let is_full_mesh = self.is_full_mesh();
        for (address, known) in &mut self.known {
            let is_neighbour = self.neighbours.contains(address);
            if now < known.next || !(is_neighbour || known.wants_heartbeats) {
                continue;
            }
            let usual = match is_full_mesh && known.is_in(&self.me.data_centre) {
                true => LOCAL_HEARTBEAT_INTERVAL,
                false => HEARTBEAT_INTERVAL,
            };
            known.next = now + known.heartbeat_interval(usual, now);
            known.unanswered = known.unanswered.saturating_add(1);
            if is_neighbour && now.since(known.heard) >= HEARTBEAT_INTERVAL {
                known.silent_since.get_or_insert(now);
            }
            due.push(*address);
        }
        due
    }

    /// Makes heartbeats to all live peers due now.
    pub fn send_soon(&mut self, now: Time) {
        for known in self.known.values_mut() {
            if known.is_live(now) {
                known.next = now;
            }
        }
    }

    /// Removes lost peers and returns their last heartbeats.
    pub fn take_lost(&mut self, now: Time) -> Vec<Heartbeat> {
        let is_lost = |m: &Member| now.since(m.heard) >= LOST_AFTER;
        let lost: Vec<Heartbeat> = self
            .heard
            .extract_if(|_, m| is_lost(m))
            .map(|(_, m)| m.heartbeat)
            .collect();
        for heartbeat in &lost {
            if let Some(known) = self.known.get_mut(&heartbeat.address) {
                known.wants_heartbeats = false;
            }
        }
        lost
    }
}
