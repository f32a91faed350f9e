//! The owner's side: claims backend servers and grants leases on their slots.

use std::collections::BTreeMap;

use crate::{
    core::{
        capacity::{
            SlotReport,
            concurrency_limit::{
                ConcurrencyLimit,
                ResetCause, //
            },
            index::Index,
            lease_table::LeaseTable,
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

/// How long a released backend server is still announced in claims, in case
/// messages are lost.
const RELEASE_RETENTION: Millis = Millis::from_secs(3);

/// How long the last claims of a VM that sends no more are kept.
const CLAIM_RETENTION: Millis = Millis::from_secs(60);

/// The ownership of backend servers and the leases on their slots.
#[derive(Debug, Default)]
pub struct Owner {
    index: Index,
    ownership: Ownership,
    /// The versions of view and configuration for which tables were last
    /// created.
    tables_built_for: Option<(u64, Generation)>,
    next_lease: u64,
    tables: BTreeMap<BackendId, LeaseTable>,
    /// When recently released backend servers were released.
    released: BTreeMap<BackendId, Time>,
    is_stopping: bool,
}

impl Owner {
    /// Returns the backend servers that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = &BackendId> {
        self.tables
            .iter()
            .filter(|(_, t)| t.is_owned)
            .map(|(id, _)| id)
    }

    /// Updates the index to the configuration in force.
    pub fn update_index(&mut self, cx: &Cx<'_>) {
        self.index.update(cx.cfg);
    }

    /// Returns the index of the configuration in force.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Returns whether this VM owns `backend`.
    pub fn owns(&self, backend: &BackendId) -> bool {
        self.tables.get(backend).is_some_and(|t| t.is_owned)
    }

    /// Handles a change of the configuration. Recalls the loans of backend
    /// servers that accept no new work.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.update_index(cx);
        for (id, table) in &mut self.tables {
            let share = self
                .index
                .backend(cx.cfg, id)
                .map_or(0, |backend| cx.cfg.new_work_share(backend));
            if share == 0 {
                // It may be cold by the time it accepts work again.
                table.concurrency_limit.reset(cx.now);
                recall(cx, id, table);
            }
        }
        self.ownership.schedule_now(cx.now);
    }

    /// Starts to release all backend servers.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.is_stopping = true;
        self.ownership.schedule_now(cx.now);
        self.tick(cx);
    }

    /// Expires leases, serves queued loan requests and sends the round of
    /// claims that is due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.ownership.update_voters(cx);
        for table in self.tables.values_mut() {
            table.expire(cx.now);
        }
        self.update_ownership(cx);
        self.serve_queues(cx);
        if !self.ownership.is_round_due(cx.now) {
            return;
        }
        self.ownership.prune_claims(cx.now - CLAIM_RETENTION);
        self.release_due(cx);
        self.send_claims(cx);
        self.update_ownership(cx);
    }

    /// Handles the claims of another VM.
    pub fn on_claims(&mut self, cx: &mut Cx<'_>, from: &VmId, round: Round, claims: Vec<Claim>) {
        self.ownership.on_claims(cx, from, round, claims);
    }

    /// Handles a vote on the claims of this VM.
    pub fn on_vote(&mut self, cx: &mut Cx<'_>, from: &VmId, voter: Incarnation, vote: Vote) {
        self.ownership.on_vote(cx, from, voter, vote);
        self.update_ownership(cx);
    }

    /// Returns the load of `backend`. Its limit is zero if this VM is not the
    /// owner.
    pub fn load(&self, cx: &Cx<'_>, backend: &Backend) -> Load {
        let Some(table) = self.tables.get(&backend.name) else {
            return Load::default();
        };
        let inherited = self.ownership.inherited_runs(cx.now, &backend.name);
        table.load(cx.now, share_limit(cx, backend), inherited)
    }

    fn load_of(&self, cx: &Cx<'_>, backend: &BackendId) -> Load {
        let backend = self.index.backend(cx.cfg, backend);
        backend.map_or_else(Load::default, |b| self.load(cx, b))
    }

    fn record(&mut self, cx: &mut Cx<'_>, backend: &BackendId, report: &SlotReport) {
        let slots = self.index.backend(cx.cfg, backend).map_or(0, |b| b.slots);
        let Some(table) = self.tables.get_mut(backend) else {
            return;
        };
        let Some(cause) = table.concurrency_limit.record(cx.now, slots, report) else {
            return;
        };
        cx.count(reset_counter(cause));
        cx.note(Notice::BackendCold, format!("{backend}: {cause:?}"));
        recall(cx, backend, table);
        self.ownership.schedule_now(cx.now);
    }

    /// Updates which backend servers this VM owns from the promises it has.
    fn update_ownership(&mut self, cx: &mut Cx<'_>) {
        for (id, table) in &mut self.tables {
            let is_owned = self.ownership.lease_end(cx, id, table.is_owned).is_some();
            if is_owned == table.is_owned {
                continue;
            }
            table.is_owned = is_owned;
            self.ownership.schedule_now(cx.now);
            if is_owned {
                if let Some(limit) = self.ownership.limit_since(id, table.last_owned) {
                    table.concurrency_limit = ConcurrencyLimit::new(limit, cx.now);
                }
                cx.count(Counter::OwnershipGained);
                cx.note(Notice::OwnershipGained, id.as_str());
            } else {
                table.last_owned = Some(cx.now);
                cx.count(Counter::OwnershipLapsed);
                cx.note(Notice::OwnershipLapsed, id.as_str());
            }
        }
    }
}

/// Returns how many slots of `backend` may be used at its share of new work.
fn share_limit(cx: &Cx<'_>, backend: &Backend) -> u32 {
    let share = u32::from(cx.cfg.new_work_share(backend));
    (backend.slots * share).div_ceil(100)
}

fn recall(cx: &mut Cx<'_>, backend: &BackendId, table: &mut LeaseTable) {
    for vm in table.recall() {
        let backend = backend.clone();
        cx.send(&vm, CapacityMessage::Recall { backend });
    }
}

fn reset_counter(cause: ResetCause) -> Counter {
    match cause {
        ResetCause::Shed => Counter::AllowanceFellShed,
        ResetCause::Lost => Counter::AllowanceFellLost,
        ResetCause::Unreachable => Counter::AllowanceFellUnreachable,
        ResetCause::Slow => Counter::AllowanceFellSlow,
        ResetCause::Restarted => Counter::AllowanceFellRestarted,
    }
}
