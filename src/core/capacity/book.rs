//! The leases on the slots of one backend server, kept by its owner.

use std::collections::VecDeque;

use crate::{
    core::{
        capacity::{
            LONG_RUN,
            MAX_RUN_TIME,
            concurrency_limit::ConcurrencyLimit,
            message::{
                AskId,
                HeldLoan,
                LeaseId,
                Load,
                RunBounds, //
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

/// The longest time from lending a slot to the last start of a request on it.
pub const LOAN_SPAN: Millis = Millis(1_500);

/// A loan whose borrower has not been heard of for this long after its last
/// possible start is free again.
const UNHEARD_LOAN: Millis = Millis::from_secs(3);

/// How long an ask waits for a slot before the borrower repeats it.
const QUEUE_TIME: Millis = Millis(120);

/// An ask that waits for a slot.
#[derive(Clone, Debug)]
struct Queued {
    borrower: Borrower,
    since: Time,
}

/// Who uses a slot on loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Borrower {
    /// The VM.
    pub vm: VmId,
    /// The request that the loan answers.
    pub ask: AskId,
}

/// The loans that one run of a VM says it holds.
#[derive(Debug)]
pub struct Holding<'a> {
    /// The VM.
    pub vm: &'a VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The highest loan that it has received.
    pub received: LeaseId,
    /// The loans.
    pub loans: &'a [HeldLoan],
}

impl Holding<'_> {
    fn is_of(&self, borrower: &Borrower) -> bool {
        borrower.vm == *self.vm && borrower.ask.run() == self.incarnation
    }
}

/// The right to run one request at a time on a backend server.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Identifies the lease.
    pub id: LeaseId,
    /// `None` if this VM uses the slot itself.
    pub borrower: Option<Borrower>,
    /// When the lease was granted.
    pub granted: Time,
    /// No request starts on the slot after this.
    pub until: Time,
    /// Whether the borrower was told to start nothing more.
    is_recalled: bool,
    /// When the borrower last listed the loan.
    listed: Time,
    /// When a run that the borrower announced as long must have ended.
    bound: Option<Time>,
}

impl Lease {
    /// Returns the time at which no run can remain on the slot.
    fn last_end(&self) -> Time {
        match (&self.borrower, self.bound) {
            (_, Some(bound)) => bound,
            (Some(_), None) => self.until + MAX_RUN_TIME,
            (None, None) => self.granted + MAX_RUN_TIME,
        }
    }

    fn is_long(&self, now: Time) -> bool {
        let is_own = self.borrower.is_none();
        self.bound.is_some() || is_own && now.since(self.granted) >= LONG_RUN
    }

    fn is_over(&self, now: Time) -> bool {
        if self.borrower.is_none() {
            return now >= self.last_end();
        }
        if let Some(bound) = self.bound {
            return now >= bound;
        }
        now >= self.until.max(self.listed) + UNHEARD_LOAN
    }
}

/// The leases on the slots of one backend server.
#[derive(Debug)]
pub struct Book {
    /// How many requests the backend server bears.
    pub allowance: ConcurrencyLimit,
    /// Whether this VM owns the backend server.
    pub is_held: bool,
    /// When this VM last ceased to own the backend server.
    pub last_held: Option<Time>,
    /// Whether this VM is about to give the backend server up.
    pub is_releasing: bool,
    leases: Vec<Lease>,
    /// Invariant: no longer than the allowance when an ask was added.
    queue: VecDeque<Queued>,
}

impl Book {
    /// Opens the book of a backend server that is not owned yet.
    pub fn open(allowance: ConcurrencyLimit) -> Book {
        Book {
            allowance,
            is_held: false,
            last_held: None,
            is_releasing: false,
            leases: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Returns how many slots are in use or lent.
    pub fn leased(&self) -> u32 {
        self.leases.len() as u32
    }

    /// Tells whether no slot is in use or lent.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the load if at most `limit` slots are open and other VMs'
    /// earlier runs take `foreign` of them.
    pub fn load(&self, now: Time, limit: u32, foreign: u32) -> Load {
        let open = if self.is_held && !self.is_releasing {
            self.allowance.at(now).min(limit)
        } else {
            0
        };
        Load {
            open,
            leased: self.leased() + foreign,
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Time, id: LeaseId, borrower: Option<Borrower>, until: Time) {
        self.leases.push(Lease {
            id,
            borrower,
            granted: now,
            until,
            is_recalled: false,
            listed: now,
            bound: None,
        });
    }

    /// Lets an ask wait for a slot. Returns whether there was room for it.
    pub fn enqueue(&mut self, now: Time, borrower: Borrower) -> bool {
        if let Some(queued) = self.queue.iter_mut().find(|q| q.borrower == borrower) {
            queued.since = now;
            return true;
        }
        let is_full = self.queue.len() as u32 >= self.allowance.known();
        if !is_full {
            self.queue.push_back(Queued {
                borrower,
                since: now,
            });
        }
        !is_full
    }

    /// Returns the ask that has waited longest and takes it off the queue.
    pub fn dequeue(&mut self) -> Option<Borrower> {
        self.queue.pop_front().map(|q| q.borrower)
    }

    /// Tells whether asks wait for a slot.
    pub fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the VMs whose loans have not been recalled yet, and notes that
    /// they are.
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

    /// Returns the lease that `borrower` was granted, if there is one already.
    pub fn lease_for(&self, borrower: &Borrower) -> Option<&Lease> {
        self.leases
            .iter()
            .find(|l| l.borrower.as_ref() == Some(borrower))
    }

    /// Ends the lease `id` of `borrower`, this VM if `None`. Returns whether
    /// there was one.
    pub fn end(&mut self, id: LeaseId, borrower: Option<&VmId>) -> bool {
        let before = self.leases.len();
        self.leases
            .retain(|l| l.id != id || l.borrower.as_ref().map(|b| &b.vm) != borrower);
        self.leases.len() < before
    }

    /// Ends the leases and forgets the asks that are over at `now`.
    pub fn expire(&mut self, now: Time) {
        self.leases.retain(|l| !l.is_over(now));
        self.queue.retain(|q| now.since(q.since) < QUEUE_TIME);
    }

    /// Takes in the list of all loans that a run of another VM holds.
    pub fn reconcile(&mut self, now: Time, held: &Holding<'_>) {
        self.leases.retain_mut(|lease| {
            if !lease.borrower.as_ref().is_some_and(|b| held.is_of(b)) {
                return true;
            }
            match held.loans.iter().find(|l| l.id == lease.id) {
                Some(loan) => {
                    lease.listed = now;
                    lease.bound = loan.bound.map(|bound| now + bound);
                    true
                }
                None => lease.id > held.received,
            }
        });
    }

    /// Tells whether a request might still start on a loan at `now`.
    pub fn may_start(&self, now: Time) -> bool {
        self.leases
            .iter()
            .any(|l| l.borrower.is_some() && l.until > now)
    }

    /// Returns the bounds of the runs that may outlast the ownership: the long
    /// ones while it is held, all once it has ended.
    pub fn run_bounds(&self, now: Time) -> RunBounds {
        self.leases
            .iter()
            .filter(|l| !self.is_held || l.is_long(now))
            .map(|l| l.last_end().since(now))
            .collect()
    }
}
