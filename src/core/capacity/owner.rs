//! The part of an owner: it claims backend servers and lends their slots.

use std::collections::BTreeMap;

use crate::{
    core::{
        capacity::{
            MIN_REMAINING, RUN_BITS, SlotReport,
            allowance::{
                Allowance,
                Fall, //
            },
            book::{
                Book,
                Borrower,
                Holding,
                LOAN_SPAN, //
            },
            index::Index,
            message::{
                AskId,
                CapacityMessage,
                Claim,
                ClaimState,
                LeaseId,
                Load,
                RunBounds, //
            },
            ownership::{
                Ownership,
                Round,
                Vote,
                preferred_owner, //
            },
        },
        configuration::Backend,
        counter::Counter,
        cx::Cx,
        names::{
            BackendId,
            Generation,
            Incarnation,
            VmId, //
        },
        notice::Notice,
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long a backend server that was given up is still named in claims, so
/// that lost messages do no harm.
const RELEASED_TIME: Millis = Millis::from_secs(3);

/// How long the claims of a VM are remembered.
const CLAIMS_MEMORY: Millis = Millis::from_secs(60);

/// A loan that would be shorter is not granted.
const MIN_LOAN_SPAN: Millis = Millis::from_secs(1);

/// The part of an owner.
#[derive(Debug, Default)]
pub struct Owner {
    index: Index,
    ownership: Ownership,
    /// The view and the configuration by which books were last opened.
    opened_by: Option<(u64, Generation)>,
    next_lease: u64,
    books: BTreeMap<BackendId, Book>,
    /// When backend servers were given up.
    released: BTreeMap<BackendId, Time>,
    is_stopping: bool,
}

impl Owner {
    /// Returns the backend servers that this VM owns.
    pub fn held(&self) -> impl Iterator<Item = &BackendId> {
        self.books
            .iter()
            .filter(|(_, b)| b.is_held)
            .map(|(id, _)| id)
    }

    /// Follows the configuration in force.
    pub fn follow(&mut self, cx: &Cx<'_>) {
        self.index.follow(cx.cfg);
    }

    /// Returns the index of the configuration in force.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Tells whether this VM owns `backend`.
    pub fn owns(&self, backend: &BackendId) -> bool {
        self.books.get(backend).is_some_and(|b| b.is_held)
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.follow(cx);
        for (id, book) in &mut self.books {
            let share = self
                .index
                .backend(cx.cfg, id)
                .map_or(0, |backend| cx.cfg.new_work_share(backend));
            if share == 0 {
                // It may have become cold by the time it takes work again.
                book.allowance.reset(cx.now);
                recall(cx, id, book);
            }
        }
        self.ownership.hurry(cx.now);
    }

    /// Gives up all backend servers.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.is_stopping = true;
        self.ownership.hurry(cx.now);
        self.tick(cx);
    }

    /// Renews, gains and gives up ownership.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.ownership.on_time(cx);
        for book in self.books.values_mut() {
            book.expire(cx.now);
        }
        self.follow_leases(cx);
        self.serve_queues(cx);
        if !self.ownership.is_round_due(cx.now) {
            return;
        }
        self.ownership.forget_before(cx.now - CLAIMS_MEMORY);
        self.release_where_due(cx);
        self.send_claims(cx);
        self.follow_leases(cx);
    }

    /// Takes in the claims of another VM.
    pub fn on_claims(&mut self, cx: &mut Cx<'_>, from: &VmId, round: Round, claims: Vec<Claim>) {
        self.ownership.on_claims(cx, from, round, claims);
    }

    /// Takes in a vote.
    pub fn on_vote(&mut self, cx: &mut Cx<'_>, from: &VmId, voter: Incarnation, vote: Vote) {
        self.ownership.on_vote(cx, from, voter, vote);
        self.follow_leases(cx);
    }

    /// Takes in that another VM asks for a slot.
    pub fn on_ask(&mut self, cx: &mut Cx<'_>, from: &VmId, ask: AskId, backend: &BackendId) {
        let borrower = Borrower {
            vm: from.clone(),
            ask,
        };
        if self.lend(cx, &borrower, backend) {
            return;
        }
        let load = self.load_of(cx, backend);
        let book = self.books.get_mut(backend).filter(|_| load.open > 0);
        if let Some(book) = book
            && book.enqueue(cx.now, borrower)
        {
            // Idle loans come back at once, the others after their request.
            recall(cx, backend, book);
            return;
        }
        cx.send(from, CapacityMessage::Deny { ask, load });
    }

    /// Takes in that a loan has been returned.
    pub fn on_return(&mut self, cx: &mut Cx<'_>, from: &VmId, id: LeaseId, reports: &[SlotReport]) {
        let ended = |(_, book): &mut (&BackendId, &mut Book)| book.end(id, Some(from));
        let Some((backend, _)) = self
            .books
            .iter_mut()
            .find_map(|mut entry| ended(&mut entry).then_some(entry))
        else {
            return;
        };
        let backend = backend.clone();
        for report in reports {
            self.report(cx, &backend, report);
        }
        self.serve_queue(cx, &backend);
    }

    /// Takes in the list of all loans that another VM holds.
    pub fn on_holding(&mut self, now: Time, held: &Holding<'_>) {
        for book in self.books.values_mut() {
            book.reconcile(now, held);
        }
    }

    /// Returns the load of `backend`. Nothing is open if this VM does not own
    /// it.
    pub fn load(&self, cx: &Cx<'_>, backend: &Backend) -> Load {
        let Some(book) = self.books.get(&backend.name) else {
            return Load::default();
        };
        let foreign = self.ownership.foreign_runs(cx.now, &backend.name);
        book.load(cx.now, open_slots(cx, backend), foreign)
    }

    fn load_of(&self, cx: &Cx<'_>, backend: &BackendId) -> Load {
        let backend = self.index.backend(cx.cfg, backend);
        backend.map_or_else(Load::default, |b| self.load(cx, b))
    }

    /// Grants this VM itself a lease. Returns it with the end of the right to
    /// start a request.
    pub fn grant_own(&mut self, cx: &Cx<'_>, backend: &BackendId) -> Option<(LeaseId, Time)> {
        let load = self.load_of(cx, backend);
        let until = self.ownership.lease_end(cx, backend, true)?;
        if load.leased >= load.open || until < cx.now + MIN_REMAINING {
            return None;
        }
        let id = self.next_lease_id(cx);
        let book = self.books.get_mut(backend)?;
        book.grant(cx.now, id, None, until);
        Some((id, until))
    }

    /// Ends a lease of this VM itself.
    pub fn end_own(
        &mut self,
        cx: &mut Cx<'_>,
        backend: &BackendId,
        id: LeaseId,
        report: SlotReport,
    ) {
        if let Some(book) = self.books.get_mut(backend) {
            book.end(id, None);
        }
        self.report(cx, backend, &report);
        self.serve_queue(cx, backend);
    }

    /// Lends `borrower` a slot of `backend`. Returns whether one was free.
    fn lend(&mut self, cx: &mut Cx<'_>, borrower: &Borrower, backend: &BackendId) -> bool {
        let Some((id, span)) = self.grant_loan(cx, borrower, backend) else {
            return false;
        };
        let msg = CapacityMessage::Lend {
            ask: borrower.ask,
            id,
            span,
            load: self.load_of(cx, backend),
        };
        cx.send(&borrower.vm, msg);
        true
    }

    fn grant_loan(
        &mut self,
        cx: &Cx<'_>,
        borrower: &Borrower,
        backend: &BackendId,
    ) -> Option<(LeaseId, Millis)> {
        if let Some(lease) = self.books.get(backend)?.lease_for(borrower) {
            return Some((lease.id, lease.until.since(lease.granted)));
        }
        let load = self.load_of(cx, backend);
        let end = self.ownership.lease_end(cx, backend, true)?;
        let until = end.min(cx.now + LOAN_SPAN);
        let span = until.since(cx.now);
        if load.leased >= load.open || span < MIN_LOAN_SPAN {
            return None;
        }
        let id = self.next_lease_id(cx);
        let book = self.books.get_mut(backend)?;
        book.grant(cx.now, id, Some(borrower.clone()), until);
        Some((id, span))
    }

    /// Lends free slots to the asks that wait for them.
    fn serve_queues(&mut self, cx: &mut Cx<'_>) {
        let waited_for = self.books.iter().filter(|(_, b)| b.has_queue());
        let waited_for: Vec<_> = waited_for.map(|(id, _)| id.clone()).collect();
        for backend in waited_for {
            self.serve_queue(cx, &backend);
        }
    }

    fn serve_queue(&mut self, cx: &mut Cx<'_>, backend: &BackendId) {
        loop {
            let load = self.load_of(cx, backend);
            if load.leased >= load.open {
                return;
            }
            let Some(borrower) = self.books.get_mut(backend).and_then(Book::dequeue) else {
                return;
            };
            self.lend(cx, &borrower, backend);
        }
    }

    fn next_lease_id(&mut self, cx: &Cx<'_>) -> LeaseId {
        let first = cx.view.me.incarnation.0 << RUN_BITS;
        self.next_lease = self.next_lease.max(first) + 1;
        LeaseId(self.next_lease)
    }

    fn report(&mut self, cx: &mut Cx<'_>, backend: &BackendId, report: &SlotReport) {
        let slots = self.index.backend(cx.cfg, backend).map_or(0, |b| b.slots);
        let Some(book) = self.books.get_mut(backend) else {
            return;
        };
        let Some(fall) = book.allowance.report(cx.now, slots, report) else {
            return;
        };
        cx.count(fall_counter(fall));
        cx.note(Notice::BackendFell, format!("{backend}: {fall:?}"));
        recall(cx, backend, book);
        self.ownership.hurry(cx.now);
    }

    /// Notes which leases on ownership have begun or ended.
    fn follow_leases(&mut self, cx: &mut Cx<'_>) {
        for (id, book) in &mut self.books {
            let is_held = self.ownership.lease_end(cx, id, book.is_held).is_some();
            if is_held == book.is_held {
                continue;
            }
            book.is_held = is_held;
            self.ownership.hurry(cx.now);
            if is_held {
                if let Some(open) = self.ownership.allowance_since(id, book.last_held) {
                    book.allowance = Allowance::open(open, cx.now);
                }
                cx.count(Counter::OwnershipGained);
                cx.note(Notice::OwnershipGained, id.as_str());
            } else {
                book.last_held = Some(cx.now);
                cx.count(Counter::OwnershipLapsed);
                cx.note(Notice::OwnershipLapsed, id.as_str());
            }
        }
    }

    /// Gives up what another VM should own and can own.
    fn release_where_due(&mut self, cx: &mut Cx<'_>) {
        let ids: Vec<_> = self.books.keys().cloned().collect();
        for id in ids {
            let is_over = self.is_to_be_released(cx, &id);
            let Some(book) = self.books.get_mut(&id) else {
                continue;
            };
            let was_releasing = book.is_releasing;
            book.is_releasing = is_over;
            if is_over && !was_releasing {
                recall(cx, &id, book);
            }
            if !is_over || book.may_start(cx.now) {
                continue;
            }
            if book.is_held {
                book.is_held = false;
                book.last_held = Some(cx.now);
                cx.count(Counter::OwnershipReleased);
                cx.note(Notice::OwnershipReleased, id.as_str());
                self.released.insert(id.clone(), cx.now);
            }
            self.ownership.give_up(&cx.view.me.id, &id);
        }
        self.drop_old_books(cx);
    }

    fn drop_old_books(&mut self, cx: &Cx<'_>) {
        let now = cx.now;
        self.released.retain(|_, at| now.since(*at) < RELEASED_TIME);
        let released = &self.released;
        self.books.retain(|id, book| {
            let is_named = released.contains_key(id);
            !book.is_releasing || book.is_held || !book.is_idle() || is_named
        });
    }

    fn is_to_be_released(&self, cx: &Cx<'_>, id: &BackendId) -> bool {
        let Some(backend) = self.index.backend(cx.cfg, id) else {
            return true;
        };
        let me = &cx.view.me.id;
        let preferred = self.preferred(cx, backend);
        if self.is_stopping || preferred.is_none() {
            return true;
        }
        preferred
            .filter(|vm| *vm != me)
            .is_some_and(|vm| self.ownership.is_claimed_by(cx.view, vm, id))
    }

    fn preferred<'a>(&self, cx: &Cx<'a>, backend: &Backend) -> Option<&'a VmId> {
        preferred_owner(cx.view, &backend.data_centre, &backend.name)
    }

    fn send_claims(&mut self, cx: &mut Cx<'_>) {
        self.open_books(cx);
        let mut claims = Vec::new();
        for (id, book) in &self.books {
            let state = if book.is_held {
                ClaimState::Held
            } else if book.is_releasing {
                ClaimState::Released
            } else {
                ClaimState::Wanted
            };
            if state != ClaimState::Released {
                self.ownership.promise_self(cx, id);
            }
            claims.push(self.claim(cx, id, book, state));
        }
        let is_settled = claims.iter().all(|c| c.state != ClaimState::Wanted);
        let is_settled = is_settled && !self.books.values().any(|b| b.is_held && b.is_releasing);
        self.ownership.send_round(cx, &claims, is_settled);
    }

    /// Opens the books of the backend servers that this VM should own.
    fn open_books(&mut self, cx: &Cx<'_>) {
        if self.is_stopping || self.ownership.is_recovering(cx.now) {
            return;
        }
        let opened_by = Some((cx.view.version, cx.cfg.generation));
        if self.opened_by == opened_by {
            return;
        }
        self.opened_by = opened_by;
        let me = &cx.view.me;
        for backend in &cx.cfg.backends {
            if backend.data_centre != me.data_centre || self.books.contains_key(&backend.name) {
                continue;
            }
            if self.preferred(cx, backend) == Some(&me.id) {
                let book = Book::open(Allowance::open(1, cx.now));
                self.books.insert(backend.name.clone(), book);
            }
        }
    }

    fn claim(&self, cx: &Cx<'_>, id: &BackendId, book: &Book, state: ClaimState) -> Claim {
        let load = self.load_of(cx, id);
        let running: RunBounds = book.run_bounds(cx.now);
        let is_released = state == ClaimState::Released;
        Claim {
            backend: id.clone(),
            state,
            open: if is_released {
                book.allowance.known()
            } else {
                load.open
            },
            leased: load.leased,
            running,
        }
    }
}

/// Returns how many slots of `backend` its share of new work opens.
fn open_slots(cx: &Cx<'_>, backend: &Backend) -> u32 {
    let share = u32::from(cx.cfg.new_work_share(backend));
    (backend.slots * share).div_ceil(100)
}

fn recall(cx: &mut Cx<'_>, backend: &BackendId, book: &mut Book) {
    for vm in book.recall() {
        let backend = backend.clone();
        cx.send(&vm, CapacityMessage::Recall { backend });
    }
}

fn fall_counter(fall: Fall) -> Counter {
    match fall {
        Fall::Shed => Counter::AllowanceFellShed,
        Fall::Lost => Counter::AllowanceFellLost,
        Fall::Unreachable => Counter::AllowanceFellUnreachable,
        Fall::Slow => Counter::AllowanceFellSlow,
        Fall::Restarted => Counter::AllowanceFellRestarted,
    }
}
