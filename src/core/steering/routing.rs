//! Routes: which services get a new flow.

use std::net::SocketAddrV4;

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::store::{
    Configuration,
    Position,
    Service,
    Share, //
};
use crate::{
    core::names::ServiceId,
    kernel::clock::Millis, //
};

/// Routes of the active configuration.
#[derive(Debug, Default)]
pub struct Routing {
    position: Position,
    cfg: Configuration,
    /// Round-robin state of each route.
    ///
    /// Invariant: one entry for each route of `cfg`.
    schedules: HashMap<SocketAddrV4, WeightedRoundRobin>,
}

/// Outcome of a configuration that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activation {
    /// It is the active one now.
    Activated,
    /// The active one is at least as new.
    Known,
    /// Its version is lower than that of the active one, as in the older copy
    /// that a store was restored from. The operators write theirs again.
    HeldBack,
}

/// Distributes the new flows of a route by smooth weighted round robin: after
/// any number of flows, each service is within one flow of its share.
#[derive(Clone, Debug)]
struct WeightedRoundRobin {
    shares: SmallVec<[Share; 2]>,
    /// Accumulated credit of each share, in units of weight.
    ///
    /// Invariant: as long as `shares`; the sum is zero.
    credits: SmallVec<[i64; 2]>,
}

impl Routing {
    /// Activates `cfg` unless it is older than the active one, by its position
    /// or, in a restored store, by its version. Returns what was done.
    pub fn apply(&mut self, position: Position, cfg: Configuration) -> Activation {
        if position <= self.position {
            return Activation::Known;
        }
        if cfg.version < self.cfg.version {
            return Activation::HeldBack;
        }
        let mut old = std::mem::take(&mut self.schedules);
        for route in &cfg.routes {
            let previous = old.remove(&route.address);
            let schedule = match previous {
                Some(schedule) if schedule.shares == route.shares => schedule,
                _ => WeightedRoundRobin::of(&route.shares),
            };
            self.schedules.insert(route.address, schedule);
        }
        self.position = position;
        self.cfg = cfg;
        Activation::Activated
    }

    /// Store position of the active configuration; zero if there is none.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether there is an active configuration.
    pub fn is_known(&self) -> bool {
        self.position > Position::NONE
    }

    /// Returns the active configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.cfg
    }

    /// Advances a route's round robin. Returns its services, the selected one
    /// first and the others by credit; empty if there is no such route.
    pub fn next_services(&mut self, address: SocketAddrV4) -> SmallVec<[ServiceId; 2]> {
        self.schedules
            .get_mut(&address)
            .map(WeightedRoundRobin::next)
            .unwrap_or_default()
    }

    /// Returns whether a route has the address.
    pub fn has_route(&self, address: SocketAddrV4) -> bool {
        self.schedules.contains_key(&address)
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.cfg.services.iter().find(|s| s.name == *name)
    }

    /// Idle timeout of flows.
    pub fn idle_timeout(&self) -> Millis {
        self.cfg.idle_timeout
    }
}

impl WeightedRoundRobin {
    fn of(shares: &[Share]) -> WeightedRoundRobin {
        let shares: SmallVec<[Share; 2]> =
            shares.iter().filter(|s| s.weight > 0).cloned().collect();
        WeightedRoundRobin {
            credits: shares.iter().map(|_| 0).collect(),
            shares,
        }
    }

    fn next(&mut self) -> SmallVec<[ServiceId; 2]> {
        let total: i64 = self.shares.iter().map(|s| i64::from(s.weight)).sum();
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += i64::from(share.weight);
        }
        let mut order: SmallVec<[usize; 2]> = (0..self.shares.len()).collect();
        order.sort_by_key(|at| std::cmp::Reverse(self.credits[*at]));
        if let Some(first) = order.first() {
            self.credits[*first] -= total;
        }
        order
            .iter()
            .map(|at| self.shares[*at].service.clone())
            .collect()
    }
}
