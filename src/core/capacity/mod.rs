//! Who may send how much to which backend server.
//!
//! Each backend server is owned by one VM of its data centre, which grants the
//! leases on its slots to itself and, as loans, to the other VMs.

pub mod book;
pub mod concurrency_limit;
mod index;
pub mod loans;
pub mod message;
mod owner;
pub mod ownership;
mod select;

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

pub use self::message::CapacityMessage;
use self::{
    book::Holding,
    loans::{
        LoanKey,
        Loans, //
    },
    message::{
        LeaseId,
        Load, //
    },
    owner::Owner,
    ownership::{
        Round,
        Vote, //
    },
};
use crate::{
    core::{
        counter::Counter,
        cx::Cx,
        names::{
            BackendId,
            Generation,
            ServiceId,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time,
        WallTime, //
    },
};

/// The largest difference between the wall clocks of two machines.
pub const CLOCK_SKEW: Millis = Millis(500);

/// A lease that ends sooner than this starts no request.
///
/// Invariant: longer than [`CLOCK_SKEW`], so that [`Slot::until`] lies ahead.
const MIN_REMAINING: Millis = Millis(700);

/// The longest time that a request may run on a backend server.
pub const MAX_RUN_TIME: Millis = Millis::from_secs(30);

/// A request that has run for this long is announced to the other VMs, so that
/// a new owner of its backend server leaves its slot alone.
pub const LONG_RUN: Millis = Millis::from_secs(2);

/// How long an owner that had no room for an ask is not asked again.
const DENIAL_TIME: Millis = Millis(100);

/// How many bits of an identifier count within one run of a process. The
/// others are the run's incarnation.
const RUN_BITS: u32 = 20;

/// The right to run one request on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Identifies the slot within one run of the process.
    pub id: SlotId,
    /// The backend server.
    pub backend: BackendId,
    /// The backend server must not start the request after this. A request
    /// that it has started may go on for [`MAX_RUN_TIME`].
    pub until: WallTime,
}

/// Identifies an acquired slot within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotId(pub u64);

/// Why no slot could be acquired.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AcquireError {
    /// Another VM has been asked to lend a slot. Acquiring again after the
    /// next event may succeed.
    #[display("another VM has been asked for a slot")]
    Pending,
    /// Every slot is busy.
    #[display("every slot is busy")]
    Busy,
    /// No backend server of the service takes new work.
    #[display("no backend server takes new work")]
    NoBackend,
}

/// How an attempt ended, as far as the backend server's capacity is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SlotResult {
    /// The request was answered.
    Answered,
    /// No answer came; the request may still be running.
    Lost,
    /// The backend server refused the request because of its load.
    Shed,
    /// The backend server could not be reached.
    Unreachable,
    /// The slot was not used.
    Unused,
}

/// What a finished attempt says about its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotReport {
    /// How the attempt ended.
    pub result: SlotResult,
    /// How long the attempt took.
    pub elapsed: Millis,
    /// The backend server's run, if its answer named one.
    pub backend_run: Option<u64>,
}

/// Where an acquired slot came from.
#[derive(Clone, Debug)]
enum Source {
    /// This VM owns the backend server.
    Own(LeaseId),
    /// Another VM has lent the slot.
    Loan(LoanKey),
}

/// What is known of a backend server that another VM owns.
#[derive(Clone, Debug)]
struct Known {
    owner: VmId,
    load: Load,
    at: Time,
    /// When the owner last had no room for an ask.
    denied: Option<Time>,
}

impl Known {
    fn is_denied(&self, now: Time) -> bool {
        self.denied.is_some_and(|at| now.since(at) < DENIAL_TIME)
    }
}

/// The failed acquisitions of one service since the last event after which all
/// waiting requests try again.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    count: u32,
    /// How many requests the caller said to be waiting.
    expected: u32,
    /// Whether no slot of any backend server was known to be free.
    is_exhausted: bool,
}

/// The capacity state machine.
#[derive(Debug, Default)]
pub struct Capacity {
    is_ready: bool,
    next_slot: u64,
    owner: Owner,
    loans: Loans,
    known: BTreeMap<BackendId, Known>,
    /// The slots in use.
    used: BTreeMap<SlotId, Source>,
    waiting: BTreeMap<ServiceId, Waiting>,
}

impl Capacity {
    /// Starts with no slots in use.
    pub fn new() -> Capacity {
        Capacity::default()
    }

