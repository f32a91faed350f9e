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

pub mod answers;
pub mod cold;
pub mod decision;
pub mod directory;
pub mod evacuations;
pub mod flow_changes;
pub mod flows;
pub mod handshakes;
pub mod loads;
pub mod members;
pub mod packet;
pub mod peers;
pub mod placing;
pub mod readiness;
pub mod reading;
pub mod registration;
pub mod replicas;
pub mod replication;
pub mod routing;
pub mod store;
pub mod suspicion;
pub mod tag;
pub mod unlisted;

mod beliefs;
mod exchange;
mod steer;
mod takeover;

use answers::AnswerTimes;
use beliefs::Beliefs;
use cold::ColdBudget;
use decision::{
    Decision,
    Source, //
};
use directory::{
    Directory,
    Ended,
    Fitness,
    REAPPEAR_TIME, //
};
use flows::FlowTable;
use handshakes::Handshakes;
use loads::RemoteLoads;
use members::{
    HEARTBEAT_INTERVAL,
    Member,
    Members, //
};
use packet::{
    Reset,
    ResetReason, //
};
use peers::{
    Contact,
    PeerMessage,
    Want, //
};
use readiness::Readiness;
use reading::{
    Reader,
    Step, //
};
use registration::{
    Registration,
    Situation, //
};
use replicas::Replicas;
use replication::Replication;
use routing::Routing;
use store::{
    Kind,
    StoreAnswer,
    StoreCall, //
};
use suspicion::{
    ProbeOutcome,
    Standing,
    Suspicion, //
};
use tag::Tag;
use takeover::TakenOver;
use unlisted::UnlistedTags;

use crate::{
    core::names::{
        DataCentreId,
        Incarnation,
        VmId, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often [`Steering::tick`] is to be called.
pub const TICK: Millis = Millis(25);

/// The time between two clean-ups of what has expired.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Which VM this is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes messages of other VMs.
    pub address: SocketAddrV4,
    /// How much it can do for others, in thousandths of a core.
    pub strength: u32,
}

impl Identity {
    /// Where this VM may be found.
    fn contact(&self) -> Contact {
        Contact {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            strength: self.strength,
        }
    }
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "actions are few and short-lived")]
pub enum Action {
    /// Tells a client that its flow is over.
    Reset(Reset),
    /// Sends a heartbeat.
    Heartbeat {
        /// The receiver.
        to: SocketAddrV4,
    },
    /// Sends another message to a VM.
    Tell {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        msg: PeerMessage,
    },
    /// Connects to a backend server to see whether it accepts.
    Probe {
        /// The backend server.
        tag: Tag,
        /// Its address.
        address: SocketAddrV4,
    },
    /// Asks another VM for what it knows.
    Pull {
        /// The VM.
        from: SocketAddrV4,
        /// What is wanted.
        wants: Vec<Want>,
    },
}

/// How old an answer may be that need not be new.
const OLD_ANSWER: Millis = Millis::from_secs(10);

/// Dead backend servers in one data centre that make the others there suspect.
const DEAD_TOGETHER: usize = 2;

/// Figures of one VM.
#[derive(Clone, Copy, Debug)]
pub struct Stats {
    /// Whether it serves new flows.
    pub is_ready: bool,
    /// The flows that are recorded.
    pub flows: usize,
    /// Those whose client waits.
    pub waiting: u64,
    /// The backend servers that take new flows.
    pub backends: usize,
    /// The backend servers that are held for dead.
    pub dead: usize,
    /// The flows of other VMs that are known here.
    pub replicas: usize,
    /// The other VMs that are heard.
    pub peers: usize,
    /// The operators' number of the configuration in force.
    pub version: u64,
    /// How old the knowledge of each kind is, by the order of [`Kind::ALL`].
    pub ages: [Option<Millis>; Kind::ALL.len()],
}

/// Steers the packets of one VM.
#[derive(Debug)]
pub struct Steering {
    opened: Time,
    me: Identity,
    routing: Routing,
    directory: Directory,
    flows: FlowTable,
    suspicion: Suspicion,
    cold: ColdBudget,
    answers: AnswerTimes,
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
    readers: [Reader; Kind::ALL.len()],
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
            suspicion: Suspicion::default(),
            cold: ColdBudget::default(),
            answers: AnswerTimes::default(),
            handshakes: Handshakes::default(),
            unlisted: UnlistedTags::default(),
            remote: RemoteLoads::default(),
            beliefs: Beliefs::default(),
            readers: Kind::ALL.map(Reader::open),
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
    pub fn is_informed(&self) -> bool {
        self.routing.is_known() && self.beliefs.knows(Kind::BackendServers)
    }

