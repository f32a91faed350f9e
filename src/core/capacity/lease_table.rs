//! The owner's table of leases on the slots of one backend server.

use std::collections::VecDeque;

use crate::{
    core::{
        capacity::{
            LONG_RUN_TIME,
            MAX_RUN_TIME,
            concurrency_limit::ConcurrencyLimit,
            message::{
                HeldLoan,
                LeaseId,
                Load,
                LoanRequestId,
                RemainingTimes, //
            }, //
        },
        names::{
            Incarnation,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The maximum time after lending a slot at which a request may start on it.
pub const MAX_LOAN_TIME: Millis = Millis(1_500);

/// A slot on loan is freed if the borrower has not listed the loan for this
/// long after the last time at which a request could start on it.
const LOST_LOAN_TIMEOUT: Millis = Millis::from_secs(3);

/// How long a loan request stays queued unless the borrower retries it.
const QUEUE_TIMEOUT: Millis = Millis(120);

/// A loan request that waits for a free slot.
#[derive(Clone, Debug)]
struct Queued {
    borrower: Borrower,
    queued_at: Time,
}

/// The VM that borrows a slot, and its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Borrower {
    /// The borrowing VM.
    pub vm: VmId,
    /// The loan request that the loan answers.
    pub request_id: LoanRequestId,
}

/// All loans that one run of a VM reports to hold.
#[derive(Debug)]
pub struct LoanList<'a> {
    /// The borrowing VM.
    pub vm: &'a VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The highest loan that it has received. A loan up to this one that is not
    /// listed has ended.
    pub received: LeaseId,
    /// The loans that it still holds.
    pub loans: &'a [HeldLoan],
}

impl LoanList<'_> {
    fn is_from(&self, borrower: &Borrower) -> bool {
        borrower.vm == *self.vm && borrower.request_id.run() == self.incarnation
    }
}

/// The right to run one request at a time on one slot of a backend server.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Identifies the lease at this VM.
    pub id: LeaseId,
    /// The borrower, or `None` if this VM uses the slot itself.
    pub borrower: Option<Borrower>,
    /// When this VM granted the lease.
    pub granted_at: Time,
    /// No request may start on the slot after this time.
    pub until: Time,
    /// Whether the borrower was told to start no further requests.
    is_recalled: bool,
    /// When the borrower last reported that it holds the loan.
    last_listed: Time,
    /// When a long-running request that the borrower reported ends at the
    /// latest.
    known_end: Option<Time>,
}

impl Lease {
    /// Returns the time by which any request on the slot has ended.
    fn latest_end(&self) -> Time {
        match (&self.borrower, self.known_end) {
            (_, Some(end)) => end,
            (Some(_), None) => self.until + MAX_RUN_TIME,
            (None, None) => self.granted_at + MAX_RUN_TIME,
        }
    }

    fn is_long_running(&self, now: Time) -> bool {
        let is_local = self.borrower.is_none();
        self.known_end.is_some() || is_local && now.since(self.granted_at) >= LONG_RUN_TIME
    }

    fn is_expired(&self, now: Time) -> bool {
        if self.borrower.is_none() {
            return now >= self.latest_end();
        }
        if let Some(end) = self.known_end {
            return now >= end;
        }
        now >= self.until.max(self.last_listed) + LOST_LOAN_TIMEOUT
    }
}

/// The leases on the slots of one backend server, and the loan requests that
/// wait for a slot.
#[derive(Debug)]
pub struct LeaseTable {
    /// The adaptive limit on concurrent requests.
    pub concurrency_limit: ConcurrencyLimit,
    /// Whether this VM owns the backend server.
    pub is_owned: bool,
    /// When this VM last lost or released ownership of the backend server.
    pub last_owned: Option<Time>,
    /// Whether this VM is about to release the backend server. No slot is
    /// granted meanwhile.
    pub is_releasing: bool,
    leases: Vec<Lease>,
    /// Invariant: no longer than the concurrency limit was when a request was
    /// added.
    queue: VecDeque<Queued>,
}

