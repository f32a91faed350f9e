//! Choice of the backend server for a new flow.
//!
//! Designed for hundreds to thousands of requests per second and service, each in a
//! flow of its own or in one of many long-lived flows, on backend servers with 2 to 4
//! slots, in data centres that may be partitioned at any time. What a backend server
//! bears are its outstanding requests; an idle flow may send one later. A flow within
//! the client's data centre survives a partition, so the local data centre is preferred
//! unless it is much busier than the others.

use rand::{
    Rng,
    rngs::SmallRng, //
};
use smallvec::SmallVec;

mod sampling;

use super::{
    Identity,
    capability::Capability,
    cold::{
        ColdBudget,
        DISCOVERY_TIME, //
    },
    cold_grants::HeldGrants,
    directory::{
        Directory,
        Fitness, //
    },
    directory_entry::Entry,
    failure_detector::{
        FailureDetector,
        HealthState, //
    },
    flows::FlowTable,
    handshakes::Handshakes,
    loads::RemoteLoads,
    paths::Paths,
    response_times::ResponseTimes,
    routing::Routing,
    stalls::Stalls,
    tag::Tag,
};
use crate::{
    core::names::{
        ServiceId, //
    },
    kernel::clock::Time,
};

/// How many times busier the local data centre may be before flows spill over.
const SPILL_RATIO: f64 = 2.0;

/// Outstanding requests per slot below which a data centre is never considered busy.
const SPILL_FLOOR: f64 = 1.0;

/// Load of an idle flow, in outstanding requests: the share of the time in which a
/// long-lived flow has one.
const IDLE_FLOW_LOAD: f64 = 0.05;

/// Inputs of a placement.
pub struct Placement<'a> {
    /// This VM, which is in the data centre of its clients.
    pub me: &'a Identity,
    /// When this VM started.
    pub started_at: Time,
    /// Routes and services.
    pub routing: &'a Routing,
    /// Backend servers.
    pub directory: &'a Directory,
    /// Flows of this VM.
    pub flows: &'a FlowTable,
    /// Load from other VMs.
    pub remote_loads: &'a RemoteLoads,
    /// Response times of the backend servers.
    pub response_times: &'a ResponseTimes,
    /// Service times of the backend servers in a large fleet.
    pub capability: &'a Capability,
    /// Backend servers that answer no request.
    pub stalls: &'a Stalls,
    /// Backend servers that reject new flows or leave them unanswered.
    pub handshakes: &'a Handshakes,
    /// Paths to the data centres of the backend servers.
    pub paths: &'a Paths,
    /// New flows sent to backend servers in cold start.
    pub cold_budget: &'a ColdBudget,
    /// Backend servers in cold start to which this VM may send flows.
    pub cold_grants: &'a HeldGrants,
    /// Health of the backend servers.
    pub detector: &'a FailureDetector,
    /// Current time.
    pub now: Time,
}

/// A backend server that may get a flow.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    tag: Tag,
    fitness: Fitness,
    is_local: bool,
    is_path_lost: bool,
    load: f64,
}

