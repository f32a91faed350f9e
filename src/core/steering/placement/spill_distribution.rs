//! Distribution of the demand of all data centres over their capacity.
//!
//! Designed for up to ten data centres: the work is bounded by
//! `STEPS x data centres^3` comparisons, and nothing is compared while each
//! data centre can serve its own demand.

use smallvec::SmallVec;

use super::spill_wait::expected_wait_ms;

/// Parts into which the demand of each data centre is divided. One part is the
/// resolution of the share that leaves.
const STEPS: f64 = 100.0;

/// Demand and capacity of a data centre, both in slots of mean speed.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Load of its clients, wherever they are served.
    pub demand: f64,
    /// Slots of its backend servers that take new flows.
    pub slots: f64,
}

/// Where the demand of each data centre should be served.
#[derive(Clone, Debug)]
pub struct Distribution {
    /// Invariant: one entry per pair of data centres, ordered by origin; the
    /// entries of an origin add up to its demand.
    served: Vec<f64>,
    /// Invariant: one entry per data centre.
    roles: Vec<Role>,
}

/// Whether a data centre exchanges demand with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Neither,
    Sends,
    Receives,
}

impl Distribution {
    /// Returns how much of the demand of `origin` should be served in
    /// `destination`.
    pub fn served(&self, origin: usize, destination: usize) -> f64 {
        self.served[origin * self.roles.len() + destination]
    }

    /// Returns whether `origin` should send flows to `destination`.
    pub fn is_sending(&self, origin: usize, destination: usize) -> bool {
        origin != destination && self.served(origin, destination) > 0.0
    }

    fn local(sites: &[Site]) -> Distribution {
        let mut served = vec![0.0; sites.len() * sites.len()];
        for (at, site) in sites.iter().enumerate() {
            served[at * sites.len() + at] = site.demand;
        }
        let roles = vec![Role::Neither; sites.len()];
        Distribution { served, roles }
    }

    fn shift(&mut self, from: usize, to: usize, amount: f64) {
        let sites = self.roles.len();
        self.served[from * sites + from] -= amount;
        self.served[from * sites + to] += amount;
        self.roles[from] = Role::Sends;
        self.roles[to] = Role::Receives;
    }
}

/// A data centre that sends a part of its demand to another one.
#[derive(Clone, Copy, Debug)]
struct Move {
    from: usize,
    to: usize,
    /// By how much the wait there is shorter, less the cost, in milliseconds.
    gain_ms: f64,
}

/// Distributes demand so that no part of it would gain by being served in
/// another data centre. A data centre that sends receives nothing.
///
/// `cost_ms` is the delay and the cost between two data centres; `None` if the
/// first must not send to the second.
pub fn distribute(
    sites: &[Site],
    service_ms: f64,
    cost_ms: impl Fn(usize, usize) -> Option<f64>,
) -> Distribution {
    let mut distribution = Distribution::local(sites);
    let wait = |site: &Site, load: f64| expected_wait_ms(load, site.slots, service_ms);
    let mut loads: SmallVec<[f64; 8]> = sites.iter().map(|s| s.demand).collect();
    let mut waits: SmallVec<[f64; 8]> = sites.iter().map(|s| wait(s, s.demand)).collect();
    for _ in 0..sites.len() * STEPS as usize {
        let Some(Move { from, to, .. }) = best_move(sites, &distribution, &waits, &cost_ms) else {
            break;
        };
        let local = distribution.served(from, from);
        let amount = (sites[from].demand / STEPS).min(local);
        distribution.shift(from, to, amount);
        for (at, change) in [(from, -amount), (to, amount)] {
            loads[at] += change;
            waits[at] = wait(&sites[at], loads[at]);
        }
    }
    distribution
}

/// Returns the move that gains most, the first one in case of a tie.
fn best_move(
    sites: &[Site],
    distribution: &Distribution,
    waits: &[f64],
    cost_ms: &impl Fn(usize, usize) -> Option<f64>,
) -> Option<Move> {
    let mut best: Option<Move> = None;
    for from in 0..sites.len() {
        let least = sites[from].demand / STEPS / 2.0;
        if distribution.served(from, from) <= least || distribution.roles[from] == Role::Receives {
            continue;
        }
        for (to, site) in sites.iter().enumerate() {
            if to == from || site.slots <= 0.0 || distribution.roles[to] == Role::Sends {
                continue;
            }
            let Some(cost_ms) = cost_ms(from, to) else {
                continue;
            };
            let gain_ms = waits[from] - waits[to] - cost_ms;
            if gain_ms > best.map_or(0.0, |b| b.gain_ms) {
                best = Some(Move { from, to, gain_ms });
            }
        }
    }
    best
}
