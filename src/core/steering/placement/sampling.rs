//! Choice among backend servers where many VMs decide by the same sums.

use rand::{
    rngs::SmallRng,
    seq::SliceRandom, //
};

use super::{
    Candidate,
    Placement,
    flow_load,
    least_loaded, //
};
use crate::core::{
    names::ServiceId,
    steering::{
        loads::message::ServiceDemand,
        tag::Tag, //
    },
};

/// Candidates drawn. VMs with the same sums would all choose the same backend server
/// if each compared all of them.
const SAMPLES: usize = 3;

impl Placement<'_> {
    pub(super) fn select(&self, candidates: &mut [Candidate], rng: &mut SmallRng) -> Option<Tag> {
        if !self.remote_loads.are_shared() {
            return least_loaded(candidates, rng);
        }
        let (drawn, _) = candidates.partial_shuffle(rng, SAMPLES);
        least_loaded(drawn, rng)
    }

    /// Mean load per slot of the other data centres by the demand of the fleet. Sums
    /// that leave out some of their backend servers would make them look idle.
    pub(super) fn remote_demand(&self, service: &ServiceId) -> f64 {
        if !self.remote_loads.are_shared() {
            return 0.0;
        }
        let load = |d: &ServiceDemand| flow_load(d.flows, d.outstanding);
        let demand = self.remote_loads.demand(service).iter();
        let demand = demand.filter(|d| d.destination != self.me.data_centre);
        let pool = self.directory.pool(service).iter();
        let entries = pool.filter_map(|tag| self.directory.entry(*tag));
        let remote = entries.filter(|e| e.server.data_centre != self.me.data_centre);
        let slots: u32 = remote
            .filter(|e| e.may_hold_flows())
            .map(|e| e.server.slots)
            .fold(0, u32::saturating_add);
        demand.map(load).sum::<f64>() / f64::from(slots.max(1))
    }
}