impl LeaseTable {
    /// Creates the empty table of a backend server that is not owned yet.
    pub fn new(concurrency_limit: ConcurrencyLimit) -> LeaseTable {
        LeaseTable {
            concurrency_limit,
            is_owned: false,
            last_owned: None,
            is_releasing: false,
            leases: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Returns how many slots are in use by this VM or lent.
    pub fn leased(&self) -> u32 {
        self.leases.len() as u32
    }

    /// Returns whether no slot is in use or lent.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the load if at most `share_limit` slots may be used and
    /// `inherited` of them are taken by requests that other VMs started.
    pub fn load(&self, now: Time, share_limit: u32, inherited: u32) -> Load {
        let limit = if self.is_owned && !self.is_releasing {
            self.concurrency_limit.current(now).min(share_limit)
        } else {
            0
        };
        Load {
            limit,
            leased: self.leased() + inherited,
        }
    }

    /// Adds a lease to `borrower`, or to this VM if `None`.
    pub fn grant(&mut self, now: Time, id: LeaseId, borrower: Option<Borrower>, until: Time) {
        self.leases.push(Lease {
            id,
            borrower,
            granted_at: now,
            until,
            is_recalled: false,
            last_listed: now,
            known_end: None,
        });
    }

    /// Queues a loan request, or refreshes it if it is queued already. Returns
    /// `false` if the queue is full.
    pub fn enqueue(&mut self, now: Time, borrower: Borrower) -> bool {
        if let Some(queued) = self.queue.iter_mut().find(|q| q.borrower == borrower) {
            queued.queued_at = now;
            return true;
        }
        let is_full = self.queue.len() as u32 >= self.concurrency_limit.value();
        if !is_full {
            self.queue.push_back(Queued {
                borrower,
                queued_at: now,
            });
        }
        !is_full
    }

    /// Removes the oldest loan request from the queue and returns it.
    pub fn dequeue(&mut self) -> Option<Borrower> {
        self.queue.pop_front().map(|q| q.borrower)
    }

    /// Returns whether loan requests wait for a slot.
    pub fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Marks all leases as recalled and returns the borrowers to notify.
    pub fn recall(&mut self) -> Vec<VmId> {
        let mut vms = Vec::new();
        for lease in self.leases.iter_mut().filter(|l| !l.is_recalled) {
            lease.is_recalled = true;
            vms.extend(lease.borrower.as_ref().map(|b| b.vm.clone()));
        }
        vms.sort();
        vms.dedup();
        vms
    }

    /// Returns the lease that was granted for the request of `borrower`, if
    /// any.
    pub fn lease_for(&self, borrower: &Borrower) -> Option<&Lease> {
        self.leases
            .iter()
            .find(|l| l.borrower.as_ref() == Some(borrower))
    }

    /// Removes the lease `id` of `borrower` (this VM if `None`). Returns
    /// whether it existed.
    pub fn end(&mut self, id: LeaseId, borrower: Option<&VmId>) -> bool {
        let before = self.leases.len();
        self.leases
            .retain(|l| l.id != id || l.borrower.as_ref().map(|b| &b.vm) != borrower);
        self.leases.len() < before
    }

    /// Removes the leases and queued loan requests that have expired at `now`.
    pub fn expire(&mut self, now: Time) {
        self.leases.retain(|l| !l.is_expired(now));
        self.queue
            .retain(|q| now.since(q.queued_at) < QUEUE_TIMEOUT);
    }

    /// Updates the loans listed by a run of another VM and removes those that
    /// it received but no longer lists.
    pub fn reconcile(&mut self, now: Time, list: &LoanList<'_>) {
        self.leases.retain_mut(|lease| {
            if !lease.borrower.as_ref().is_some_and(|b| list.is_from(b)) {
                return true;
            }
            match list.loans.iter().find(|l| l.id == lease.id) {
                Some(loan) => {
                    lease.last_listed = now;
                    lease.known_end = loan.remaining.map(|remaining| now + remaining);
                    true
                }
                None => lease.id > list.received,
            }
        });
    }

    /// Returns whether a borrower may still start a request after `now`.
    pub fn may_start(&self, now: Time) -> bool {
        self.leases
            .iter()
            .any(|l| l.borrower.is_some() && l.until > now)
    }

    /// Returns the maximum remaining times of the requests that may outlast the
    /// ownership: the long-running ones while the backend server is owned, all
    /// of them afterwards.
    pub fn remaining_times(&self, now: Time) -> RemainingTimes {
        self.leases
            .iter()
            .filter(|l| !self.is_owned || l.is_long_running(now))
            .map(|l| l.latest_end().since(now))
            .collect()
    }
}
