//! Which VMs there are, and which of them this one talks to.
//!
//! A few VMs all talk to each other. In a larger fleet the strongest VMs of each
//! data centre are its hubs: every VM talks to the hubs of its own data centre,
//! and hubs talk to the hubs of the others. So what a VM spends on this does not
//! grow with the fleet, unless it is a hub. All VMs rank alike; one that does
//! not hear a hub goes on to the next.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddrV4, //
};

use hashbrown::{
    HashMap,
    HashSet, //
};
use rand::{
    rngs::SmallRng,
    seq::IteratorRandom, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::peers::{
    Contact,
    Heartbeat, //
};
use crate::{
    core::names::{
        DataCentreId,
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

/// The time between two heartbeats to a VM that does not answer.
const SEARCH_INTERVAL: Millis = Millis(1_000);

/// How long a VM that did not answer is not chosen as a hub.
const AVOID_FOR: Millis = Millis::from_secs(3);

/// A VM that was not heard for this long is no longer looked for.
const FORGET_AFTER: Millis = Millis::from_secs(300);

/// A VM that was not heard for longer has ended and is not missed.
const MISSED_FOR: Millis = Millis::from_secs(60);

/// How often the hubs are chosen anew.
const REVIEW_INTERVAL: Millis = Millis(100);

/// Up to so many other VMs are all talked to.
const MOST_IN_MESH: usize = 16;

/// The hubs of a data centre.
const HUBS: usize = 2;

/// The most VMs that are known.
const MAX_KNOWN: usize = 4_096;

/// The contacts that a heartbeat names.
const CONTACTS_TOLD: usize = 4;

/// A VM that was heard.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said last.
    pub heartbeat: Heartbeat,
    /// When that was.
    pub heard: Time,
}

/// A VM that may be there.
#[derive(Clone, Debug)]
struct Known {
    /// `None` for a seed that was never heard.
    contact: Option<Contact>,
    /// When it was heard, or first heard of.
    heard: Time,
    /// Since when heartbeats to it have not been answered.
    silent_since: Option<Time>,
    /// Whether it wants heartbeats of this VM.
    wants_us: bool,
    /// When it gets the next heartbeat, if it gets any.
    next: Time,
}

/// The other VMs.
#[derive(Debug)]
pub struct Members {
    me: Contact,
    heard: HashMap<SocketAddrV4, Member>,
    known: HashMap<SocketAddrV4, Known>,
    /// The VMs that this one wants to hear.
    chosen: HashSet<SocketAddrV4>,
    is_hub: bool,
    next_review: Time,
}

impl Members {
    /// Starts with the addresses `seeds`.
    pub fn open(me: Contact, seeds: &[SocketAddrV4]) -> Members {
        let mut members = Members {
            heard: HashMap::new(),
            known: HashMap::new(),
            chosen: HashSet::new(),
            is_hub: true,
            next_review: Time::default(),
            me,
        };
        for seed in seeds {
            members.add(*seed, None, Time::default());
        }
        members
    }

    /// Adds a VM that may be there.
    pub fn add_contact(&mut self, contact: &Contact, now: Time) {
        self.add(contact.address, Some(contact), now);
    }

    /// Adds an address at which a VM may be found.
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
        if self.known.len() >= MAX_KNOWN {
            return;
        }
        let known = Known {
            contact: contact.cloned(),
            heard: now,
            silent_since: None,
            wants_us: false,
            next: now,
        };
        self.known.insert(address, known);
        self.next_review = now;
    }

    /// The VMs that were heard of late.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.heard
            .values()
            .filter(move |m| now.since(m.heard) < LOST_AFTER)
    }

    /// The contacts of all VMs that may be there.
    pub fn contacts(&self) -> impl Iterator<Item = &Contact> {
        self.known.values().filter_map(|k| k.contact.as_ref())
    }

    /// Tells whether all VMs that this one talks to are heard, unless they have
    /// been gone for long.
    pub fn is_whole(&self, now: Time) -> bool {
        let missed = |k: &Known| !k.is_live(now) && now.since(k.heard) < MISSED_FOR;
        let mut chosen = self.chosen.iter().filter_map(|a| self.known.get(a));
        !chosen.any(missed)
    }

    /// Some contacts of VMs that were heard of late, others each time.
    pub fn some_contacts(&self, now: Time, rng: &mut SmallRng) -> Vec<Contact> {
        let live = self.live(now).map(|m| m.heartbeat.contact());
        let mut some = vec![self.me.clone(); CONTACTS_TOLD];
        let found = live.choose_multiple_fill(rng, &mut some);
        some.truncate(found);
        some
    }

    /// Tells whether this VM is among the first of its data centre.
    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Chooses the VM that keeps replicas of this one's flows: one of another
    /// data centre, the strong more often. A VM that should be heard has to be.
    pub fn replica_holder(&self, avoid: Option<SocketAddrV4>, now: Time) -> Option<SocketAddrV4> {
        let may_hold = |(address, known): &(&SocketAddrV4, &Known)| {
            Some(**address) != avoid && (known.is_live(now) || !self.chosen.contains(*address))
        };
        let candidates = self.known.iter().filter(may_hold);
        candidates
            .filter_map(|(_, known)| known.contact.as_ref())
            .filter(|c| c.data_centre != self.me.data_centre)
            .max_by(|a, b| self.affinity(a).total_cmp(&self.affinity(b)))
            .map(|c| c.address)
    }

    /// Orders VMs by weighted rendezvous hashing, so that few choices change
    /// when VMs come and go.
    fn affinity(&self, contact: &Contact) -> f64 {
        let hash = xxh3_64_with_seed(contact.vm.as_str().as_bytes(), self.me.vm.hash64());
        let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -f64::from(contact.millicores) / unit.ln()
    }

    /// Tells whether this VM wants to hear the one at `address`.
    pub fn is_neighbour(&self, address: SocketAddrV4) -> bool {
        self.chosen.contains(&address)
    }

    /// Takes in a heartbeat. Returns the one before it, if the VM was not lost.
    pub fn hear(&mut self, heartbeat: Heartbeat, now: Time) -> Option<Heartbeat> {
        let address = heartbeat.address;
        if address == self.me.address {
            return None;
        }
        let contact = heartbeat.contact();
        self.add(address, Some(&contact), now);
        if let Some(known) = self.known.get_mut(&address) {
            known.contact = Some(contact);
            known.heard = now;
            known.silent_since = None;
            known.wants_us = heartbeat.wants_reply;
            // It may have been looked for at longer intervals before.
            known.next = known.next.min(now + HEARTBEAT_INTERVAL);
        }
        let member = Member {
            heartbeat,
            heard: now,
        };
        let before = self.heard.insert(address, member)?;
        (now.since(before.heard) < LOST_AFTER).then_some(before.heartbeat)
    }

    /// Returns the addresses that a heartbeat is due to.
    pub fn take_due(&mut self, now: Time) -> Vec<SocketAddrV4> {
        if now >= self.next_review {
            self.review(now);
        }
        let mut due = Vec::new();
        for (address, known) in &mut self.known {
            let is_chosen = self.chosen.contains(address);
            if now < known.next || !(is_chosen || known.wants_us) {
                continue;
            }
            known.next = now + known.pause(now);
            if is_chosen && now.since(known.heard) >= HEARTBEAT_INTERVAL {
                known.silent_since.get_or_insert(now);
            }
            due.push(*address);
        }
        due
    }

    /// Makes a heartbeat to all live VMs due.
    pub fn hurry(&mut self, now: Time) {
        for known in self.known.values_mut() {
            if known.is_live(now) {
                known.next = now;
            }
        }
    }

    /// Removes the VMs that were lost and returns their last heartbeats.
    pub fn take_lost(&mut self, now: Time) -> Vec<Heartbeat> {
        let is_lost = |m: &Member| now.since(m.heard) >= LOST_AFTER;
        let lost: Vec<Heartbeat> = self
            .heard
            .extract_if(|_, m| is_lost(m))
            .map(|(_, m)| m.heartbeat)
            .collect();
        for heartbeat in &lost {
            if let Some(known) = self.known.get_mut(&heartbeat.address) {
                known.wants_us = false;
            }
        }
        lost
    }

    /// Chooses whom to talk to.
    fn review(&mut self, now: Time) {
        self.next_review = now + REVIEW_INTERVAL;
        self.known.retain(|_, k| now.since(k.heard) < FORGET_AFTER);
        if self.known.len() <= MOST_IN_MESH {
            self.is_hub = true;
            self.chosen = self.known.keys().copied().collect();
            return;
        }
        let hubs = self.hubs(now);
        let mine = hubs.get(&self.me.data_centre);
        self.is_hub = mine.is_some_and(|h| h.contains(&self.me.address));
        let seeds = self.known.iter().filter(|(_, k)| k.contact.is_none());
        let mut chosen: HashSet<SocketAddrV4> = seeds.map(|(address, _)| *address).collect();
        for (place, hubs) in &hubs {
            if *place == self.me.data_centre || self.is_hub {
                chosen.extend(hubs);
            }
        }
        chosen.remove(&self.me.address);
        self.chosen = chosen;
    }

    /// The first VMs of each data centre, among those that may be there.
    fn hubs(&self, now: Time) -> BTreeMap<DataCentreId, Vec<SocketAddrV4>> {
        let others = self.known.values().filter(|k| k.may_answer(now));
        let others = others.filter_map(|k| k.contact.as_ref());
        let mut by_place: BTreeMap<DataCentreId, Vec<&Contact>> = BTreeMap::new();
        for contact in others.chain([&self.me]) {
            let place = by_place.entry(contact.data_centre.clone()).or_default();
            place.push(contact);
        }
        let first = |mut place: Vec<&Contact>| {
            place.sort_by_key(|c| order(c));
            place.iter().take(HUBS).map(|c| c.address).collect()
        };
        by_place
            .into_iter()
            .map(|(name, place)| (name, first(place)))
            .collect()
    }
}

/// The order in which VMs serve others: the strongest first, then by name.
fn order(contact: &Contact) -> (Reverse<u32>, VmId) {
    (Reverse(contact.millicores), contact.vm.clone())
}

impl Known {
    fn is_live(&self, now: Time) -> bool {
        now.since(self.heard) < LOST_AFTER
    }

    fn pause(&self, now: Time) -> Millis {
        let is_silent = |since: Time| now.since(since) >= LOST_AFTER;
        if self.silent_since.is_some_and(is_silent) {
            return SEARCH_INTERVAL;
        }
        HEARTBEAT_INTERVAL
    }

    /// Tells whether it has not just failed to answer.
    fn may_answer(&self, now: Time) -> bool {
        let Some(since) = self.silent_since else {
            return true;
        };
        let silent_for = now.since(since);
        silent_for < LOST_AFTER || silent_for >= LOST_AFTER + AVOID_FOR
    }
}
