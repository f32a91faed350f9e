//! Limits the concurrent requests on each backend server across all VMs.
//!
//! Each backend server is owned by one VM of its data centre. The owner grants
//! leases on its slots, to itself and, as loans, to the other VMs.

pub mod concurrency_limit;
mod index;
pub mod lease_table;
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
    lease_table::LoanList,
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

/// The maximum difference between the wall clocks of two machines.
pub const CLOCK_SKEW: Millis = Millis(500);

/// No request starts on a lease with less than this time left.
///
/// Invariant: longer than [`CLOCK_SKEW`], so that [`Slot::until`] is in the
/// future.
const MIN_LEASE_TIME: Millis = Millis(700);

/// The maximum time that a request may run on a backend server.
pub const MAX_RUN_TIME: Millis = Millis::from_secs(30);

/// A request that has run for this long is announced to the other VMs, so that
/// a new owner of its backend server does not grant the occupied slot.
pub const LONG_RUN_TIME: Millis = Millis::from_secs(2);

/// How long no further loan is requested for a backend server whose owner has
/// denied one.
const DENIAL_BACKOFF: Millis = Millis(100);

/// The number of low bits of an identifier that count within one run of a
/// process. The upper bits are the run's incarnation.
const SEQUENCE_BITS: u32 = 20;

/// The right to run one request on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Identifies the slot within one run of the process.
    pub id: SlotId,
    /// The backend server that the slot is on.
    pub backend: BackendId,
    /// The backend server must not start the request after this time. A request
    /// that it has started may run for [`MAX_RUN_TIME`].
    pub until: WallTime,
}

/// Identifies an acquired slot within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotId(pub u64);

/// Why no slot could be acquired.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AcquireError {
    /// A loan has been requested from another VM. Retrying after the next event
    /// may succeed.
    #[display("waiting for a slot requested from another VM")]
    Pending,
    /// All slots are in use.
    #[display("all slots are in use")]
    Busy,
    /// No backend server of the service accepts new work.
    #[display("no backend server accepts new work")]
    NoBackend,
}

/// The outcome of an attempt as it affects the backend server's capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SlotResult {
    /// The request was answered.
    Answered,
    /// The request got no answer and may still be running.
    Lost,
    /// The backend server rejected the request because of its load.
    Shed,
    /// The backend server could not be reached.
    Unreachable,
    /// The slot was not used.
    Unused,
}

/// The report of a finished attempt, from which the owner adjusts the
/// concurrency limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotReport {
    /// The outcome of the attempt.
    pub result: SlotResult,
    /// How long the attempt took.
    pub elapsed: Millis,
    /// The run of the backend server's process, if its answer named one.
    pub backend_run: Option<u64>,
}

/// Where an acquired slot came from.
#[derive(Clone, Debug)]
enum Source {
    /// A lease from this VM, which owns the backend server.
    Local(LeaseId),
    /// A loan from another VM.
    Loan(LoanKey),
}

/// The last known state of a backend server that another VM owns.
#[derive(Clone, Debug)]
struct RemoteBackend {
    owner: VmId,
    load: Load,
    updated_at: Time,
    /// When the owner last denied a loan or left a request unanswered.
    denied_at: Option<Time>,
}

impl RemoteBackend {
    fn was_denied_recently(&self, now: Time) -> bool {
        self.denied_at
            .is_some_and(|at| now.since(at) < DENIAL_BACKOFF)
    }
}

/// The requests of one service that failed to acquire a slot since the last
/// event that makes all of them try again.
#[derive(Clone, Copy, Debug, Default)]
struct Waiters {
    count: u32,
    /// The number of waiting requests that the caller announced.
    expected: u32,
    /// Whether no backend server of the service was known to have a free slot.
    is_exhausted: bool,
}

/// The state machine that acquires and releases the slots of backend servers.
#[derive(Debug, Default)]
pub struct Capacity {
    is_ready: bool,
    next_slot: u64,
    owner: Owner,
    loans: Loans,
    remote_backends: BTreeMap<BackendId, RemoteBackend>,
    /// The slots that this VM uses.
    in_use: BTreeMap<SlotId, Source>,
    waiting: BTreeMap<ServiceId, Waiters>,
}

impl Capacity {
    /// Creates the state machine with no slots in use and no backend server
    /// owned.
    pub fn open() -> Capacity {
        Capacity::default()
    }

