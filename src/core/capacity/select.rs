//! Selects the backend server of a request and acquires a slot of it.

use rand::Rng;
use smallvec::SmallVec;

use crate::{
    core::{
        capacity::{
            AcquireError,
            CLOCK_SKEW,
            Capacity,
            RemoteBackend,
            Slot,
            SlotId,
            Source,
            loans::LoanKey,
            message::Load,
            ownership::preferred_owner, //
        },
        configuration::Backend,
        counter::Counter,
        cx::Cx,
        membership::MemberState,
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

/// Maximum age of a load report from another VM. An older one is refreshed
/// before a request is refused.
const MAX_LOAD_AGE: Millis = Millis(300);

/// No loan is requested from an owner that has not reported its load for this
/// long.
const MAX_OWNER_AGE: Millis = Millis::from_secs(2);

/// The maximum number of requests of one service that wait for a slot.
const MAX_WAITING: u32 = 16;

/// How much higher, as a fraction of its slots, the utilization of a locally
/// owned backend server may be than that of a remote one and still be preferred,
/// as it needs no loan.
const LOCAL_PREFERENCE: f64 = 0.1;

/// The backend servers that a request may be sent to.
type Eligible<'a> = SmallVec<[&'a Backend; 16]>;

/// Whether this VM or another one owns a backend server.
#[derive(Clone, Debug)]
enum Origin {
    Local,
    Remote(VmId),
}

#[derive(Clone, Debug)]
struct Candidate<'a> {
    backend: &'a Backend,
    origin: Origin,
    utilization: f64,
}

impl Capacity {
    /// Acquires a slot of a backend server of `service` that is not among
    /// `tried`.
    ///
    /// # Errors
    ///
    /// Fails if no slot is available now. On [`AcquireError::Pending`] one may
    /// become available.
    pub fn acquire(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        tried: &[BackendId],
    ) -> Result<Slot, AcquireError> {
        if self.should_fail_fast(service) {
            return Err(AcquireError::Pending);
        }
        let cfg = cx.cfg;
        self.owner.update_index(cx);
        let eligible: Eligible<'_> = self
            .owner
            .index()
            .backends_of(cfg, service)
            .filter(|b| cfg.new_work_share(b) > 0 && !tried.contains(&b.name))
            .collect();
        if eligible.is_empty() {
            cx.count(Counter::SlotRefusedNoBackend);
            return Err(AcquireError::NoBackend);
        }
        if let Some(key) = self.best_loan(cx, &eligible) {
            return Ok(self.use_loan(cx, key));
        }
        let best = self.best_candidate(cx, &eligible);
        if let Some(Candidate {
            backend,
            origin: Origin::Local,
            ..
        }) = best
            && let Some(slot) = self.use_local(cx, backend)
        {
            return Ok(slot);
        }
        if best.is_none() && tried.is_empty() {
            let waiting = self.waiting.entry(service.clone()).or_default();
            waiting.is_exhausted = true;
        }
        Err(self.request_loans(cx, service, &eligible))
    }

