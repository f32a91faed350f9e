//! Routes: which service a new flow goes to.

use std::net::SocketAddrV4;

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::store::{
    Configuration,
    Revision,
    Service,
    Share, //
};
use crate::{
    core::names::ServiceId,
    kernel::clock::Millis, //
};

/// The routes in force.
#[derive(Debug, Default)]
pub struct Routing {
    revision: Revision,
    cfg: Configuration,
    /// Where each route's turn stands.
    ///
    /// Invariant: one entry for each route of `cfg`.
    turns: HashMap<SocketAddrV4, Turns>,
}

/// Divides the new flows of a route by smooth weighted round robin: after any
/// number of flows, each service is within one flow of its share.
#[derive(Clone, Debug)]
struct Turns {
    shares: SmallVec<[Share; 2]>,
    /// What each share is owed, in units of weight.
    ///
    /// Invariant: as long as `shares`; the sum is zero.
    owed: SmallVec<[i64; 2]>,
}

impl Routing {
    /// Puts `cfg` in force unless it is older than what is. Returns whether it
    /// was taken.
    pub fn apply(&mut self, revision: Revision, cfg: Configuration) -> bool {
        if revision <= self.revision {
            return false;
        }
        let mut old = std::mem::take(&mut self.turns);
        for route in &cfg.routes {
            let kept = old.remove(&route.address);
            let turns = match kept {
                Some(turns) if turns.shares == route.shares => turns,
                _ => Turns::of(&route.shares),
            };
            self.turns.insert(route.address, turns);
        }
        self.revision = revision;
        self.cfg = cfg;
        true
    }

    /// The store's version of the configuration in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Tells whether any configuration is in force.
    pub fn is_known(&self) -> bool {
        self.revision > Revision(0)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.cfg
    }

    /// Returns the services of a route, the one whose turn it is first and the
    /// others by weight. Empty if there is no such route.
    pub fn take_turn(&mut self, address: SocketAddrV4) -> SmallVec<[ServiceId; 2]> {
        self.turns
            .get_mut(&address)
            .map(Turns::next)
            .unwrap_or_default()
    }

    /// Tells whether a route has the address.
    pub fn has_route(&self, address: SocketAddrV4) -> bool {
        self.turns.contains_key(&address)
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.cfg.services.iter().find(|s| s.name == *name)
    }

    /// How long a flow may rest.
    pub fn idle_timeout(&self) -> Millis {
        self.cfg.idle_timeout
    }
}

impl Turns {
    fn of(shares: &[Share]) -> Turns {
        let shares: SmallVec<[Share; 2]> =
            shares.iter().filter(|s| s.weight > 0).cloned().collect();
        Turns {
            owed: shares.iter().map(|_| 0).collect(),
            shares,
        }
    }

    fn next(&mut self) -> SmallVec<[ServiceId; 2]> {
        let total: i64 = self.shares.iter().map(|s| i64::from(s.weight)).sum();
        for (owed, share) in self.owed.iter_mut().zip(&self.shares) {
            *owed += i64::from(share.weight);
        }
        let mut order: SmallVec<[usize; 2]> = (0..self.shares.len()).collect();
        order.sort_by_key(|at| std::cmp::Reverse(self.owed[*at]));
        if let Some(first) = order.first() {
            self.owed[*first] -= total;
        }
        order
            .iter()
            .map(|at| self.shares[*at].service.clone())
            .collect()
    }
}
