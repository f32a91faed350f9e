//! The part of an owner: it claims backend servers and lends their slots.

use std::collections::BTreeMap;

use crate::{
    core::{
        capacity::{
            SlotReport,
            book::Book,
            concurrency_limit::{
                ConcurrencyLimit,
                Fall, //
            },
            index::Index,
            message::{
                CapacityMessage,
                Claim,
                Load, //
            },
            ownership::{
                Ownership,
                Round,
                Vote, //
            }, //
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
        notice::Notice, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

mod claiming;
mod lending;

/// How long a backend server that was given up is still named in claims, so
/// that lost messages do no harm.
const RELEASED_TIME: Millis = Millis::from_secs(3);

/// How long the claims of a VM are remembered.
const CLAIMS_MEMORY: Millis = Millis::from_secs(60);

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

    fn report(&mut self, cx: &mut Cx<'_>, backend: &BackendId, report: &SlotReport) {
        let slots = self.index.backend(cx.cfg, backend).map_or(0, |b| b.slots);
        let Some(book) = self.books.get_mut(backend) else {
            return;
        };
        let Some(fall) = book.allowance.report(cx.now, slots, report) else {
            return;
        };
        cx.count(fall_counter(fall));
        cx.note(Notice::BackendCold, format!("{backend}: {fall:?}"));
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
                    book.allowance = ConcurrencyLimit::new(open, cx.now);
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
