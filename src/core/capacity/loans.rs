//! The slots that this VM has borrowed or asked for.

use std::collections::BTreeMap;

use crate::{
    core::{
        capacity::{
            LONG_RUN,
            MAX_RUN_TIME,
            MIN_REMAINING,
            SlotReport,
            SlotResult,
            message::{
                AskId,
                CapacityMessage,
                HeldLoan,
                LeaseId,
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

/// How long an idle loan is kept for the next request.
const IDLE_LOAN: Millis = Millis(20);

/// How often a lender is told which of its loans are held.
const HOLDING_INTERVAL: Millis = Millis(500);

/// How often an empty list of loans is repeated.
const EMPTY_LISTS: u32 = 3;

/// How long to wait before an ask is repeated.
const ASK_TIMEOUT: Millis = Millis(100);

/// How often an ask is sent.
const ASK_TRIES: u32 = 3;

/// How many reports one loan collects before it is returned.
const MAX_REPORTS: usize = 16;

/// Identifies a loan: the lender and its lease.
pub type LoanKey = (VmId, LeaseId);

/// A request for a loan that has not been answered.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service that needs the slot.
    pub service: ServiceId,
    /// The backend server.
    pub backend: BackendId,
    /// The VM that was asked.
    pub owner: VmId,
    first: Time,
    last: Time,
    tries: u32,
}

/// A slot on loan.
#[derive(Debug)]
pub struct Loan {
    /// The backend server.
    pub backend: BackendId,
    /// No request starts on the slot after this.
    pub until: Time,
    /// When the request that uses it started.
    started: Option<Time>,
    idle_since: Time,
    reports: Reports,
}

impl Loan {
    /// Tells whether a request can start on the loan.
    pub fn is_usable(&self, now: Time) -> bool {
        self.started.is_none() && self.until >= now + MIN_REMAINING
    }

    fn is_surplus(&self, now: Time) -> bool {
        let is_idle = self.started.is_none();
        let is_idle_long = now.since(self.idle_since) >= IDLE_LOAN;
        is_idle && (is_idle_long || !self.is_usable(now))
    }

    fn bound(&self, now: Time) -> Option<Millis> {
        let started = self.started?;
        let end = started + MAX_RUN_TIME;
        (now.since(started) >= LONG_RUN).then(|| end.since(now))
    }
}

#[derive(Debug)]
struct Lender {
    /// The highest loan that has arrived.
    received: LeaseId,
    /// The highest loan that the lender may have freed unless it was listed.
    listed: LeaseId,
    empty_lists: u32,
}

/// The slots that this VM has borrowed or asked for.
#[derive(Debug, Default)]
pub struct Loans {
    next_ask: u64,
    asks: BTreeMap<AskId, Ask>,
    /// Invariant: the number of `asks` of each service that has any.
    pending: BTreeMap<ServiceId, u32>,
    /// Invariant: the number of `asks` of each backend server that has any.
    pending_at: BTreeMap<BackendId, u32>,
    loans: BTreeMap<LoanKey, Loan>,
    lenders: BTreeMap<VmId, Lender>,
    next_holding: Time,
}

impl Loans {
    /// Returns how many asks for `service` wait for an answer.
    pub fn pending(&self, service: &ServiceId) -> u32 {
        self.pending.get(service).copied().unwrap_or(0)
    }

    /// Returns how many asks for `backend` wait for an answer.
    pub fn pending_at(&self, backend: &BackendId) -> u32 {
        self.pending_at.get(backend).copied().unwrap_or(0)
    }

    /// Returns the loans on which a request can start.
    pub fn usable(&self, now: Time) -> impl Iterator<Item = (&LoanKey, &Loan)> {
        self.loans.iter().filter(move |(_, l)| l.is_usable(now))
    }

    /// Returns the backend server and the end of the loan `key`.
    pub fn get(&self, key: &LoanKey) -> Option<&Loan> {
        self.loans.get(key)
    }

    /// Asks `owner` for a slot of `backend`.
    pub fn ask(&mut self, cx: &mut Cx<'_>, service: &ServiceId, backend: &BackendId, owner: &VmId) {
        let first = cx.view.me.incarnation.0 << super::RUN_BITS;
        self.next_ask = self.next_ask.max(first) + 1;
        let id = AskId(self.next_ask);
        let ask = Ask {
            service: service.clone(),
            backend: backend.clone(),
            owner: owner.clone(),
            first: cx.now,
            last: cx.now,
            tries: 1,
        };
        send_ask(cx, id, &ask);
        *self.pending.entry(service.clone()).or_default() += 1;
        *self.pending_at.entry(backend.clone()).or_default() += 1;
        self.asks.insert(id, ask);
    }

    fn remove_ask(&mut self, id: AskId) -> Option<Ask> {
        let ask = self.asks.remove(&id)?;
        subtract_one(&mut self.pending, &ask.service);
        subtract_one(&mut self.pending_at, &ask.backend);
        Some(ask)
    }

    /// Takes in a loan. Returns the ask that it answers, if it is still wanted.
    pub fn on_lend(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        id: LeaseId,
        ask: AskId,
        span: Millis,
    ) -> Option<Ask> {
        let key = (from.clone(), id);
        if self.loans.contains_key(&key) {
            return None;
        }
        let lender = self.lenders.entry(from.clone()).or_insert(Lender {
            received: id,
            listed: LeaseId(0),
            empty_lists: 0,
        });
        lender.received = lender.received.max(id);
        lender.empty_lists = 0;
        let is_freed = id <= lender.listed;
        let asked = self.remove_ask(ask).filter(|_| !is_freed);
        let Some(asked) = asked else {
            let reports = Reports::new();
            cx.send(from, CapacityMessage::Return { id, reports });
            return None;
        };
        let loan = Loan {
            backend: asked.backend.clone(),
            until: asked.first + span,
            started: None,
            idle_since: cx.now,
            reports: Reports::new(),
        };
        self.loans.insert(key, loan);
        Some(asked)
    }

    /// Takes in that an ask was refused. Returns the ask.
    pub fn on_deny(&mut self, ask: AskId) -> Option<Ask> {
        self.remove_ask(ask)
    }

    /// Starts a request on the loan `key`.
    pub fn start(&mut self, now: Time, key: &LoanKey) {
        if let Some(loan) = self.loans.get_mut(key) {
            loan.started = Some(now);
        }
    }

    /// Ends the request on the loan `key`. The loan is returned unless it can
    /// be used again.
    pub fn finish(&mut self, cx: &mut Cx<'_>, key: &LoanKey, report: SlotReport) {
        let Some(loan) = self.loans.get_mut(key) else {
            return;
        };
        loan.started = None;
        loan.idle_since = cx.now;
        let is_good = report.result == SlotResult::Answered;
        loan.reports.push(report);
        let is_full = loan.reports.len() >= MAX_REPORTS;
        if !is_good || is_full || !loan.is_usable(cx.now) {
            self.give_back(cx, key);
        }
    }

    /// Starts nothing more on the loans that `from` has lent of `backend`.
    pub fn on_recall(&mut self, cx: &mut Cx<'_>, from: &VmId, backend: &BackendId) {
        let now = cx.now;
        for (key, loan) in &mut self.loans {
            if key.0 == *from && loan.backend == *backend {
                loan.until = now;
            }
        }
        self.return_surplus(cx);
    }

    /// Returns all idle loans.
    pub fn return_idle(&mut self, cx: &mut Cx<'_>) {
        self.return_where(cx, |loan| loan.started.is_none());
    }

    /// Repeats asks, returns surplus loans and lists those held. Returns the
    /// asks that were given up.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<Ask> {
        self.return_surplus(cx);
        if cx.now >= self.next_holding {
            self.next_holding = cx.now + HOLDING_INTERVAL;
            self.send_holdings(cx);
        }
        self.repeat_asks(cx)
    }

    fn repeat_asks(&mut self, cx: &mut Cx<'_>) -> Vec<Ask> {
        for (id, ask) in &mut self.asks {
            if ask.tries < ASK_TRIES && cx.now.since(ask.last) >= ASK_TIMEOUT {
                ask.tries += 1;
                ask.last = cx.now;
                send_ask(cx, *id, ask);
            }
        }
        let now = cx.now;
        let is_over = |ask: &Ask| now.since(ask.last) >= ASK_TIMEOUT;
        let over: Vec<_> = self
            .asks
            .iter()
            .filter(|(_, ask)| is_over(ask))
            .map(|(id, _)| *id)
            .collect();
        over.iter().filter_map(|id| self.remove_ask(*id)).collect()
    }

    fn return_surplus(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        self.return_where(cx, |loan| loan.is_surplus(now));
    }

    fn return_where(&mut self, cx: &mut Cx<'_>, is_wanted: impl Fn(&Loan) -> bool) {
        let keys: Vec<_> = self
            .loans
            .iter()
            .filter(|(_, loan)| is_wanted(loan))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.give_back(cx, &key);
        }
    }

    fn give_back(&mut self, cx: &mut Cx<'_>, key: &LoanKey) {
        if let Some(loan) = self.loans.remove(key) {
            let (lender, id) = key;
            let reports = loan.reports;
            cx.send(lender, CapacityMessage::Return { id: *id, reports });
        }
    }

    fn send_holdings(&mut self, cx: &mut Cx<'_>) {
        for (vm, lender) in &mut self.lenders {
            let loans = held_loans(&self.loans, cx.now, vm);
            if loans.is_empty() {
                lender.empty_lists += 1;
            } else {
                lender.empty_lists = 0;
            }
            lender.listed = lender.received;
            if lender.empty_lists <= EMPTY_LISTS {
                let received = lender.received;
                let msg = CapacityMessage::Holding {
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
            bound: loan.bound(now),
        })
        .collect()
}

fn send_ask(cx: &mut Cx<'_>, id: AskId, ask: &Ask) {
    let msg = CapacityMessage::Ask {
        ask: id,
        backend: ask.backend.clone(),
    };
    cx.send(&ask.owner, msg);
}
