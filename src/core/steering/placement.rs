//! Which backend server gets a new flow.
//!
//! The load that this answers: some hundred to some thousand long flows for
//! each service, each with a request now and then, on backend servers with 2 to
//! 4 slots, in data centres that may be cut off from each other at any moment.
//! A flow that stays in the client's own data centre survives such a cut, so
//! the own data centre is preferred as long as it is not much busier than the
//! others.

use rand::{
    Rng,
    rngs::SmallRng, //
};
use smallvec::SmallVec;

use super::{
    Identity,
    cold::{
        self,
        ColdBudget,
        DISCOVERY_TIME, //
    },
    directory::{
        Directory,
        Entry,
        Fitness, //
    },
    failure_detector::{
        FailureDetector,
        HealthState, //
    },
    flows::FlowTable,
    handshakes::Handshakes,
    loads::RemoteLoads,
    members::Members,
    response_times::ResponseTimes,
    routing::Routing,
    tag::Tag,
};
use crate::{core::names::ServiceId, kernel::clock::Time};

/// How much busier the own data centre may be before new flows go elsewhere.
const SPILL_RATIO: f64 = 2.0;

/// Load for each slot below which a data centre is never too busy.
const SPILL_FLOOR: f64 = 4.0;

/// What a client that waits weighs against a flow that rests.
const WAITING_WEIGHT: f64 = 3.0;

/// What placing reads.
pub struct Placement<'a> {
    /// This VM, which stands in the data centre of its clients.
    pub me: &'a Identity,
    /// When this VM started.
    pub opened: Time,
    /// The other VMs.
    pub peers: &'a Members,
    /// The routes and services.
    pub routing: &'a Routing,
    /// The backend servers.
    pub directory: &'a Directory,
    /// The flows of this VM.
    pub flows: &'a FlowTable,
    /// The flows of other VMs.
    pub remote: &'a RemoteLoads,
    /// How fast the backend servers answer.
    pub answers: &'a ResponseTimes,
    /// Which backend servers leave new flows unanswered.
    pub handshakes: &'a Handshakes,
    /// The new flows that backend servers in cold start got.
    pub cold: &'a ColdBudget,
    /// The evidence against backend servers.
    pub suspicion: &'a FailureDetector,
    /// The time.
    pub now: Time,
}

/// A backend server that may get a flow.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    tag: Tag,
    fitness: Fitness,
    is_home: bool,
    load: f64,
}

impl Placement<'_> {
    /// Chooses a backend server of `service` for a new flow, none of `avoid`
    /// unless no other is left. Returns how fit it is, too.
    pub fn choose(
        &self,
        service: &ServiceId,
        avoid: &[Tag],
        rng: &mut SmallRng,
    ) -> Option<(Tag, Fitness)> {
        let mut candidates = self.candidates(service);
        let best = candidates.iter().map(|c| c.fitness).min()?;
        candidates.retain(|c| c.fitness == best);
        if candidates.iter().any(|c| !avoid.contains(&c.tag)) {
            candidates.retain(|c| !avoid.contains(&c.tag));
        }
        if self.stays_home(&candidates) {
            candidates.retain(|c| c.is_home);
        }
        Some((least_loaded(&candidates, rng)?, best))
    }

    fn candidates(&self, service: &ServiceId) -> SmallVec<[Candidate; 32]> {
        let pool = self.directory.pool(service);
        let slowness = self.answers.slowness(pool, self.now);
        pool.iter()
            .zip(slowness)
            .filter_map(|(tag, slowness)| self.candidate(*tag, slowness))
            .collect()
    }

    fn candidate(&self, tag: Tag, slowness: f64) -> Option<Candidate> {
        let entry = self.directory.entry(tag)?;
        let fitness = self.fitness(tag, entry);
        (fitness < Fitness::Unfit).then(|| Candidate {
            tag,
            fitness,
            is_home: entry.server.data_centre == self.me.data_centre,
            load: self.load(tag, entry) * slowness,
        })
    }

    fn fitness(&self, tag: Tag, entry: &Entry) -> Fitness {
        let fitness = self.directory.fitness(entry, self.now);
        if fitness == Fitness::Cold && !self.may_warm(tag, &entry.server.service) {
            return Fitness::Unfit;
        }
        let is_doubtful = self.handshakes.is_doubtful(tag, self.now);
        match self.suspicion.standing(tag) {
            HealthState::Trusted if !is_doubtful => fitness,
            // Nobody counts what else it gets.
            HealthState::Trusted | HealthState::Suspected if fitness == Fitness::Cold => {
                Fitness::Unfit
            }
            HealthState::Trusted | HealthState::Suspected => fitness.max(Fitness::Doubtful),
            HealthState::Unreachable | HealthState::Dead => Fitness::Unfit,
        }
    }

    /// Tells whether this VM may send a flow to a backend server in cold start.
    /// Only a VM that hears all that may be first can know.
    fn may_warm(&self, tag: Tag, service: &ServiceId) -> bool {
        let has_listened = self.now.since(self.opened) >= DISCOVERY_TIME;
        if !has_listened || !self.peers.is_hub() {
            return false;
        }
        let others = self.peers.live(self.now).map(|m| &m.heartbeat.vm);
        self.has_cold_room(tag, service) && cold::is_first(tag, &self.me.vm, others)
    }

    fn has_cold_room(&self, tag: Tag, service: &ServiceId) -> bool {
        let service = self.routing.service(service);
        let per_second = service.map_or(0.0, |s| s.cold_flows_per_second);
        let is_whole = self.peers.is_whole(self.now);
        self.cold.has_room(tag, per_second, is_whole, self.now)
    }

    /// Work for each slot, the new flow included.
    fn load(&self, tag: Tag, entry: &Entry) -> f64 {
        let here = self.flows.load(tag);
        let there = self.remote.load(tag);
        let flows = f64::from(here.flows + there.flows);
        let waiting = f64::from(here.waiting + there.waiting);
        (1.0 + flows + WAITING_WEIGHT * waiting) / f64::from(entry.server.slots.max(1))
    }

    fn stays_home(&self, candidates: &[Candidate]) -> bool {
        let (home, away): (Vec<&Candidate>, Vec<&Candidate>) =
            candidates.iter().partition(|c| c.is_home);
        if home.is_empty() || away.is_empty() {
            return !home.is_empty();
        }
        let (home, away) = (mean_load(&home), mean_load(&away));
        home <= SPILL_FLOOR.max(away * SPILL_RATIO)
    }
}

fn mean_load(candidates: &[&Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.load).sum();
    sum / candidates.len() as f64
}

/// Returns the least loaded candidate, any of them if there are several.
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
