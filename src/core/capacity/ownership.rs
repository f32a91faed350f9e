//! Which VM owns which backend server.
//!
//! The owner alone hands out the slots of its backend server. Its right is a
//! lease that rests on promises: each VM that it hears has promised to let no
//! other VM own the backend server for [`OWNER_LEASE`]. Promises end by time,
//! so nothing is stored.

use std::collections::BTreeMap;

use crate::{
    core::{
        capacity::message::{
            CapacityMessage,
            Claim,
            ClaimState, //
        },
        cx::Cx,
        membership::{
            Member,
            MemberState,
            View,
            Vm, //
        },
        names::{
            BackendId,
            DataCentreId,
            Incarnation,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long a promise holds.
pub const OWNER_LEASE: Millis = Millis(2_500);

/// Subtracted from the owner's lease for clocks that run at different speeds.
pub const DRIFT_MARGIN: Millis = Millis(50);

/// How often ownership is renewed.
const RENEWAL_INTERVAL: Millis = Millis(500);

/// How often claims are repeated while one is not granted.
const CLAIM_INTERVAL: Millis = Millis(100);

/// A VM that has not voted for this long has no vote.
///
/// Invariant: shorter than [`OWNER_LEASE`], so that an owner that loses a voter
/// keeps its lease.
const VOTER_TIMEOUT: Millis = Millis(2_000);

/// Promises to let no other VM own a backend server.
#[derive(Debug)]
struct Promise {
    holder: VmId,
    incarnation: Incarnation,
    until: Time,
}

/// A VM whose promises this VM needs.
#[derive(Debug)]
struct Voter {
    incarnation: Incarnation,
    /// Whether the voter might claim the backend servers that this VM claims.
    is_rival: bool,
    first_seen: Time,
    last_heard: Time,
    last_vote: Option<Time>,
    abstains: bool,
    /// When the claims were made that the voter last granted.
    granted: BTreeMap<BackendId, Time>,
}

impl Voter {
    fn open(vm: &Vm, me: &Vm, now: Time) -> Voter {
        Voter {
            incarnation: vm.incarnation,
            is_rival: vm.data_centre == me.data_centre,
            first_seen: now,
            last_heard: now,
            last_vote: None,
            abstains: false,
            granted: BTreeMap::new(),
        }
    }

    /// Tells whether the voter has been silent for too long to have a vote.
    ///
    /// Silence while this VM was paused does not count. A rival that is heard
    /// keeps its vote even if its votes do not arrive, because it may be about
    /// to claim what this VM owns.
    fn is_silent(&self, now: Time, resumed: Time) -> bool {
        let voted = self.last_vote.unwrap_or(self.first_seen);
        let heard = if self.is_rival {
            voted.max(self.last_heard)
        } else {
            voted
        };
        now.since(heard.max(resumed)) >= VOTER_TIMEOUT
    }

    /// Tells whether the lease on a backend server rests on this voter. One
    /// that has never voted is only waited for before ownership begins.
    fn is_counted(&self, now: Time, resumed: Time, is_held: bool) -> bool {
        let is_new = self.last_vote.is_none();
        !(self.abstains || self.is_silent(now, resumed) || is_held && is_new)
    }
}

/// The last claims of another VM.
#[derive(Debug)]
pub struct PeerClaims {
    /// When they were made.
    pub round: Round,
    /// When they arrived, by this VM's clock.
    pub at: Time,
    /// The claims by backend server.
    pub claims: BTreeMap<BackendId, Claim>,
}

/// One round of claims of one VM.
#[derive(Debug)]
pub struct Round {
    /// The run that made the claims.
    pub incarnation: Incarnation,
    /// Grows with each round of the run.
    pub seq: u64,
    /// When the round was made, by the clock of the VM that made it.
    pub at: Time,
}

/// An answer to a round of claims.
#[derive(Debug)]
pub struct Vote {
    /// The round.
    pub round: Round,
    /// The voter started too recently to remember its promises.
    pub abstains: bool,
    /// What is promised to the claiming VM.
    pub granted: Vec<BackendId>,
}

/// The promises that this VM has given and been given.
#[derive(Debug, Default)]
pub struct Ownership {
    /// When this run handled its first event.
    started: Option<Time>,
    seq: u64,
    next_round: Time,
    promises: BTreeMap<BackendId, Promise>,
    voters: BTreeMap<VmId, Voter>,
    /// The last claims of each run of the other VMs.
    peers: BTreeMap<(VmId, Incarnation), PeerClaims>,
    /// The round since which each backend server has been claimed without
    /// interruption.
    ///
    /// Invariant: votes on earlier rounds do not count.
    claimed: BTreeMap<BackendId, u64>,
}

impl Ownership {
    /// Notes the first event of this run and the VMs of the view.
    pub fn on_time(&mut self, cx: &Cx<'_>) {
        self.started.get_or_insert(cx.now);
        let resumed = cx.view.resumed;
        let is_member = |id: &VmId| cx.view.member(id).is_some();
        self.voters
            .retain(|id, v| is_member(id) || !v.is_silent(cx.now, resumed));
        for member in cx.view.others() {
            self.see_member(cx, member);
        }
    }

    fn see_member(&mut self, cx: &Cx<'_>, member: &Member) {
        let open = || Voter::open(&member.vm, &cx.view.me, cx.now);
        let voter = self.voters.entry(member.vm.id.clone()).or_insert_with(open);
        if voter.incarnation < member.vm.incarnation {
            *voter = open();
        }
        voter.last_heard = voter.last_heard.max(member.last_heard);
    }

    /// Tells whether this run is too young to know of all valid promises.
    pub fn is_recovering(&self, now: Time) -> bool {
        self.started
            .is_none_or(|started| now.since(started) < OWNER_LEASE)
    }

    /// Returns how many runs that other VMs started may go on at `backend`.
    pub fn foreign_runs(&self, now: Time, backend: &BackendId) -> u32 {
        let mut runs = 0;
        for peer in self.peers.values() {
            let Some(claim) = peer.claims.get(backend) else {
                continue;
            };
            let lasting = claim.running.iter().filter(|b| peer.at + **b > now);
            runs += lasting.count() as u32;
        }
        runs
    }

    /// Returns the allowance that the last owner of `backend` announced, if
    /// another VM owned it after `since`.
    pub fn allowance_since(&self, backend: &BackendId, since: Option<Time>) -> Option<u32> {
        let claims = self.peers.values().filter_map(|p| {
            let claim = p.claims.get(backend)?;
            let was_owner = claim.state != ClaimState::Wanted;
            let is_later = since.is_none_or(|since| p.at > since);
            (was_owner && is_later).then_some((p.at, claim.open))
        });
        claims.max_by_key(|(at, _)| *at).map(|(_, open)| open)
    }

    /// Tells whether `vm` claims `backend` now.
    pub fn is_claimed_by(&self, view: &View, vm: &VmId, backend: &BackendId) -> bool {
        view.member(vm).is_some_and(|m| {
            self.peers
                .get(&(vm.clone(), m.vm.incarnation))
                .and_then(|p| p.claims.get(backend))
                .is_some_and(Claim::asks_for_promise)
        })
    }

    /// Returns until when this VM owns `backend`, if it does. `is_held` tells
    /// whether it has owned it until now.
    pub fn lease_end(&self, cx: &Cx<'_>, backend: &BackendId, is_held: bool) -> Option<Time> {
        let own = self.promises.get(backend)?;
        if own.holder != cx.view.me.id {
            return None;
        }
        self.claimed.get(backend)?;
        let mut end = own.until;
        for voter in self.voters.values() {
            if !voter.is_counted(cx.now, cx.view.resumed, is_held) {
                continue;
            }
            let granted = *voter.granted.get(backend)?;
            end = end.min(granted + OWNER_LEASE);
        }
        let end = end - DRIFT_MARGIN;
        (end > cx.now).then_some(end)
    }

    /// Tells whether a round of claims is due.
    pub fn is_round_due(&self, now: Time) -> bool {
        now >= self.next_round
    }

    /// Makes the next round of claims come at once.
    pub fn hurry(&mut self, now: Time) {
        self.next_round = now;
    }

    /// Promises `backend` to this VM itself, unless another VM has a promise.
    pub fn promise_self(&mut self, cx: &Cx<'_>, backend: &BackendId) -> bool {
        let me = &cx.view.me;
        self.promise(cx.now, &me.id, me.incarnation, backend)
    }

    /// Gives `backend` up: earlier promises to this VM no longer count.
    pub fn give_up(&mut self, me: &VmId, backend: &BackendId) {
        self.claimed.remove(backend);
        if self.promises.get(backend).is_some_and(|p| p.holder == *me) {
            self.promises.remove(backend);
        }
        for voter in self.voters.values_mut() {
            voter.granted.remove(backend);
        }
    }

    /// Sends `claims` to all other VMs.
    pub fn send_round(&mut self, cx: &mut Cx<'_>, claims: &[Claim], is_all_held: bool) {
        let interval = if is_all_held {
            RENEWAL_INTERVAL
        } else {
            CLAIM_INTERVAL
        };
        self.next_round = cx.now + interval;
        self.seq += 1;
        for claim in claims.iter().filter(|c| c.asks_for_promise()) {
            self.claimed
                .entry(claim.backend.clone())
                .or_insert(self.seq);
        }
        let view = cx.view;
        for member in view.others() {
            let msg = CapacityMessage::Claims {
                incarnation: view.me.incarnation,
                seq: self.seq,
                at: cx.now,
                claims: claims.to_vec(),
            };
            cx.send(&member.vm.id, msg);
        }
    }

    /// Takes in the claims of `from` and votes on them.
    pub fn on_claims(&mut self, cx: &mut Cx<'_>, from: &VmId, round: Round, claims: Vec<Claim>) {
        if !self.is_news(from, &round) {
            return;
        }
        let claims: BTreeMap<_, _> = claims.into_iter().map(|c| (c.backend.clone(), c)).collect();
        self.drop_promises(from, &round, &claims);
        let granted = self.promise_all(cx.now, from, &round, &claims);
        let msg = CapacityMessage::Vote {
            voter: cx.view.me.incarnation,
            incarnation: round.incarnation,
            seq: round.seq,
            at: round.at,
            abstains: self.is_recovering(cx.now),
            granted,
        };
        cx.send(from, msg);
        let run = (from.clone(), round.incarnation);
        let peer = PeerClaims {
            round,
            at: cx.now,
            claims,
        };
        self.peers.insert(run, peer);
    }

    /// Takes in a vote of the run `incarnation` of `from`.
    pub fn on_vote(&mut self, cx: &Cx<'_>, from: &VmId, incarnation: Incarnation, vote: Vote) {
        let Some(voter) = self.voters.get_mut(from) else {
            return;
        };
        if voter.incarnation != incarnation || vote.round.incarnation != cx.view.me.incarnation {
            return;
        }
        voter.last_vote = Some(cx.now);
        voter.abstains = vote.abstains;
        if vote.abstains {
            return;
        }
        for backend in vote.granted {
            let is_valid = self
                .claimed
                .get(&backend)
                .is_some_and(|since| vote.round.seq >= *since);
            if is_valid {
                let granted = voter.granted.entry(backend).or_default();
                *granted = vote.round.at.max(*granted);
            }
        }
    }

    /// Forgets what VMs that are long gone have claimed.
    pub fn forget_before(&mut self, limit: Time) {
        self.peers.retain(|_, p| p.at >= limit);
    }

    fn is_news(&self, from: &VmId, round: &Round) -> bool {
        let first = (from.clone(), Incarnation(0));
        let last = (from.clone(), Incarnation(u64::MAX));
        let mut runs = self.peers.range(first..=last);
        runs.next_back().is_none_or(|(_, last)| {
            let last = &last.round;
            (round.incarnation, round.seq) > (last.incarnation, last.seq)
        })
    }

    /// Ends the promises to the run of `from` that it no longer claims.
    fn drop_promises(&mut self, from: &VmId, round: &Round, claims: &BTreeMap<BackendId, Claim>) {
        self.promises.retain(|backend, p| {
            let is_same_run = p.holder == *from && p.incarnation == round.incarnation;
            !is_same_run || claims.get(backend).is_some_and(Claim::asks_for_promise)
        });
    }

    fn promise_all(
        &mut self,
        now: Time,
        from: &VmId,
        round: &Round,
        claims: &BTreeMap<BackendId, Claim>,
    ) -> Vec<BackendId> {
        let mut granted = Vec::new();
        for claim in claims.values().filter(|c| c.asks_for_promise()) {
            if self.promise(now, from, round.incarnation, &claim.backend) {
                granted.push(claim.backend.clone());
            }
        }
        granted
    }

    fn promise(
        &mut self,
        now: Time,
        holder: &VmId,
        incarnation: Incarnation,
        backend: &BackendId,
    ) -> bool {
        if let Some(p) = self.promises.get(backend) {
            let is_same_run = p.holder == *holder && p.incarnation == incarnation;
            if p.until > now && !is_same_run {
                return false;
            }
        }
        let promise = Promise {
            holder: holder.clone(),
            incarnation,
            until: now + OWNER_LEASE,
        };
        self.promises.insert(backend.clone(), promise);
        true
    }
}

/// Returns the VM that should own `backend` by `view`: of the VMs of its data
/// centre that are not leaving, the one with the highest rendezvous score.
pub fn preferred_owner<'a>(
    view: &'a View,
    data_centre: &DataCentreId,
    backend: &BackendId,
) -> Option<&'a VmId> {
    let backend_hash = backend.hash64();
    view.members
        .iter()
        .filter(|m| m.vm.data_centre == *data_centre && m.state != MemberState::Leaving)
        .map(|m| &m.vm.id)
        .max_by_key(|id| (score(backend_hash, id), *id))
}

fn score(backend_hash: u64, vm: &VmId) -> u64 {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&backend_hash.to_le_bytes());
    key[8..].copy_from_slice(&vm.hash64().to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&key)
}