impl Placement<'_> {
    /// Chooses a backend server of `service` for a new flow and returns it with
    /// its fitness. Backend servers in `avoid` are chosen only if no other is
    /// left.
    pub fn choose(
        &self,
        service: &ServiceId,
        avoid: &[Tag],
        rng: &mut SmallRng,
    ) -> Option<(Tag, Fitness)> {
        let mut candidates = self.candidates(service);
        let best = candidates.iter().map(|c| c.fitness).min()?;
        candidates.retain(|c| c.fitness == best);
        if candidates.iter().any(|c| !c.is_path_lost) {
            candidates.retain(|c| !c.is_path_lost);
        }
        if candidates.iter().any(|c| !avoid.contains(&c.tag)) {
            candidates.retain(|c| !avoid.contains(&c.tag));
        }
        if self.prefers_local(service, &candidates) {
            candidates.retain(|c| c.is_local);
        }
        Some((self.select(&mut candidates, rng)?, best))
    }

    fn candidates(&self, service: &ServiceId) -> SmallVec<[Candidate; 32]> {
        let pool = self.directory.pool(service);
        let slowness = || self.response_times.slowness(pool, self.now);
        let slowness = self.capability.factors(pool).unwrap_or_else(slowness);
        let stalled = self.stalls.avoided(pool, self.now);
        pool.iter()
            .zip(slowness)
            .filter_map(|(tag, slowness)| self.candidate(*tag, slowness, &stalled))
            .collect()
    }

    fn candidate(&self, tag: Tag, slowness: f64, stalled: &[Tag]) -> Option<Candidate> {
        let entry = self.directory.entry(tag)?;
        let fitness = match self.fitness(tag, entry) {
            Fitness::Ready if stalled.contains(&tag) => Fitness::Doubtful,
            Fitness::Ready if self.capability.is_doubtful(tag, self.now) => Fitness::Doubtful,
            fitness => fitness,
        };
        (fitness < Fitness::Unfit).then(|| Candidate {
            tag,
            fitness,
            is_local: entry.server.data_centre == self.me.data_centre,
            is_path_lost: self.paths.is_lost(&entry.server.data_centre, self.now),
            load: self.slot_load(tag, entry) * slowness,
        })
    }

    fn fitness(&self, tag: Tag, entry: &Entry) -> Fitness {
        let fitness = self.directory.fitness(entry, self.now);
        if fitness == Fitness::Cold && !self.may_send_cold(tag, &entry.server.service) {
            return Fitness::Unfit;
        }
        let fails_handshakes = self.handshakes.is_failing(tag, self.now)
            || self.paths.is_lost(&entry.server.data_centre, self.now);
        match self.detector.health(tag) {
            HealthState::Healthy if !fails_handshakes => fitness,
            // As `Fitness::Doubtful`, it would get flows that the cold-start
            // limit does not count.
            HealthState::Healthy | HealthState::Suspect if fitness == Fitness::Cold => {
                Fitness::Unfit
            }
            HealthState::Healthy | HealthState::Suspect => fitness.max(Fitness::Doubtful),
            HealthState::Unreachable | HealthState::Dead => Fitness::Unfit,
        }
    }

    /// Returns whether this VM may send a flow to a backend server in cold
    /// start.
    fn may_send_cold(&self, tag: Tag, service: &ServiceId) -> bool {
        if self.now.since(self.started_at) < DISCOVERY_TIME {
            return false;
        }
        let Some(grants) = self.cold_grants.get(tag, self.now) else {
            return false;
        };
        let service = self.routing.service(service);
        let per_second = service.map_or(0.0, |s| s.cold_flows_per_second);
        self.cold_budget
            .has_room(tag, per_second, grants.is_sole_granter, self.now)
    }

    /// Load per slot in outstanding requests, with the new flow as an idle one.
    fn slot_load(&self, tag: Tag, entry: &Entry) -> f64 {
        let own = self.flows.load(tag);
        let others = self.remote_loads.load(tag);
        let load = flow_load(own.flows + others.flows + 1, own.waiting + others.waiting);
        load / f64::from(entry.server.slots.max(1))
    }

    fn prefers_local(&self, service: &ServiceId, candidates: &[Candidate]) -> bool {
        let (local, remote): (Vec<&Candidate>, Vec<&Candidate>) =
            candidates.iter().partition(|c| c.is_local);
        if local.is_empty() || remote.is_empty() {
            return !local.is_empty();
        }
        let remote = mean_load(&remote).max(self.remote_demand(service));
        let local = mean_load(&local);
        local <= SPILL_FLOOR.max(remote * SPILL_RATIO)
    }
}

/// Returns the load of a number of flows, `waiting` of which have an outstanding
/// request, in outstanding requests.
fn flow_load(flows: u32, waiting: u32) -> f64 {
    let idle = flows.saturating_sub(waiting);
    f64::from(waiting) + IDLE_FLOW_LOAD * f64::from(idle)
}

fn mean_load(candidates: &[&Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.load).sum();
    sum / candidates.len() as f64
}

/// Returns the least loaded candidate, a random one in case of a tie.
fn least_loaded(candidates: &[Candidate], rng: &mut SmallRng) -> Option<Tag> {
    let least = candidates.iter().map(|c| c.load).min_by(f64::total_cmp)?;
    let equal: SmallVec<[Tag; 32]> = candidates
        .iter()
        .filter(|c| c.load <= least)
        .map(|c| c.tag)
        .collect();
    let at = rng.random_range(0..equal.len());
    Some(equal[at])
}
