//! Granting and ending leases on the slots of owned backend servers.

use super::{
    Owner,
    recall, //
};
use crate::{
    core::{
        capacity::{
            MIN_LEASE_TIME,
            SEQUENCE_BITS,
            SlotReport,
            lease_table::{
                Borrower,
                LeaseTable,
                LoanList,
                MAX_LOAN_TIME, //
            },
            message::{
                CapacityMessage,
                LeaseId, //
                LoanRequestId,
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

/// A loan that would be shorter than this is not granted.
const MIN_LOAN_TIME: Millis = Millis::from_secs(1);

impl Owner {
    /// Handles a loan request: lends a slot, queues the request or denies it.
    pub fn on_borrow(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        request_id: LoanRequestId,
        backend: &BackendId,
    ) {
        let borrower = Borrower {
            vm: from.clone(),
            request_id,
        };
        if self.lend(cx, &borrower, backend) {
            return;
        }
        let load = self.load_of(cx, backend);
        let table = self.tables.get_mut(backend).filter(|_| load.limit > 0);
        if let Some(table) = table
            && table.enqueue(cx.now, borrower)
        {
            // Borrowers return idle loans at once and the others when their
            // request ends.
            recall(cx, backend, table);
            return;
        }
        cx.send(from, CapacityMessage::Deny { request_id, load });
    }

    /// Handles the return of a loan and the reports of the requests that used
    /// it.
    pub fn on_return(&mut self, cx: &mut Cx<'_>, from: &VmId, id: LeaseId, reports: &[SlotReport]) {
        let is_ended = |(_, table): &mut (&BackendId, &mut LeaseTable)| table.end(id, Some(from));
        let Some((backend, _)) = self
            .tables
            .iter_mut()
            .find_map(|mut entry| is_ended(&mut entry).then_some(entry))
        else {
            return;
        };
        let backend = backend.clone();
        for report in reports {
            self.record(cx, &backend, report);
        }
        self.serve_queue(cx, &backend);
    }

    /// Handles the list of all loans that a run of another VM holds.
    pub fn on_loan_list(&mut self, now: Time, list: &LoanList<'_>) {
        for table in self.tables.values_mut() {
            table.reconcile(now, list);
        }
    }

    /// Grants a lease to this VM. Returns it with the time after which no
    /// request may start on it.
    pub fn grant_local(&mut self, cx: &Cx<'_>, backend: &BackendId) -> Option<(LeaseId, Time)> {
        let load = self.load_of(cx, backend);
        let until = self.ownership.lease_end(cx, backend, true)?;
        if load.leased >= load.limit || until < cx.now + MIN_LEASE_TIME {
            return None;
        }
        let id = self.next_lease_id(cx);
        let table = self.tables.get_mut(backend)?;
        table.grant(cx.now, id, None, until);
        Some((id, until))
    }

    /// Ends a lease of this VM and records how its request ended.
    pub fn end_local(
        &mut self,
        cx: &mut Cx<'_>,
        backend: &BackendId,
        id: LeaseId,
        report: SlotReport,
    ) {
        if let Some(table) = self.tables.get_mut(backend) {
            table.end(id, None);
        }
        self.record(cx, backend, &report);
        self.serve_queue(cx, backend);
    }

    /// Lends a slot of `backend` to `borrower`. Returns `false` if none is
    /// free.
    fn lend(&mut self, cx: &mut Cx<'_>, borrower: &Borrower, backend: &BackendId) -> bool {
        let Some((id, duration)) = self.grant_loan(cx, borrower, backend) else {
            return false;
        };
        let msg = CapacityMessage::Lend {
            request_id: borrower.request_id,
            id,
            duration,
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
        if let Some(lease) = self.tables.get(backend)?.lease_for(borrower) {
            return Some((lease.id, lease.until.since(lease.granted_at)));
        }
        let load = self.load_of(cx, backend);
        let end = self.ownership.lease_end(cx, backend, true)?;
        let until = end.min(cx.now + MAX_LOAN_TIME);
        let duration = until.since(cx.now);
        if load.leased >= load.limit || duration < MIN_LOAN_TIME {
            return None;
        }
        let id = self.next_lease_id(cx);
        let table = self.tables.get_mut(backend)?;
        table.grant(cx.now, id, Some(borrower.clone()), until);
        Some((id, duration))
    }

    /// Lends free slots to queued loan requests.
    pub(super) fn serve_queues(&mut self, cx: &mut Cx<'_>) {
        let queued = self.tables.iter().filter(|(_, t)| t.has_queue());
        let queued: Vec<_> = queued.map(|(id, _)| id.clone()).collect();
        for backend in queued {
            self.serve_queue(cx, &backend);
        }
    }

    fn serve_queue(&mut self, cx: &mut Cx<'_>, backend: &BackendId) {
        loop {
            let load = self.load_of(cx, backend);
            if load.leased >= load.limit {
                return;
            }
            let Some(borrower) = self.tables.get_mut(backend).and_then(LeaseTable::dequeue) else {
                return;
            };
            self.lend(cx, &borrower, backend);
        }
    }

    fn next_lease_id(&mut self, cx: &Cx<'_>) -> LeaseId {
        let first = cx.view.me.incarnation.0 << SEQUENCE_BITS;
        self.next_lease = self.next_lease.max(first) + 1;
        LeaseId(self.next_lease)
    }
}