    fn best_loan(&self, cx: &mut Cx<'_>, eligible: &Eligible<'_>) -> Option<LoanKey> {
        let mut best: Option<(f64, LoanKey)> = None;
        for (key, loan) in self.loans.usable(cx.now) {
            let Some(backend) = eligible.iter().find(|b| b.name == loan.backend) else {
                continue;
            };
            let load = self.remote_backends.get(&loan.backend).map(|r| r.load);
            let utilization = utilization(load.unwrap_or_default(), backend);
            if best
                .as_ref()
                .is_none_or(|(lowest, _)| utilization < *lowest)
            {
                best = Some((utilization, key.clone()));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the backend server with a free slot and the lowest utilization.
    /// Ties are broken at random.
    fn best_candidate<'a>(
        &self,
        cx: &mut Cx<'_>,
        eligible: &Eligible<'a>,
    ) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        let mut ties = 0;
        for backend in eligible {
            let Some(candidate) = self.candidate(cx, backend) else {
                continue;
            };
            let lowest = best.as_ref().map_or(f64::INFINITY, |b| b.utilization);
            if candidate.utilization > lowest {
                continue;
            }
            ties = if candidate.utilization < lowest {
                1
            } else {
                ties + 1
            };
            if cx.rng.random_range(0..ties) == 0 {
                best = Some(candidate);
            }
        }
        best
    }

    fn candidate<'a>(&self, cx: &Cx<'_>, backend: &'a Backend) -> Option<Candidate<'a>> {
        let local = self.owner.load(cx, backend);
        if local.leased < local.limit {
            return Some(Candidate {
                backend,
                origin: Origin::Local,
                utilization: utilization(local, backend) - LOCAL_PREFERENCE,
            });
        }
        let remote = self.live_remote(cx, &backend.name)?;
        let mut load = remote.load;
        load.leased += self.loans.pending_for_backend(&backend.name);
        (load.leased < load.limit).then(|| Candidate {
            backend,
            origin: Origin::Remote(remote.owner.clone()),
            utilization: utilization(load, backend),
        })
    }

    fn use_loan(&mut self, cx: &Cx<'_>, key: LoanKey) -> Slot {
        self.loans.start(cx.now, &key);
        let loan = self.loans.get(&key);
        let (backend, until) = match loan {
            Some(loan) => (loan.backend.clone(), loan.until),
            None => (BackendId::new(""), cx.now),
        };
        self.slot(cx, &backend, until, Source::Loan(key))
    }

    fn use_local(&mut self, cx: &Cx<'_>, backend: &Backend) -> Option<Slot> {
        let (id, until) = self.owner.grant_local(cx, &backend.name)?;
        Some(self.slot(cx, &backend.name, until, Source::Local(id)))
    }

    fn slot(&mut self, cx: &Cx<'_>, backend: &BackendId, until: Time, source: Source) -> Slot {
        self.next_slot += 1;
        let id = SlotId(self.next_slot);
        self.in_use.insert(id, source);
        Slot {
            id,
            backend: backend.clone(),
            until: cx.wall + until.since(cx.now) - CLOCK_SKEW,
        }
    }

    /// Requests loans from other VMs until there is one for each waiting
    /// request. Returns the error of the acquisition.
    fn request_loans(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        eligible: &Eligible<'_>,
    ) -> AcquireError {
        let (counted, waiting) = self.count_waiting(service);
        if counted > MAX_WAITING {
            cx.count(Counter::SlotRefusedBusy);
            return AcquireError::Busy;
        }
        while self.loans.pending_for_service(service) < waiting {
            let Some((backend, owner)) = self.loan_target(cx, eligible) else {
                break;
            };
            cx.count(Counter::SlotAsked);
            self.loans.request(cx, service, backend, &owner);
        }
        let has_owner = |b: &&Backend| self.has_owner(cx, &b.name);
        if self.loans.pending_for_service(service) > 0 || !eligible.iter().any(has_owner) {
            return AcquireError::Pending;
        }
        cx.count(Counter::SlotRefusedBusy);
        AcquireError::Busy
    }

    /// Returns the backend server to request the next loan of, and its owner.
    fn loan_target<'a>(
        &self,
        cx: &mut Cx<'_>,
        eligible: &Eligible<'a>,
    ) -> Option<(&'a BackendId, VmId)> {
        let best = self.best_candidate(cx, eligible);
        if let Some(Candidate {
            backend,
            origin: Origin::Remote(owner),
            ..
        }) = best
        {
            return Some((&backend.name, owner));
        }
        self.stalest(cx, eligible)
            .or_else(|| self.shortest_queue(cx, eligible))
    }

