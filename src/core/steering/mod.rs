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

pub mod directory;
pub mod flows;
pub mod packet;
pub mod peers;
pub mod placing;
pub mod reading;
pub mod routing;
pub mod store;
pub mod suspicion;
pub mod tag;

mod beliefs;
mod exchange;
mod steer;

use beliefs::Beliefs;
use directory::{
    Directory,
    Ended, //
};
use flows::FlowTable;
use packet::{
    Reset,
    ResetReason, //
};
use peers::{
    HEARTBEAT_INTERVAL,
    Peers,
    RemoteLoads, //
};
use reading::{
    Reader,
    Step, //
};
use routing::Routing;
use store::{
    Kind,
    StoreAnswer,
    StoreCall, //
};
use suspicion::{
    ProbeOutcome,
    Suspicion, //
};
use tag::Tag;

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
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tells a client that its flow is over.
    Reset(Reset),
    /// Sends a heartbeat.
    Heartbeat {
        /// The receiver.
        to: SocketAddrV4,
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
        kinds: Vec<Kind>,
    },
}

/// Steers the packets of one VM.
#[derive(Debug)]
pub struct Steering {
    me: Identity,
    routing: Routing,
    directory: Directory,
    flows: FlowTable,
    suspicion: Suspicion,
    peers: Peers,
    remote: RemoteLoads,
    beliefs: Beliefs,
    /// Invariant: one for each kind, by the order of [`Kind::ALL`].
    readers: [Reader; Kind::ALL.len()],
    rng: SmallRng,
    is_stopping: bool,
    next_sweep: Time,
    /// Invariant: in the order of the decisions.
    actions: Vec<Action>,
}

impl Steering {
    /// Starts without any knowledge.
    pub fn open(me: Identity, seeds: &[SocketAddrV4], rng_seed: u64) -> Steering {
        Steering {
            peers: Peers::open(me.address, seeds),
            me,
            routing: Routing::default(),
            directory: Directory::default(),
            flows: FlowTable::default(),
            suspicion: Suspicion::default(),
            remote: RemoteLoads::default(),
            beliefs: Beliefs::default(),
            readers: Kind::ALL.map(Reader::open),
            rng: SmallRng::seed_from_u64(rng_seed),
            is_stopping: false,
            next_sweep: Time::default(),
            actions: Vec::new(),
        }
    }

    /// Tells whether this VM can steer new flows and is not about to stop.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping && self.routing.is_known() && self.beliefs.knows(Kind::BackendServers)
    }

    /// Begins a planned stop: new flows should go to other VMs.
    pub fn stop(&mut self, now: Time) {
        self.is_stopping = true;
        self.peers.hurry(now);
    }

    /// Returns what to read next of a kind.
    pub fn next_call(&mut self, kind: Kind, now: Time) -> Step {
        let is_wanted = self.reads(kind, now);
        let known = self.beliefs.get(kind).revision;
        self.readers[kind as usize].next(is_wanted, known, now)
    }

    /// Takes in the answer to a call that was sent at `sent`.
    pub fn on_answer(&mut self, call: &StoreCall, answer: StoreAnswer, sent: Time, now: Time) {
        let kind = call.kind();
        if matches!(answer, StoreAnswer::Busy | StoreAnswer::NoAnswer) {
            self.beliefs.note_trouble(now);
        }
        let read = self.readers[kind as usize].on_answer(answer, now, &mut self.rng);
        let Some((update, revision)) = read else {
            return;
        };
        self.apply(kind, update, revision, sent, now);
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Time) {
        self.directory.tick(self.beliefs.trouble_over(), now);
        self.end_flows(now);
        self.forget_lost(now);
        self.probe(now);
        for to in self.peers.take_due(now) {
            self.actions.push(Action::Heartbeat { to });
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.flows.sweep(self.idle_timeout(), now);
            self.suspicion.sweep(now);
        }
    }

    /// Takes the actions that were decided.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes in what a probe found.
    pub fn on_probe(&mut self, tag: Tag, outcome: ProbeOutcome, now: Time) {
        if self.suspicion.probed(tag, outcome, now) {
            self.declare_dead(tag, now);
        }
    }

    fn probe(&mut self, now: Time) {
        for tag in self.suspicion.take_probes(now) {
            match self.directory.entry(tag).filter(|e| e.may_live()) {
                Some(entry) => self.actions.push(Action::Probe {
                    tag,
                    address: entry.server.address,
                }),
                None => self.suspicion.acquit(tag),
            }
        }
    }

    /// Resets the flows of backend servers that ended.
    fn end_flows(&mut self, now: Time) {
        for ended in self.directory.take_ended() {
            let (Ended::Gone(tag) | Ended::Restarted(tag)) = ended;
            self.suspicion.acquit(tag);
            self.reset_flows(tag, ResetReason::BackendGone, now);
        }
    }

    fn declare_dead(&mut self, tag: Tag, now: Time) {
        self.reset_flows(tag, ResetReason::BackendDead, now);
        self.peers.hurry(now);
    }

    /// Tells the clients of a backend server that their flows are over.
    fn reset_flows(&mut self, tag: Tag, reason: ResetReason, now: Time) {
        for (flow, seq) in self.flows.take_of(tag, now) {
            self.actions
                .push(Action::Reset(Reset { flow, seq, reason }));
        }
    }

    fn forget_lost(&mut self, now: Time) {
        for lost in self.peers.take_lost(now) {
            self.remote.replace(&lost.loads, &[]);
        }
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
