//! Which VM sends new flows to a backend server in cold start.
//!
//! Covers a data centre whose backend servers all start at once, alone or while
//! it is cut off from the others, in fleets of any size. The limit on new flows
//! holds for the sum over all VMs, so only one VM may send to a given backend
//! server at a time. One hub of the backend server's own data centre, the
//! granter, spreads the cold backend servers evenly over all live VMs there and
//! renews their grants with each heartbeat. VMs of other data centres get none: what
//! they cannot hear cannot be part of the sum.

use std::net::SocketAddrV4;

use hashbrown::{
    HashMap,
    HashSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Steering,
    cold::{
        DISCOVERY_TIME,
        WINDOW, //
    },
    directory::Fitness,
    directory_entry::Entry,
    known_peer::HEARTBEAT_INTERVAL,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a grant is valid without renewal.
///
/// Invariant: shorter than the time after which the granter counts as lost, so
/// that the next granter's grants do not overlap.
pub const GRANT_TIME: Millis = Millis(2 * HEARTBEAT_INTERVAL.0);

/// How long a backend server is left out when it passes from one VM to another:
/// until the flows that the former one sent are out of the window.
const TRANSFER_TIME: Millis = Millis(WINDOW.0 + GRANT_TIME.0);

/// Interval at which the granter updates its assignments.
const ASSIGN_INTERVAL: Millis = Millis(100);

/// Backend servers in cold start to which the receiver may send new flows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ColdGrants {
    /// Backend servers.
    pub tags: Vec<Tag>,
    /// Whether the granter hears all hubs of its data centre, so that no other
    /// granter is active.
    pub is_sole_granter: bool,
}

/// Grants that this VM holds.
#[derive(Debug, Default)]
pub struct HeldGrants {
    grants: ColdGrants,
    until: Time,
}

impl HeldGrants {
    /// Replaces the grants by those of the granter.
    pub fn replace(&mut self, grants: ColdGrants, now: Time) {
        self.grants = grants;
        self.until = now + GRANT_TIME;
    }

    /// Returns the grants if they include a backend server.
    pub fn get(&self, tag: Tag, now: Time) -> Option<&ColdGrants> {
        (now < self.until && self.grants.tags.contains(&tag)).then_some(&self.grants)
    }
}

/// The VM to which a backend server is assigned.
#[derive(Clone, Debug)]
struct Assignment {
    address: SocketAddrV4,
    usable_from: Time,
}

/// Assignments of the granter.
#[derive(Debug, Default)]
pub struct ColdAssignments {
    assignments: HashMap<Tag, Assignment>,
    /// Whether this VM is the granter.
    is_granter: bool,
    /// Since when this VM is the sole granter.
    sole_since: Option<Time>,
    next_update: Time,
}

impl ColdAssignments {
    /// Returns whether an update is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_update
    }

    /// Assigns each backend server in `cold` to one of the VMs in `grantees`. It
    /// stays there as long as both are listed.
    pub fn update(
        &mut self,
        cold: &[Tag],
        grantees: &[SocketAddrV4],
        is_sole_granter: bool,
        now: Time,
    ) {
        self.is_granter = true;
        self.next_update = now + ASSIGN_INTERVAL;
        self.sole_since = match is_sole_granter {
            true => self.sole_since.or(Some(now)),
            false => None,
        };
        let listed: HashSet<Tag> = cold.iter().copied().collect();
        self.assignments.retain(|tag, _| listed.contains(tag));
        let mut counts: HashMap<SocketAddrV4, usize> = grantees.iter().map(|g| (*g, 0)).collect();
        for assignment in self.assignments.values() {
            if let Some(count) = counts.get_mut(&assignment.address) {
                *count += 1;
            }
        }
        for tag in cold {
            self.assign(*tag, &mut counts, now);
        }
    }

    /// Assigns a backend server to the VM with the fewest, unless it has a VM.
    fn assign(&mut self, tag: Tag, counts: &mut HashMap<SocketAddrV4, usize>, now: Time) {
        let before = self.assignments.get(&tag);
        if before.is_some_and(|a| counts.contains_key(&a.address)) {
            return;
        }
        let usable_from = match before {
            Some(_) => now + TRANSFER_TIME,
            None => now,
        };
        let fewest = counts.iter_mut().min_by_key(|(a, n)| (**n, **a));
        let Some((address, count)) = fewest else {
            return;
        };
        *count += 1;
        let assignment = Assignment {
            address: *address,
            usable_from,
        };
        self.assignments.insert(tag, assignment);
    }

    /// Drops all assignments: another VM is the granter.
    pub fn clear(&mut self, now: Time) {
        *self = ColdAssignments {
            next_update: now + ASSIGN_INTERVAL,
            ..ColdAssignments::default()
        };
    }

    /// Returns the grants for the VM at `to`; `None` unless this VM is the
    /// granter.
    pub fn grants(&self, to: SocketAddrV4, now: Time) -> Option<ColdGrants> {
        if !self.is_granter {
            return None;
        }
        let is_usable = |a: &Assignment| a.address == to && now >= a.usable_from;
        let tags = self.assignments.iter().filter(|(_, a)| is_usable(a));
        let is_settled = |since: Time| now.since(since) >= TRANSFER_TIME;
        Some(ColdGrants {
            tags: tags.map(|(tag, _)| *tag).collect(),
            is_sole_granter: self.sole_since.is_some_and(is_settled),
        })
    }
}

impl Steering {
    /// Updates the grants that this VM gives, if it is the granter.
    pub(super) fn assign_cold(&mut self, now: Time) {
        if !self.peers.is_first_hub(now) {
            self.cold_assignments.clear(now);
            return;
        }
        let has_discovered = now.since(self.started_at) >= DISCOVERY_TIME;
        let cold = match has_discovered {
            true => self.cold_backends(now),
            false => Vec::new(),
        };
        let grantees = self.grantees(now);
        let is_sole = self.peers.hears_local_hubs(now);
        self.cold_assignments.update(&cold, &grantees, is_sole, now);
        if let Some(own) = self.cold_assignments.grants(self.me.address, now) {
            self.cold_grants.replace(own, now);
        }
    }

    /// Returns the cold backend servers that this data centre grants: its own,
    /// and those of data centres without VMs if it is the first one.
    fn cold_backends(&self, now: Time) -> Vec<Tag> {
        let data_centres = self.peers.data_centres();
        let is_first = data_centres.first() == Some(&&self.me.data_centre);
        let is_cold = |e: &Entry| self.directory.fitness(e, now) == Fitness::Cold;
        let is_granted_here = |e: &Entry| match data_centres.contains(&e.server.data_centre) {
            true => e.server.data_centre == self.me.data_centre,
            false => is_first,
        };
        let backends = self.directory.iter();
        let cold = backends.filter(|(_, e)| is_cold(e) && is_granted_here(e));
        let mut tags: Vec<Tag> = cold.map(|(tag, _)| tag).collect();
        tags.sort_unstable();
        tags
    }

    /// Returns the VMs of this data centre that take new flows.
    fn grantees(&self, now: Time) -> Vec<SocketAddrV4> {
        let peers = self.peers.live_local(now).map(|m| &m.heartbeat);
        let peers = peers.filter(|h| !h.is_stopping).map(|h| h.address);
        let me = (!self.is_stopping).then_some(self.me.address);
        peers.chain(me).collect()
    }

    /// Returns the grants to send to the VM at `to`.
    pub(super) fn cold_grants_for(&self, to: SocketAddrV4, now: Time) -> Option<ColdGrants> {
        if !self.peers.is_local(to) {
            return None;
        }
        self.cold_assignments.grants(to, now)
    }
}
