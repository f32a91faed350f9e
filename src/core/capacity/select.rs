//! Choosing the backend server of a request.

use rand::Rng;
use smallvec::SmallVec;

use crate::{
    core::{
        capacity::{
            AcquireError,
            CLOCK_SKEW,
            Capacity,
            Known,
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

/// Knowledge of another VM's load that is older than this is refreshed before
/// a request is refused.
const KNOWLEDGE_AGE: Millis = Millis(300);

/// An owner that was not heard of for this long is no longer asked.
const OWNER_AGE: Millis = Millis::from_secs(2);

/// How many requests of one service may wait for a slot.
const MAX_WAITING: u32 = 16;

/// How much fuller, as a fraction of its slots, an own backend server may be
/// than another VM's and still be used without asking.
const OWN_TOLERANCE: f64 = 0.1;

/// The backend servers that a request may use.
type Eligible<'a> = SmallVec<[&'a Backend; 16]>;

/// Where a slot could come from.
#[derive(Clone, Debug)]
enum Origin {
    Own,
    Remote(VmId),
}

#[derive(Clone, Debug)]
struct Candidate<'a> {
    backend: &'a Backend,
    from: Origin,
    fullness: f64,
}

impl Capacity {
    /// Acquires a slot of a backend server of `service` that is not among
    /// `tried`.
    ///
    /// # Errors
    ///
    /// Fails if no slot is free; [`AcquireError::Pending`] means that a loan has
    /// been requested.
    pub fn acquire(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        tried: &[BackendId],
    ) -> Result<Slot, AcquireError> {
        if self.is_turned_away(service) {
            return Err(AcquireError::Pending);
        }
        let cfg = cx.cfg;
        self.owner.follow(cx);
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
            from: Origin::Own,
            ..
        }) = best
            && let Some(slot) = self.use_own(cx, backend)
        {
            return Ok(slot);
        }
        if best.is_none() && tried.is_empty() {
            let waiting = self.waiting.entry(service.clone()).or_default();
            waiting.is_exhausted = true;
        }
        Err(self.ask_for_slots(cx, service, &eligible))
    }

    fn best_loan(&self, cx: &mut Cx<'_>, eligible: &Eligible<'_>) -> Option<LoanKey> {
        let mut best: Option<(f64, LoanKey)> = None;
        for (key, loan) in self.loans.usable(cx.now) {
            let Some(backend) = eligible.iter().find(|b| b.name == loan.backend) else {
                continue;
            };
            let load = self.known.get(&loan.backend).map(|k| k.load);
            let fullness = fullness(load.unwrap_or_default(), backend);
            if best.as_ref().is_none_or(|(least, _)| fullness < *least) {
                best = Some((fullness, key.clone()));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the least full backend server with a free slot; of equal ones a
    /// random one.
    fn best_candidate<'a>(
        &self,
        cx: &mut Cx<'_>,
        eligible: &Eligible<'a>,
    ) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        let mut equals = 0;
        for backend in eligible {
            let Some(candidate) = self.candidate(cx, backend) else {
                continue;
            };
            let least = best.as_ref().map_or(f64::INFINITY, |b| b.fullness);
            if candidate.fullness > least {
                continue;
            }
            equals = if candidate.fullness < least {
                1
            } else {
                equals + 1
            };
            if cx.rng.random_range(0..equals) == 0 {
                best = Some(candidate);
            }
        }
        best
    }

    fn candidate<'a>(&self, cx: &Cx<'_>, backend: &'a Backend) -> Option<Candidate<'a>> {
        let own = self.owner.load(cx, backend);
        if own.leased < own.open {
            return Some(Candidate {
                backend,
                from: Origin::Own,
                fullness: fullness(own, backend) - OWN_TOLERANCE,
            });
        }
        let known = self.known_owner(cx, &backend.name)?;
        let mut load = known.load;
        load.leased += self.loans.pending_at(&backend.name);
        (load.leased < load.open).then(|| Candidate {
            backend,
            from: Origin::Remote(known.owner.clone()),
            fullness: fullness(load, backend),
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

    fn use_own(&mut self, cx: &Cx<'_>, backend: &Backend) -> Option<Slot> {
        let (id, until) = self.owner.grant_own(cx, &backend.name)?;
        Some(self.slot(cx, &backend.name, until, Source::Own(id)))
    }

    fn slot(&mut self, cx: &Cx<'_>, backend: &BackendId, until: Time, source: Source) -> Slot {
        self.next_slot += 1;
        let id = SlotId(self.next_slot);
        self.used.insert(id, source);
        Slot {
            id,
            backend: backend.clone(),
            until: cx.wall + until.since(cx.now) - CLOCK_SKEW,
        }
    }

    /// Asks the other VMs for a slot for each request that waits.
    fn ask_for_slots(
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
        while self.loans.pending(service) < waiting {
            let Some((backend, owner)) = self.ask_target(cx, eligible) else {
                break;
            };
            cx.count(Counter::SlotAsked);
            self.loans.ask(cx, service, backend, &owner);
        }
        let has_owner = |b: &&Backend| self.has_owner(cx, &b.name);
        if self.loans.pending(service) > 0 || !eligible.iter().any(has_owner) {
            return AcquireError::Pending;
        }
        cx.count(Counter::SlotRefusedBusy);
        AcquireError::Busy
    }

    /// Returns the backend server to ask for a slot next, and its owner.
    fn ask_target<'a>(
        &self,
        cx: &mut Cx<'_>,
        eligible: &Eligible<'a>,
    ) -> Option<(&'a BackendId, VmId)> {
        let best = self.best_candidate(cx, eligible);
        if let Some(Candidate {
            backend,
            from: Origin::Remote(owner),
            ..
        }) = best
        {
            return Some((&backend.name, owner));
        }
        self.stalest(cx, eligible)
            .or_else(|| self.shortest_queue(cx, eligible))
    }

    /// Returns the backend server of another VM whose load was learnt longest
    /// ago, if that is worth refreshing.
    fn stalest<'a>(&self, cx: &Cx<'_>, eligible: &Eligible<'a>) -> Option<(&'a BackendId, VmId)> {
        let mut stalest: Option<(Time, &BackendId, VmId)> = None;
        for backend in eligible {
            let Some((at, owner)) = self.owner_of(cx, backend) else {
                continue;
            };
            let is_fresh = cx.now.since(at) < KNOWLEDGE_AGE;
            let is_asked = self.loans.pending_at(&backend.name) > 0;
            if owner == cx.view.me.id || is_fresh || is_asked {
                continue;
            }
            if stalest.as_ref().is_none_or(|(oldest, _, _)| at < *oldest) {
                stalest = Some((at, &backend.name, owner));
            }
        }
        stalest.map(|(_, backend, owner)| (backend, owner))
    }

    /// Returns the backend server of another VM at which fewest requests wait
    /// for a slot, unless all have been refused lately.
    fn shortest_queue<'a>(
        &self,
        cx: &mut Cx<'_>,
        eligible: &Eligible<'a>,
    ) -> Option<(&'a BackendId, VmId)> {
        let mut shortest: Option<(u32, u32, &Known, &'a BackendId)> = None;
        for backend in eligible {
            let Some(known) = self.known_owner(cx, &backend.name) else {
                continue;
            };
            if known.load.open == 0 || known.is_denied(cx.now) {
                continue;
            }
            let pending = self.loans.pending_at(&backend.name);
            let key = (pending, cx.rng.random::<u32>());
            if shortest.is_none_or(|(p, tie, ..)| key < (p, tie)) {
                shortest = Some((key.0, key.1, known, &backend.name));
            }
        }
        shortest.map(|(_, _, known, backend)| (backend, known.owner.clone()))
    }

    /// Returns the VM to ask about `backend` and when its load was learnt.
    fn owner_of(&self, cx: &Cx<'_>, backend: &Backend) -> Option<(Time, VmId)> {
        if let Some(known) = self.known_owner(cx, &backend.name) {
            return Some((known.at, known.owner.clone()));
        }
        let owner = preferred_owner(cx.view, &backend.data_centre, &backend.name)?;
        let asked = self.known.get(&backend.name).and_then(|k| k.denied);
        Some((asked.unwrap_or_default(), owner.clone()))
    }

    /// Returns what is known of `backend` if another VM that lives owns it.
    fn known_owner(&self, cx: &Cx<'_>, backend: &BackendId) -> Option<&Known> {
        let known = self.known.get(backend)?;
        let is_recent = cx.now.since(known.at) < OWNER_AGE;
        let member = cx.view.member(&known.owner)?;
        let lives = member.state != MemberState::Suspect;
        (is_recent && lives && member.vm.id != cx.view.me.id).then_some(known)
    }

    /// Tells whether any VM is known to own `backend`. If none is known to own
    /// any, as after a restart of all VMs, requests wait rather than fail.
    pub(super) fn has_owner(&self, cx: &Cx<'_>, backend: &BackendId) -> bool {
        self.owner.owns(backend) || self.known_owner(cx, backend).is_some()
    }

    /// Tells whether nothing is free since the last event and enough slots
    /// have been asked for. Counts the failed acquisition if so.
    fn is_turned_away(&mut self, service: &ServiceId) -> bool {
        let pending = self.loans.pending(service);
        let Some(waiting) = self.waiting.get_mut(service) else {
            return false;
        };
        let needed = waiting.expected.min(MAX_WAITING).max(waiting.count + 1);
        let is_turned_away = waiting.is_exhausted && needed <= pending;
        waiting.count += u32::from(is_turned_away);
        is_turned_away
    }

    /// Counts a failed acquisition. Returns how many there were and how many
    /// slots are needed.
    fn count_waiting(&mut self, service: &ServiceId) -> (u32, u32) {
        let waiting = self.waiting.entry(service.clone()).or_default();
        waiting.count += 1;
        let needed = waiting.count.max(waiting.expected).min(MAX_WAITING);
        (waiting.count, needed)
    }
}

fn fullness(load: Load, backend: &Backend) -> f64 {
    f64::from(load.leased) / f64::from(backend.slots.max(1))
}
