//! The borrower's side: pending loan requests and the loans that this VM holds.

use std::collections::BTreeMap;

use crate::{
    core::{
        capacity::{
            LONG_RUN_TIME,
            MAX_RUN_TIME,
            MIN_LEASE_TIME,
            SlotReport,
            SlotResult,
            message::{
                CapacityMessage,
                HeldLoan,
                LeaseId,
                LoanRequestId,
                Reports, //
            }, //
        },
        cx::Cx,
        names::{
            BackendId,
            ServiceId,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long an idle loan is kept for another request before it is returned.
const IDLE_TIMEOUT: Millis = Millis(20);

/// The interval at which each lender is sent the list of its loans.
const LOAN_LIST_INTERVAL: Millis = Millis(500);

/// How many empty loan lists in a row are sent before the lists stop. More than
/// one, because messages can be lost.
const MAX_EMPTY_LISTS: u32 = 3;

/// How long to wait for an answer before a loan request is retried or dropped.
const RETRY_INTERVAL: Millis = Millis(100);

/// How many times a loan request is sent in all.
const MAX_TRIES: u32 = 3;

/// The number of reports at which a loan is returned.
const MAX_REPORTS: usize = 16;

/// Identifies a loan: the lender and its lease.
pub type LoanKey = (VmId, LeaseId);

/// A loan request that has not been answered.
#[derive(Clone, Debug)]
pub struct LoanRequest {
    /// The service that needs the slot.
    pub service: ServiceId,
    /// The backend server that the slot is on.
    pub backend: BackendId,
    /// The owner, to which the request was sent.
    pub owner: VmId,
    first_sent: Time,
    last_sent: Time,
    tries: u32,
}

/// A slot that this VM has borrowed.
#[derive(Debug)]
pub struct Loan {
    /// The backend server that the slot is on.
    pub backend: BackendId,
    /// No request may start on the slot after this time.
    pub until: Time,
    /// When the request that uses the slot started.
    started: Option<Time>,
    idle_since: Time,
    reports: Reports,
}

impl Loan {
    /// Returns whether a request can start on the loan at `now`.
    pub fn is_usable(&self, now: Time) -> bool {
        self.started.is_none() && self.until >= now + MIN_LEASE_TIME
    }

    fn is_surplus(&self, now: Time) -> bool {
        let is_idle = self.started.is_none();
        let is_idle_long = now.since(self.idle_since) >= IDLE_TIMEOUT;
        is_idle && (is_idle_long || !self.is_usable(now))
    }

    fn remaining(&self, now: Time) -> Option<Millis> {
        let started = self.started?;
        let end = started + MAX_RUN_TIME;
        (now.since(started) >= LONG_RUN_TIME).then(|| end.since(now))
    }
}

#[derive(Debug)]
struct Lender {
    /// The highest loan that has been received.
    received: LeaseId,
    /// The value of `received` in the last loan list. The lender frees loans up
    /// to this one that the list omits.
    listed_up_to: LeaseId,
    empty_lists: u32,
}

/// The loans that this VM holds, and its pending loan requests.
#[derive(Debug, Default)]
pub struct Loans {
    next_request: u64,
    requests: BTreeMap<LoanRequestId, LoanRequest>,
    /// Invariant: the number of `requests` of each service that has any.
    pending_by_service: BTreeMap<ServiceId, u32>,
    /// Invariant: the number of `requests` of each backend server that has any.
    pending_by_backend: BTreeMap<BackendId, u32>,
    loans: BTreeMap<LoanKey, Loan>,
    lenders: BTreeMap<VmId, Lender>,
    next_list: Time,
}

impl Loans {
    /// Returns the number of unanswered loan requests for `service`.
    pub fn pending_for_service(&self, service: &ServiceId) -> u32 {
        self.pending_by_service.get(service).copied().unwrap_or(0)
    }

    /// Returns the number of unanswered loan requests for `backend`.
    pub fn pending_for_backend(&self, backend: &BackendId) -> u32 {
        self.pending_by_backend.get(backend).copied().unwrap_or(0)
    }

    /// Returns the loans on which a request can start.
    pub fn usable(&self, now: Time) -> impl Iterator<Item = (&LoanKey, &Loan)> {
        self.loans.iter().filter(move |(_, l)| l.is_usable(now))
    }

    /// Returns the loan `key` if this VM holds it.
    pub fn get(&self, key: &LoanKey) -> Option<&Loan> {
        self.loans.get(key)
    }

    /// Requests the loan of a slot of `backend` from `owner`.
    pub fn request(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        backend: &BackendId,
        owner: &VmId,
    ) {
        let first = cx.view.me.incarnation.0 << super::SEQUENCE_BITS;
        self.next_request = self.next_request.max(first) + 1;
        let id = LoanRequestId(self.next_request);
        let request = LoanRequest {
            service: service.clone(),
            backend: backend.clone(),
            owner: owner.clone(),
            first_sent: cx.now,
            last_sent: cx.now,
            tries: 1,
        };
        send_request(cx, id, &request);
        *self.pending_by_service.entry(service.clone()).or_default() += 1;
        *self.pending_by_backend.entry(backend.clone()).or_default() += 1;
        self.requests.insert(id, request);
    }

    fn remove_request(&mut self, id: LoanRequestId) -> Option<LoanRequest> {
        let request = self.requests.remove(&id)?;
        subtract_one(&mut self.pending_by_service, &request.service);
        subtract_one(&mut self.pending_by_backend, &request.backend);
        Some(request)
    }

    /// Handles a loan from `from`. Returns the loan request that it answers. If
    /// the request is no longer pending, or the lender may have freed the loan
    /// already, sends the loan back and returns `None`.
    pub fn on_lend(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        id: LeaseId,
        request_id: LoanRequestId,
        duration: Millis,
    ) -> Option<LoanRequest> {
        let key = (from.clone(), id);
        if self.loans.contains_key(&key) {
            return None;
        }
        let lender = self.lenders.entry(from.clone()).or_insert(Lender {
            received: id,
            listed_up_to: LeaseId(0),
            empty_lists: 0,
        });
        lender.received = lender.received.max(id);
        lender.empty_lists = 0;
        let is_freed = id <= lender.listed_up_to;
        let request = self.remove_request(request_id).filter(|_| !is_freed);
        let Some(request) = request else {
            let reports = Reports::new();
            cx.send(from, CapacityMessage::Return { id, reports });
            return None;
        };
        let loan = Loan {
            backend: request.backend.clone(),
            until: request.first_sent + duration,
            started: None,
            idle_since: cx.now,
            reports: Reports::new(),
        };
        self.loans.insert(key, loan);
        Some(request)
    }

    /// Handles the refusal of a loan request. Returns the request if it was
    /// still pending.
    pub fn on_deny(&mut self, request_id: LoanRequestId) -> Option<LoanRequest> {
        self.remove_request(request_id)
    }

    /// Marks the loan `key` as used by a request from `now` on.
    pub fn start(&mut self, now: Time, key: &LoanKey) {
        if let Some(loan) = self.loans.get_mut(key) {
            loan.started = Some(now);
        }
    }

    /// Ends the request on the loan `key`. Returns the loan to the lender
    /// unless another request can use it.
    pub fn finish(&mut self, cx: &mut Cx<'_>, key: &LoanKey, report: SlotReport) {
        let Some(loan) = self.loans.get_mut(key) else {
            return;
        };
        loan.started = None;
        loan.idle_since = cx.now;
        let is_answered = report.result == SlotResult::Answered;
        loan.reports.push(report);
        let is_full = loan.reports.len() >= MAX_REPORTS;
        if !is_answered || is_full || !loan.is_usable(cx.now) {
            self.return_loan(cx, key);
        }
    }

    /// Ends the right to start requests on the loans of `backend` from `from`.
    pub fn on_recall(&mut self, cx: &mut Cx<'_>, from: &VmId, backend: &BackendId) {
        let now = cx.now;
        for (key, loan) in &mut self.loans {
            if key.0 == *from && loan.backend == *backend {
                loan.until = now;
            }
        }
        self.return_surplus(cx);
    }

    /// Returns all idle loans to their lenders.
    pub fn return_idle(&mut self, cx: &mut Cx<'_>) {
        self.return_where(cx, |loan| loan.started.is_none());
    }

    /// Returns surplus loans, sends the loan lists that are due and retries
    /// loan requests. Returns the requests that got no answer after the last
    /// retry.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<LoanRequest> {
        self.return_surplus(cx);
        if cx.now >= self.next_list {
            self.next_list = cx.now + LOAN_LIST_INTERVAL;
            self.send_loan_lists(cx);
        }
        self.retry_requests(cx)
    }

    fn retry_requests(&mut self, cx: &mut Cx<'_>) -> Vec<LoanRequest> {
        for (id, request) in &mut self.requests {
            if request.tries < MAX_TRIES && cx.now.since(request.last_sent) >= RETRY_INTERVAL {
                request.tries += 1;
                request.last_sent = cx.now;
                send_request(cx, *id, request);
            }
        }
        let now = cx.now;
        let is_expired = |request: &LoanRequest| now.since(request.last_sent) >= RETRY_INTERVAL;
        let expired: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| is_expired(request))
            .map(|(id, _)| *id)
            .collect();
        expired
            .iter()
            .filter_map(|id| self.remove_request(*id))
            .collect()
    }

    fn return_surplus(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        self.return_where(cx, |loan| loan.is_surplus(now));
    }

    fn return_where(&mut self, cx: &mut Cx<'_>, should_return: impl Fn(&Loan) -> bool) {
        let keys: Vec<_> = self
            .loans
            .iter()
            .filter(|(_, loan)| should_return(loan))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.return_loan(cx, &key);
        }
    }

    fn return_loan(&mut self, cx: &mut Cx<'_>, key: &LoanKey) {
        if let Some(loan) = self.loans.remove(key) {
            let (lender, id) = key;
            let reports = loan.reports;
            cx.send(lender, CapacityMessage::Return { id: *id, reports });
        }
    }

    fn send_loan_lists(&mut self, cx: &mut Cx<'_>) {
        for (vm, lender) in &mut self.lenders {
            let loans = held_loans(&self.loans, cx.now, vm);
            if loans.is_empty() {
                lender.empty_lists += 1;
            } else {
                lender.empty_lists = 0;
            }
            lender.listed_up_to = lender.received;
            if lender.empty_lists <= MAX_EMPTY_LISTS {
                let received = lender.received;
                let msg = CapacityMessage::LoanList {
                    incarnation: cx.view.me.incarnation,
                    received,
                    loans,
                };
                cx.send(vm, msg);
            }
        }
    }
}

fn subtract_one<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

fn held_loans(loans: &BTreeMap<LoanKey, Loan>, now: Time, lender: &VmId) -> Vec<HeldLoan> {
    loans
        .iter()
        .filter(|((vm, _), _)| vm == lender)
        .map(|((_, id), loan)| HeldLoan {
            id: *id,
            remaining: loan.remaining(now),
        })
        .collect()
}

fn send_request(cx: &mut Cx<'_>, id: LoanRequestId, request: &LoanRequest) {
    let msg = CapacityMessage::Borrow {
        request_id: id,
        backend: request.backend.clone(),
    };
    cx.send(&request.owner, msg);
}
