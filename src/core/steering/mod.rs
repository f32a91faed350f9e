//! Steering by tag, for transports whose answers do not pass this VM.
//!
//! A tag in the packets of a flow names its backend server. Every VM reads it
//! alike, so a flow survives any change of the VMs without state that is shared.
//! What the VMs do share is what they know of the platform's store: a few of
//! them read it, and all compare their versions with each other.
//!
//! [`Steering`] is the state machine of one VM. It does no input or output.

use std::net::SocketAddrV4;

use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

pub mod action;
pub mod cold;
pub mod decision;
pub mod directory;
pub mod evacuations;
pub mod evidence;
pub mod failure_detector;
pub mod flow;
pub mod flows;
pub mod handshakes;
pub mod identity;
pub mod loads;
pub mod members;
pub mod packet;
pub mod peers;
pub mod placement;
pub mod readiness;
pub mod registration;
pub mod replicas;
pub mod replication;
pub mod replication_queue;
pub mod response_times;
pub mod routing;
pub mod stats;
pub mod store;
pub mod store_reader;
pub mod tag;
pub mod unlisted;

mod beliefs;
mod doubts;
mod endings;
mod exchange;
mod following;
mod steer;
mod takeover;

pub use action::Action;
use beliefs::Beliefs;
use cold::ColdBudget;
use decision::Decision;
use directory::{
    Directory,
    Fitness, //
};
use failure_detector::{
    FailureDetector,
    HealthState, //
};
use flows::FlowTable;
use handshakes::Handshakes;
pub use identity::Identity;
use loads::RemoteLoads;
use members::{
    HEARTBEAT_INTERVAL,
    Members, //
};
use peers::Contact;
use readiness::Readiness;
use registration::{
    Registration,
    Situation, //
};
use replicas::Replicas;
use replication::Replication;
use response_times::ResponseTimes;
use routing::Routing;
pub use stats::Stats;
use store::{
    Kind,
    StoreAnswer,
    StoreCall, //
};
use store_reader::StoreReader;
use tag::Tag;
use takeover::TakenOver;
use unlisted::UnlistedTags;

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How often [`Steering::tick`] is to be called.
pub const TICK: Millis = Millis(25);

/// The time between two clean-ups of what has expired.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Steers the packets of one VM.
#[derive(Debug)]
pub struct Steering {
    opened: Time,
    me: Identity,
    routing: Routing,
    directory: Directory,
    flows: FlowTable,
    suspicion: FailureDetector,
    cold: ColdBudget,
    answers: ResponseTimes,
    handshakes: Handshakes,
    unlisted: UnlistedTags,
    peers: Members,
    /// The VM that keeps replicas of the flows of this one.
    holder: Option<SocketAddrV4>,
    replication: Replication,
    replicas: Replicas,
    taken_over: TakenOver,
    registration: Registration,
    remote: RemoteLoads,
    beliefs: Beliefs,
    /// Invariant: one for each kind, by the order of [`Kind::ALL`].
    readers: [StoreReader; Kind::ALL.len()],
    rng: SmallRng,
    is_stopping: bool,
    next_sweep: Time,
    /// Whether this VM can place new flows, and since when not.
    readiness: Readiness,
    /// When each kind was last asked for at another VM.
    ///
    /// Invariant: by the order of [`Kind::ALL`].
    pulled: [Option<Time>; Kind::ALL.len()],
    /// Invariant: in the order in which they were decided.
    actions: Vec<Action>,
    /// Invariant: in the order in which they were decided.
    decisions: Vec<Decision>,
    /// How long answers took, for the metrics.
    samples: Vec<Millis>,
}

impl Steering {
    /// Starts without any knowledge.
    pub fn open(me: Identity, seeds: &[SocketAddrV4], rng_seed: u64, now: Time) -> Steering {
        Steering {
            opened: now,
            peers: Members::open(me.contact(), seeds),
            holder: None,
            replication: Replication::default(),
            replicas: Replicas::default(),
            taken_over: TakenOver::default(),
            registration: Registration::default(),
            me,
            routing: Routing::default(),
            directory: Directory::default(),
            flows: FlowTable::default(),
            suspicion: FailureDetector::default(),
            cold: ColdBudget::default(),
            answers: ResponseTimes::default(),
            handshakes: Handshakes::default(),
            unlisted: UnlistedTags::default(),
            remote: RemoteLoads::default(),
            beliefs: Beliefs::default(),
            readers: Kind::ALL.map(StoreReader::open),
            rng: SmallRng::seed_from_u64(rng_seed),
            is_stopping: false,
            next_sweep: Time::default(),
            readiness: Readiness::default(),
            pulled: [None; Kind::ALL.len()],
            actions: Vec::new(),
            decisions: Vec::new(),
            samples: Vec::new(),
        }
    }

