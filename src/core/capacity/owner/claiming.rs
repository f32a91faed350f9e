//! Which backend servers an owner claims, and which it gives up.

use super::{
    Owner,
    RELEASED_TIME,
    recall, //
};
use crate::core::{
    capacity::{
        book::Book,
        concurrency_limit::ConcurrencyLimit,
        message::{
            Claim,
            ClaimState,
            RunBounds, //
        },
        ownership::preferred_owner, //
    },
    configuration::Backend,
    counter::Counter,
    cx::Cx,
    names::{
        BackendId,
        VmId, //
    },
    notice::Notice, //
};

impl Owner {
    /// Gives up what another VM should own and can own.
    pub(super) fn release_where_due(&mut self, cx: &mut Cx<'_>) {
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

    pub(super) fn send_claims(&mut self, cx: &mut Cx<'_>) {
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
                let book = Book::open(ConcurrencyLimit::new(1, cx.now));
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