    /// Begins a planned stop: new flows should go to other VMs.
    pub fn stop(&mut self, now: Time) {
        self.is_stopping = true;
        self.peers.hurry(now);
    }

    /// Returns what to read next of a kind.
    pub fn next_call(&mut self, kind: Kind, now: Time) -> Step {
        // While the store is in trouble, the calls for one kind find out when it
        // is over.
        let is_spared = kind != Kind::Configuration
            && !self.readers[Kind::Configuration as usize].was_answered();
        let is_wanted = !is_spared && self.reads(kind, now);
        let known = self.beliefs.get(kind).revision;
        self.readers[kind as usize].next(is_wanted, known, now)
    }

    /// Takes in the answer to a call that was sent at `sent`.
    pub fn on_answer(&mut self, call: &StoreCall, answer: StoreAnswer, sent: Time, now: Time) {
        let Some(kind) = call.kind() else {
            return;
        };
        let answers = answer.is_answered();
        if !answers {
            self.beliefs.note_trouble(now);
        }
        if answers != self.readers[kind as usize].was_answered() {
            self.decisions
                .push(Decision::StoreAnswers { answers, kind });
            // Another VM may have to read in place of this one.
            self.peers.hurry(now);
        }
        let as_of = as_of(call, &answer, sent, now);
        let longest = self.longest_pause(now);
        let read = self.readers[kind as usize].on_answer(answer, longest, now, &mut self.rng);
        let Some((update, revision)) = read else {
            return;
        };
        self.apply(kind, update, revision, as_of, Source::Store, now);
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
            self.flows.sweep(self.idle_timeout(), now);
            self.replicas.sweep(self.idle_timeout(), now);
            self.choose_holder(now);
            let concerns = concerns(&self.peers, &self.flows, &self.replicas);
            self.suspicion.sweep(concerns, now);
            self.cold.sweep(now);
            self.answers.sweep(now);
            self.handshakes.sweep(now);
            let is_known = |tag| self.directory.entry(tag).is_some();
            self.unlisted.sweep(is_known, now);
        }
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
    pub fn take_samples(&mut self) -> Vec<Millis> {
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

    /// Takes in what a probe found.
    pub fn on_probe(&mut self, tag: Tag, outcome: ProbeOutcome, now: Time) {
        let was_dead = self.suspicion.standing(tag) == Standing::Dead;
        if self.suspicion.probed(tag, outcome, now) {
            self.declare_dead(tag, now);
        }
        if was_dead && outcome == ProbeOutcome::Accepted {
            self.decisions.push(Decision::BackendRevived { tag });
        }
    }

    /// Has the backend servers probed that leave new flows unanswered.
    fn doubt_unopened(&mut self, now: Time) {
        for tag in self.handshakes.doubtful(now) {
            if self.suspicion.doubt_unopened(tag, now) {
                self.decisions.push(Decision::BackendDoubtful { tag });
            }
        }
    }

    fn probe(&mut self, now: Time) {
        let concerns = concerns(&self.peers, &self.flows, &self.replicas);
        for tag in self.suspicion.take_probes(concerns, now) {
            match self.directory.entry(tag).filter(|e| e.may_live()) {
                Some(entry) => self.actions.push(Action::Probe {
                    tag,
                    address: entry.server.address,
                }),
                None => self.suspicion.forget(tag),
            }
        }
    }

    /// Resets the flows of backend servers that ended.
    fn end_flows(&mut self, now: Time) {
        for ended in self.directory.take_ended() {
            let (Ended::Gone(tag) | Ended::Restarted(tag)) = ended;
            self.suspicion.forget(tag);
            let flows = self.reset_flows(tag, ResetReason::BackendGone, now);
            self.decisions.push(Decision::BackendEnded { tag, flows });
        }
    }

    /// Resets the flows of tags that the store, asked again, does not list.
    fn end_unlisted(&mut self, now: Time) {
        let Some(as_of) = self.surely_listed_at(now) else {
            return;
        };
        let is_unknown = |tag: &Tag| self.directory.entry(*tag).is_none();
        let over: Vec<Tag> = self
            .unlisted
            .seen_before(as_of)
            .filter(is_unknown)
            .collect();
        for tag in over {
            self.reset_flows(tag, ResetReason::BackendUnlisted, now);
        }
    }

    /// Returns a time at which the store listed all backend servers that lived,
    /// and this VM knows the list. `None` shortly after trouble of the store, of
    /// which a VM that has just started knows nothing.
    fn surely_listed_at(&self, now: Time) -> Option<Time> {
        let settled = self.beliefs.trouble_over().max(self.opened + REAPPEAR_TIME);
        let as_of = self.beliefs.get(Kind::BackendServers).as_of;
        (now >= settled).then_some(as_of)
    }

    fn declare_dead(&mut self, tag: Tag, now: Time) {
        let flows = self.reset_flows(tag, ResetReason::BackendDead, now);
        let evidence = self.suspicion.evidence(tag);
        self.decisions.push(Decision::BackendDead {
            tag,
            evidence,
            flows,
        });
        self.review_place_of(tag, now);
        self.peers.hurry(now);
    }

    /// Several dead backend servers in one data centre may mean that it lost
    /// power or is cut off.
    fn review_place_of(&mut self, tag: Tag, now: Time) {
        let Some(entry) = self.directory.entry(tag) else {
            return;
        };
        let place = entry.server.data_centre.clone();
        let dead = self.backends_in(&place);
        let dead = dead
            .iter()
            .filter(|t| self.suspicion.standing(**t) == Standing::Dead);
        if dead.count() >= DEAD_TOGETHER {
            self.doubt_place(&place, now);
        }
    }

    /// Has the backend servers of a data centre probed before clients run into
    /// them.
    fn doubt_place(&mut self, place: &DataCentreId, now: Time) {
        for tag in self.backends_in(place) {
            if self.suspicion.standing(tag) != Standing::Dead {
                self.suspicion.doubt_place(tag, now);
            }
        }
    }

    /// The backend servers of a data centre that may live.
    fn backends_in(&self, place: &DataCentreId) -> Vec<Tag> {
        self.directory
            .iter()
            .filter(|(_, e)| e.server.data_centre == *place && e.may_live())
            .map(|(tag, _)| tag)
            .collect()
    }

    /// Tells the clients of a backend server that their flows are over. Returns
    /// the number of flows.
    fn reset_flows(&mut self, tag: Tag, reason: ResetReason, now: Time) -> usize {
        let flows = self.flows.take_of(tag, now);
        for (flow, seq) in &flows {
            let reset = Reset {
                flow: *flow,
                seq: *seq,
                reason,
            };
            self.actions.push(Action::Reset(reset));
            self.decisions.push(Decision::FlowReset {
                flow: *flow,
                tag: Some(tag),
                reason,
                configuration: self.routing.revision(),
            });
        }
        flows.len()
    }

    fn forget_lost(&mut self, now: Time) {
        for lost in self.peers.take_lost(now) {
            self.remote.replace(&lost.loads, &[]);
            self.note_peer(false, lost.contact());
            let is_beside = |m: &Member| m.heartbeat.data_centre == lost.data_centre;
            if !self.peers.live(now).any(is_beside) {
                // Its backend servers may be lost with its VMs.
                self.doubt_place(&lost.data_centre, now);
            }
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
        let can_serve = self.is_informed() && (has_fit || self.knows_no_backend());
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
            .filter(|tag| self.suspicion.standing(*tag) < Standing::Unreachable)
    }

    /// Tells whether there is no backend server anywhere, which no other VM can
    /// help with.
    fn knows_no_backend(&self) -> bool {
        self.directory.iter().all(|(_, e)| !e.may_live())
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

/// Tells whether a VM looks after doubts about a backend server: hubs do, and
/// VMs that know flows of it. So what all others spend on doubts does not grow
/// with the fleet.
fn concerns(peers: &Members, flows: &FlowTable, replicas: &Replicas) -> impl Fn(Tag) -> bool {
    |tag| peers.is_hub() || flows.load(tag).flows > 0 || replicas.has_any_of(tag)
}

/// Returns a time at which the store surely had nothing newer than the answer
/// to a call that was sent at `sent`.
fn as_of(call: &StoreCall, answer: &StoreAnswer, sent: Time, now: Time) -> Time {
    match answer {
        // The store waits that long before it says that nothing has changed.
        StoreAnswer::Changes { changes, .. } if changes.is_empty() => now.min(sent + call.wait()),
        _ if call.may_be_old() => sent - OLD_ANSWER,
        _ => sent,
    }
}