    /// Returns whether the owner of some backend server has been known since
    /// the start. Until then requests wait for the leases of earlier runs to
    /// end.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    fn update_readiness(&mut self, cx: &Cx<'_>) {
        if cx.cfg.generation == Generation::default() {
            return;
        }
        let mut backends = cx.cfg.backends.iter();
        self.is_ready = cx.cfg.backends.is_empty() || backends.any(|b| self.has_owner(cx, &b.name));
    }

    /// Returns the backend servers that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = &BackendId> {
        self.owner.owned()
    }

    /// Handles a change of the configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.owner.on_configuration(cx);
        self.remote_backends
            .retain(|b, _| cx.cfg.backend(b).is_some());
    }

    /// Handles a change of the membership view.
    pub fn on_view(&mut self, cx: &mut Cx<'_>) {
        self.owner.tick(cx);
    }

    /// Returns idle loans and releases the ownership of backend servers before
    /// this VM stops.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.loans.return_idle(cx);
        self.owner.stop(cx);
    }

    /// Runs the periodic work: renewals, expirations and retries.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.waiting.clear();
        self.owner.update_index(cx);
        self.owner.tick(cx);
        if !self.is_ready {
            self.update_readiness(cx);
        }
        for request in self.loans.tick(cx) {
            cx.count(Counter::SlotAskLost);
            self.record_denial(cx.now, &request.backend);
        }
    }

    /// Handles a message from another VM.
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
                self.record_claimed_loads(cx.now, from, &claims);
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
            CapacityMessage::Borrow {
                request_id,
                backend,
            } => self.owner.on_borrow(cx, from, request_id, &backend),
            CapacityMessage::Lend {
                request_id,
                id,
                duration,
                load,
            } => {
                if let Some(request) = self.loans.on_lend(cx, from, id, request_id, duration) {
                    self.record_load(cx.now, from, &request.backend, load);
                }
            }
            CapacityMessage::Deny { request_id, load } => {
                if let Some(request) = self.loans.on_deny(request_id) {
                    cx.count(Counter::SlotAskDenied);
                    self.record_load(cx.now, from, &request.backend, load);
                    self.record_denial(cx.now, &request.backend);
                }
            }
            CapacityMessage::Return { id, reports } => {
                self.owner.on_return(cx, from, id, &reports);
            }
            CapacityMessage::LoanList {
                incarnation,
                received,
                loans,
            } => {
                let list = LoanList {
                    vm: from,
                    incarnation,
                    received,
                    loans: &loans,
                };
                self.owner.on_loan_list(cx.now, &list);
            }
            CapacityMessage::Recall { backend } => self.loans.on_recall(cx, from, &backend),
        }
    }

    /// Sets how many requests of `service` wait for slots. Call it before an
    /// acquisition on behalf of all of them.
    pub fn set_waiting(&mut self, service: &ServiceId, waiting: usize) {
        let entry = self.waiting.entry(service.clone()).or_default();
        entry.expected = u32::try_from(waiting).unwrap_or(u32::MAX);
    }

    /// Releases a slot. Call it exactly once for each acquired slot.
    pub fn release(&mut self, cx: &mut Cx<'_>, slot: &Slot, report: SlotReport) {
        self.waiting.clear();
        match self.in_use.remove(&slot.id) {
            Some(Source::Local(id)) => self.owner.end_local(cx, &slot.backend, id, report),
            Some(Source::Loan(key)) => {
                self.loans.finish(cx, &key, report);
                if let Some(remote) = self.remote_backends.get_mut(&slot.backend)
                    && self.loans.get(&key).is_none()
                {
                    remote.load.leased = remote.load.leased.saturating_sub(1);
                }
            }
            None => {}
        }
    }

    fn record_claimed_loads(&mut self, now: Time, from: &VmId, claims: &[message::Claim]) {
        let is_owned = |c: &&message::Claim| c.state == message::ClaimState::Owned;
        for claim in claims.iter().filter(is_owned) {
            let load = Load {
                limit: claim.limit,
                leased: claim.leased,
            };
            self.record_load(now, from, &claim.backend, load);
        }
    }

    fn record_load(&mut self, now: Time, owner: &VmId, backend: &BackendId, load: Load) {
        let remote = RemoteBackend {
            owner: owner.clone(),
            load,
            updated_at: now,
            denied_at: self.remote_backends.get(backend).and_then(|r| r.denied_at),
        };
        self.remote_backends.insert(backend.clone(), remote);
    }

    fn record_denial(&mut self, now: Time, backend: &BackendId) {
        if let Some(remote) = self.remote_backends.get_mut(backend) {
            remote.denied_at = Some(now);
        }
    }
}