    /// Tells whether an owner of a backend server has been known, so that
    /// requests need not wait for the leases of an earlier run to end.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    fn note_readiness(&mut self, cx: &Cx<'_>) {
        if cx.cfg.generation == Generation::default() {
            return;
        }
        let mut backends = cx.cfg.backends.iter();
        self.is_ready = cx.cfg.backends.is_empty() || backends.any(|b| self.has_owner(cx, &b.name));
    }

    /// Returns the backend servers that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = &BackendId> {
        self.owner.held()
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.owner.on_configuration(cx);
        self.known.retain(|b, _| cx.cfg.backend(b).is_some());
    }

    /// Takes in a change of the view.
    pub fn on_view(&mut self, cx: &mut Cx<'_>) {
        self.owner.tick(cx);
    }

    /// Gives unused slots to the other VMs before this one stops.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.loans.return_idle(cx);
        self.owner.stop(cx);
    }

    /// Does what has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.waiting.clear();
        self.owner.follow(cx);
        self.owner.tick(cx);
        if !self.is_ready {
            self.note_readiness(cx);
        }
        for ask in self.loans.tick(cx) {
            cx.count(Counter::SlotAskLost);
            self.note_denial(cx.now, &ask.backend);
        }
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: CapacityMessage) {
        self.waiting.clear();
        match msg {
            CapacityMessage::Claims {
                incarnation,
                seq,
                at,
                claims,
            } => {
                let round = Round {
                    incarnation,
                    seq,
                    at,
                };
                self.learn_claims(cx.now, from, &claims);
                self.owner.on_claims(cx, from, round, claims);
            }
            CapacityMessage::Vote {
                voter,
                incarnation,
                seq,
                at,
                abstains,
                granted,
            } => {
                let round = Round {
                    incarnation,
                    seq,
                    at,
                };
                let vote = Vote {
                    round,
                    abstains,
                    granted,
                };
                self.owner.on_vote(cx, from, voter, vote);
            }
            CapacityMessage::Ask { ask, backend } => self.owner.on_ask(cx, from, ask, &backend),
            CapacityMessage::Lend {
                ask,
                id,
                span,
                load,
            } => {
                if let Some(ask) = self.loans.on_lend(cx, from, id, ask, span) {
                    self.learn(cx.now, from, &ask.backend, load);
                }
            }
            CapacityMessage::Deny { ask, load } => {
                if let Some(ask) = self.loans.on_deny(ask) {
                    cx.count(Counter::SlotAskDenied);
                    self.learn(cx.now, from, &ask.backend, load);
                    self.note_denial(cx.now, &ask.backend);
                }
            }
            CapacityMessage::Return { id, reports } => {
                self.owner.on_return(cx, from, id, &reports);
            }
            CapacityMessage::Holding {
                incarnation,
                received,
                loans,
            } => {
                let held = Holding {
                    vm: from,
                    incarnation,
                    received,
                    loans: &loans,
                };
                self.owner.on_holding(cx.now, &held);
            }
            CapacityMessage::Recall { backend } => self.loans.on_recall(cx, from, &backend),
        }
    }

    /// Tells that `waiting` requests of `service` wait for slots. To be called
    /// before an acquisition that stands for all of them.
    pub fn set_waiting(&mut self, service: &ServiceId, waiting: usize) {
        let entry = self.waiting.entry(service.clone()).or_default();
        entry.expected = u32::try_from(waiting).unwrap_or(u32::MAX);
    }

    /// Gives a slot back. To be called once for each slot.
    pub fn release(&mut self, cx: &mut Cx<'_>, slot: &Slot, report: SlotReport) {
        self.waiting.clear();
        match self.used.remove(&slot.id) {
            Some(Source::Own(id)) => self.owner.end_own(cx, &slot.backend, id, report),
            Some(Source::Loan(key)) => {
                self.loans.finish(cx, &key, report);
                if let Some(known) = self.known.get_mut(&slot.backend)
                    && self.loans.get(&key).is_none()
                {
                    known.load.leased = known.load.leased.saturating_sub(1);
                }
            }
            None => {}
        }
    }

    fn learn_claims(&mut self, now: Time, from: &VmId, claims: &[message::Claim]) {
        let held = |c: &&message::Claim| c.state == message::ClaimState::Held;
        for claim in claims.iter().filter(held) {
            let load = Load {
                open: claim.open,
                leased: claim.leased,
            };
            self.learn(now, from, &claim.backend, load);
        }
    }

    fn learn(&mut self, now: Time, owner: &VmId, backend: &BackendId, load: Load) {
        let known = Known {
            owner: owner.clone(),
            load,
            at: now,
            denied: self.known.get(backend).and_then(|k| k.denied),
        };
        self.known.insert(backend.clone(), known);
    }

    fn note_denial(&mut self, now: Time, backend: &BackendId) {
        if let Some(known) = self.known.get_mut(backend) {
            known.denied = Some(now);
        }
    }
}
