//! Selection of the peers that get heartbeats.
//!
//! Small fleets form a full mesh. In a larger fleet the VMs with the most CPU
//! capacity in each data centre are its hubs: every VM exchanges heartbeats
//! with the hubs of its own data centre, and hubs with the hubs of the others.
//! So the cost for a VM that is not a hub does not grow with the fleet. All VMs
//! use the same ranking; one that cannot hear a hub tries the next.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddrV4, //
};

use hashbrown::HashSet;

use super::{
    known_peer::KnownPeer,
    members::Members,
    peers::Contact, //
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

/// A peer that was silent for longer counts as ended rather than missing.
const MISSING_FOR: Millis = Millis::from_secs(60);

/// Interval at which neighbours are selected.
const SELECTION_INTERVAL: Millis = Millis(100);

/// Maximum number of peers in a full mesh.
const MAX_FULL_MESH: usize = 16;

const HUBS_PER_DATA_CENTRE: usize = 2;

/// A peer that was not heard for this long is removed.
const FORGET_AFTER: Millis = Millis::from_secs(300);

impl Members {
    /// Returns whether this VM is a hub of its data centre.
    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Returns whether all VMs exchange heartbeats with each other.
    pub fn is_full_mesh(&self) -> bool {
        self.known.len() <= MAX_FULL_MESH
    }

    /// Returns whether all other VMs of this data centre that may be hubs are
    /// heard: selected ones, and those that rank before this VM. Those that were
    /// silent for longer than `MISSING_FOR` do not count. A peer of unknown
    /// data centre counts as one of this data centre.
    pub fn hears_local_hubs(&self, now: Time) -> bool {
        let is_missing = |k: &KnownPeer| !k.is_live(now) && now.since(k.heard) < MISSING_FOR;
        let mut missing = self.known.iter().filter(|(_, k)| is_missing(k));
        !missing.any(|(address, k)| self.may_be_local_hub(*address, k.contact.as_ref()))
    }

    fn may_be_local_hub(&self, address: SocketAddrV4, contact: Option<&Contact>) -> bool {
        let Some(contact) = contact else {
            return true;
        };
        let is_first = hub_order(contact) < hub_order(&self.me);
        contact.data_centre == self.me.data_centre && (is_first || self.is_neighbour(address))
    }

    /// Returns whether this VM is the first hub of its data centre that is
    /// heard. In a large fleet, a VM that hears none of its data centre is not:
    /// it is more likely cut off than alone.
    pub fn is_first_hub(&self, now: Time) -> bool {
        let order = hub_order(&self.me);
        let mut local = self
            .live_local(now)
            .map(|m| m.heartbeat.contact())
            .peekable();
        let is_alone = local.peek().is_none() && self.knows_local_peers();
        let may_lead = self.is_hub && !(is_alone && self.known.len() > MAX_FULL_MESH);
        may_lead && local.all(|c| hub_order(&c) > order)
    }

    fn knows_local_peers(&self) -> bool {
        let mut contacts = self.known.values().filter_map(|k| k.contact.as_ref());
        contacts.any(|c| c.data_centre == self.me.data_centre)
    }

    /// Returns the data centres with known VMs.
    pub fn data_centres(&self) -> BTreeSet<&DataCentreId> {
        let contacts = self.known.values().filter_map(|k| k.contact.as_ref());
        contacts.chain([&self.me]).map(|c| &c.data_centre).collect()
    }

    pub(super) fn select_neighbours(&mut self, now: Time) {
        self.next_selection = now + SELECTION_INTERVAL;
        self.known.retain(|_, k| now.since(k.heard) < FORGET_AFTER);
        if self.is_full_mesh() {
            self.is_hub = true;
            self.neighbours = self.known.keys().copied().collect();
            return;
        }
        let hubs = self.hubs(now);
        let mine = hubs.get(&self.me.data_centre);
        self.is_hub = mine.is_some_and(|h| h.contains(&self.me.address));
        let wanted = self
            .known
            .iter()
            .filter(|(_, k)| k.gets_first_heartbeats(now));
        let mut neighbours: HashSet<SocketAddrV4> = wanted.map(|(address, _)| *address).collect();
        for (data_centre, hubs) in &hubs {
            if *data_centre == self.me.data_centre || self.is_hub {
                neighbours.extend(hubs);
            }
        }
        neighbours.remove(&self.me.address);
        self.neighbours = neighbours;
    }

    /// Returns the hubs of each data centre, among peers that may answer.
    pub(super) fn hubs(&self, now: Time) -> BTreeMap<DataCentreId, Vec<SocketAddrV4>> {
        let others = self.known.values().filter(|k| k.may_answer(now));
        let others = others.filter_map(|k| k.contact.as_ref());
        let mut by_data_centre: BTreeMap<DataCentreId, Vec<&Contact>> = BTreeMap::new();
        for contact in others.chain([&self.me]) {
            let contacts = by_data_centre
                .entry(contact.data_centre.clone())
                .or_default();
            contacts.push(contact);
        }
        let hubs = |mut contacts: Vec<&Contact>| {
            contacts.sort_by_key(|c| hub_order(c));
            contacts
                .iter()
                .take(HUBS_PER_DATA_CENTRE)
                .map(|c| c.address)
                .collect()
        };
        by_data_centre
            .into_iter()
            .map(|(data_centre, contacts)| (data_centre, hubs(contacts)))
            .collect()
    }
}

/// Ranking of hubs: highest CPU capacity first, then by name.
fn hub_order(contact: &Contact) -> (Reverse<u32>, VmId) {
    (Reverse(contact.millicores), contact.vm.clone())
}
