//! Leases on the slots of owned backend servers.

use super::{
    Owner,
    recall, //
};
use crate::{
    core::{
        capacity::{
            MIN_REMAINING,
            RUN_BITS,
            SlotReport,
            book::{
                Book,
                Borrower,
                Holding,
                LOAN_SPAN, //
            },
            message::{
                AskId,
                CapacityMessage,
                LeaseId, //
            }, //
        },
        cx::Cx,
        names::{
            BackendId,
            VmId, //
        }, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// A loan that would be shorter is not granted.
const MIN_LOAN_SPAN: Millis = Millis::from_secs(1);

impl Owner {
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
    pub(super) fn serve_queues(&mut self, cx: &mut Cx<'_>) {
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
}