    /// Returns the remote backend server with the oldest load report, if the
    /// report is older than [`MAX_LOAD_AGE`] and no loan request is pending.
    fn stalest<'a>(&self, cx: &Cx<'_>, eligible: &Eligible<'a>) -> Option<(&'a BackendId, VmId)> {
        let mut stalest: Option<(Time, &BackendId, VmId)> = None;
        for backend in eligible {
            let Some((at, owner)) = self.refresh_target(cx, backend) else {
                continue;
            };
            let is_fresh = cx.now.since(at) < MAX_LOAD_AGE;
            let is_pending = self.loans.pending_for_backend(&backend.name) > 0;
            if owner == cx.view.me.id || is_fresh || is_pending {
                continue;
            }
            if stalest.as_ref().is_none_or(|(oldest, _, _)| at < *oldest) {
                stalest = Some((at, &backend.name, owner));
            }
        }
        stalest.map(|(_, backend, owner)| (backend, owner))
    }

    /// Returns the remote backend server with the fewest pending loan requests,
    /// except those that recently denied one.
    fn shortest_queue<'a>(
        &self,
        cx: &mut Cx<'_>,
        eligible: &Eligible<'a>,
    ) -> Option<(&'a BackendId, VmId)> {
        let mut shortest: Option<(u32, u32, &RemoteBackend, &'a BackendId)> = None;
        for backend in eligible {
            let Some(remote) = self.live_remote(cx, &backend.name) else {
                continue;
            };
            if remote.load.limit == 0 || remote.was_denied_recently(cx.now) {
                continue;
            }
            let pending = self.loans.pending_for_backend(&backend.name);
            let key = (pending, cx.rng.random::<u32>());
            if shortest.is_none_or(|(p, tie, ..)| key < (p, tie)) {
                shortest = Some((key.0, key.1, remote, &backend.name));
            }
        }
        shortest.map(|(_, _, remote, backend)| (backend, remote.owner.clone()))
    }

    /// Returns the presumed owner of `backend` and when it last reported or
    /// denied.
    fn refresh_target(&self, cx: &Cx<'_>, backend: &Backend) -> Option<(Time, VmId)> {
        if let Some(remote) = self.live_remote(cx, &backend.name) {
            return Some((remote.updated_at, remote.owner.clone()));
        }
        let owner = preferred_owner(cx.view, &backend.data_centre, &backend.name)?;
        let denied_at = self
            .remote_backends
            .get(&backend.name)
            .and_then(|r| r.denied_at);
        Some((denied_at.unwrap_or_default(), owner.clone()))
    }

    /// Returns the state of `backend` if another VM owns it that reported
    /// recently and is not suspect.
    fn live_remote(&self, cx: &Cx<'_>, backend: &BackendId) -> Option<&RemoteBackend> {
        let remote = self.remote_backends.get(backend)?;
        let is_recent = cx.now.since(remote.updated_at) < MAX_OWNER_AGE;
        let member = cx.view.member(&remote.owner)?;
        let is_live = member.state != MemberState::Suspect;
        (is_recent && is_live && member.vm.id != cx.view.me.id).then_some(remote)
    }

    /// Returns whether any VM is known to own `backend`. If no backend server
    /// has a known owner, as after a restart of all VMs, requests wait rather
    /// than fail.
    pub(super) fn has_owner(&self, cx: &Cx<'_>, backend: &BackendId) -> bool {
        self.owner.owns(backend) || self.live_remote(cx, backend).is_some()
    }

    /// Returns whether no slot has become free since the last event and enough
    /// loans are pending already. Counts the failed acquisition if so.
    fn should_fail_fast(&mut self, service: &ServiceId) -> bool {
        let pending = self.loans.pending_for_service(service);
        let Some(waiting) = self.waiting.get_mut(service) else {
            return false;
        };
        let needed = waiting.expected.min(MAX_WAITING).max(waiting.count + 1);
        let should_fail_fast = waiting.is_exhausted && needed <= pending;
        waiting.count += u32::from(should_fail_fast);
        should_fail_fast
    }

    /// Counts a failed acquisition. Returns the number of failures since the
    /// last event and the number of loans needed.
    fn count_waiting(&mut self, service: &ServiceId) -> (u32, u32) {
        let waiting = self.waiting.entry(service.clone()).or_default();
        waiting.count += 1;
        let needed = waiting.count.max(waiting.expected).min(MAX_WAITING);
        (waiting.count, needed)
    }
}

fn utilization(load: Load, backend: &Backend) -> f64 {
    f64::from(load.leased) / f64::from(backend.slots.max(1))
}
