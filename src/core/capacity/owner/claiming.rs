//! Claiming and releasing the ownership of backend servers.

use super::{
    Owner,
    RELEASE_RETENTION,
    recall, //
};
use crate::core::{
    capacity::{
        concurrency_limit::ConcurrencyLimit,
        lease_table::LeaseTable,
        message::{
            Claim,
            ClaimState,
            RemainingTimes, //
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
    /// Releases the backend servers that this VM should no longer own, once no
    /// borrower can start a request on them.
    pub(super) fn release_due(&mut self, cx: &mut Cx<'_>) {
        let ids: Vec<_> = self.tables.keys().cloned().collect();
        for id in ids {
            let is_releasing = self.should_release(cx, &id);
            let Some(table) = self.tables.get_mut(&id) else {
                continue;
            };
            let was_releasing = table.is_releasing;
            table.is_releasing = is_releasing;
            if is_releasing && !was_releasing {
                recall(cx, &id, table);
            }
            if !is_releasing || table.may_start(cx.now) {
                continue;
            }
            if table.is_owned {
                table.is_owned = false;
                table.last_owned = Some(cx.now);
                cx.count(Counter::OwnershipReleased);
                cx.note(Notice::OwnershipReleased, id.as_str());
                self.released.insert(id.clone(), cx.now);
            }
            self.ownership.withdraw_claim(&cx.view.me.id, &id);
        }
        self.prune_tables(cx);
    }

    fn prune_tables(&mut self, cx: &Cx<'_>) {
        let now = cx.now;
        self.released
            .retain(|_, at| now.since(*at) < RELEASE_RETENTION);
        let released = &self.released;
        self.tables.retain(|id, table| {
            let is_announced = released.contains_key(id);
            !table.is_releasing || table.is_owned || !table.is_idle() || is_announced
        });
    }

    fn should_release(&self, cx: &Cx<'_>, id: &BackendId) -> bool {
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
        self.create_tables(cx);
        let mut claims = Vec::new();
        for (id, table) in &self.tables {
            let state = if table.is_owned {
                ClaimState::Owned
            } else if table.is_releasing {
                ClaimState::Released
            } else {
                ClaimState::Wanted
            };
            if state != ClaimState::Released {
                self.ownership.promise_self(cx, id);
            }
            claims.push(self.claim(cx, id, table, state));
        }
        let is_settled = claims.iter().all(|c| c.state != ClaimState::Wanted);
        let is_settled = is_settled && !self.tables.values().any(|t| t.is_owned && t.is_releasing);
        self.ownership.send_round(cx, &claims, is_settled);
    }

    /// Creates the lease tables of the backend servers that this VM should own.
    fn create_tables(&mut self, cx: &Cx<'_>) {
        if self.is_stopping || self.ownership.is_recovering(cx.now) {
            return;
        }
        let tables_built_for = Some((cx.view.version, cx.cfg.generation));
        if self.tables_built_for == tables_built_for {
            return;
        }
        self.tables_built_for = tables_built_for;
        let me = &cx.view.me;
        for backend in &cx.cfg.backends {
            if backend.data_centre != me.data_centre || self.tables.contains_key(&backend.name) {
                continue;
            }
            if self.preferred(cx, backend) == Some(&me.id) {
                let table = LeaseTable::new(ConcurrencyLimit::new(1, cx.now));
                self.tables.insert(backend.name.clone(), table);
            }
        }
    }

    fn claim(&self, cx: &Cx<'_>, id: &BackendId, table: &LeaseTable, state: ClaimState) -> Claim {
        let load = self.load_of(cx, id);
        let running: RemainingTimes = table.remaining_times(cx.now);
        let is_released = state == ClaimState::Released;
        Claim {
            backend: id.clone(),
            state,
            limit: if is_released {
                table.concurrency_limit.value()
            } else {
                load.limit
            },
            leased: load.leased,
            running,
        }
    }
}