    /// Tells whether this VM can serve new flows and is not about to stop.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping && self.readiness.is_ready
    }

    /// Tells whether this VM knows enough to steer packets.
    pub fn is_synced(&self) -> bool {
        self.routing.is_known() && self.beliefs.knows(Kind::BackendServers)
    }

    /// Begins a planned stop: new flows should go to other VMs.
    pub fn stop(&mut self, now: Time) {
        self.is_stopping = true;
        self.peers.hurry(now);
    }

    /// Returns what to ask or tell the store about VMs.
    pub fn next_registration(&mut self, now: Time) -> Option<StoreCall> {
        let situation = Situation {
            hears_others: self.peers.live(now).next().is_some(),
            reads: self.rank(now) == 0 && self.has_store(),
        };
        self.registration.next(situation, &self.me.contact(), now)
    }

    /// Takes in the answer to such a call.
    pub fn on_registration(&mut self, answer: StoreAnswer, now: Time) {
        for contact in self.registration.on_answer(answer, now) {
            self.peers.add_contact(&contact, now);
        }
    }

    /// Takes in that this VM stood still for `span`, which its clock left out.
    pub fn on_suspension(&mut self, span: Millis) {
        self.beliefs.age_by(span);
    }

    /// Adds addresses at which other VMs may be found.
    pub fn add_seeds(&mut self, seeds: &[SocketAddrV4], now: Time) {
        for seed in seeds {
            self.peers.add_seed(*seed, now);
        }
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Time) {
        self.directory.tick(self.beliefs.trouble_over(), now);
        self.end_flows(now);
        self.end_unlisted(now);
        self.forget_lost(now);
        self.doubt_unopened(now);
        self.probe(now);
        self.speak_for_lost(now);
        self.review_readiness(now);
        self.replicate(now);
        for to in self.peers.take_due(now) {
            self.actions.push(Action::Heartbeat { to });
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// Forgets what has expired.
    fn sweep(&mut self, now: Time) {
        self.flows.sweep(self.idle_timeout(), now);
        self.replicas.sweep(self.idle_timeout(), now);
        self.choose_holder(now);
        self.sweep_doubts(now);
        self.cold.sweep(now);
        self.answers.sweep(now);
        self.handshakes.sweep(now);
        let is_known = |tag| self.directory.entry(tag).is_some();
        self.unlisted.sweep(is_known, now);
    }

    /// Takes the actions that were decided.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes what was decided since the last call, for the log.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes how long answers took since the last call.
    pub fn take_response_times(&mut self) -> Vec<Millis> {
        std::mem::take(&mut self.samples)
    }

    /// Returns figures for the metrics.
    pub fn stats(&self, now: Time) -> Stats {
        Stats {
            is_ready: self.is_ready(),
            flows: self.flows.len(),
            waiting: self.flows.waiting(),
            backends: self.fit(now).count(),
            dead: self.suspicion.dead().count(),
            replicas: self.replicas.len(),
            peers: self.peers.live(now).count(),
            version: self.routing.configuration().version,
            ages: Kind::ALL.map(|kind| self.beliefs.age(kind, now)),
        }
    }

    fn note_peer(&mut self, is_heard: bool, peer: Contact) {
        self.decisions.push(Decision::PeerHeard {
            is_heard,
            vm: peer.vm,
            data_centre: peer.data_centre,
            address: peer.address,
        });
    }

    /// A VM that can place no flow at all says so, and the routers send its
    /// clients to VMs that may.
    fn review_readiness(&mut self, now: Time) {
        let has_fit = self.fit(now).next().is_some();
        let can_serve = self.is_synced() && (has_fit || self.knows_no_backend());
        if self.readiness.review(can_serve, now) {
            let is_ready = self.readiness.is_ready;
            let backends = self.fit(now).count();
            self.decisions
                .push(Decision::Readiness { is_ready, backends });
        }
    }

    /// The backend servers that may get new flows.
    fn fit(&self, now: Time) -> impl Iterator<Item = Tag> {
        self.directory
            .iter()
            .filter(move |(_, e)| self.directory.fitness(e, now) < Fitness::Unfit)
            .map(|(tag, _)| tag)
            .filter(|tag| self.suspicion.standing(*tag) < HealthState::Unreachable)
    }

    /// Tells whether there is no backend server anywhere, which no other VM can
    /// help with.
    fn knows_no_backend(&self) -> bool {
        self.directory.iter().all(|(_, e)| !e.may_hold_flows())
    }

    fn idle_timeout(&self) -> Millis {
        /// Used before the configuration is known.
        const DEFAULT: Millis = Millis::from_secs(15);
        match self.routing.idle_timeout() {
            Millis(0) => DEFAULT,
            timeout => timeout + HEARTBEAT_INTERVAL,
        }
    }
}
