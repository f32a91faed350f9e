//! Agreement between the VMs on the owner of each backend server.
//!
//! Only the owner grants leases on the slots of its backend server. Ownership
//! is a lease backed by votes: every reachable VM has promised to let no other
//! VM own the backend server for [`OWNER_LEASE`]. Promises expire, so none are
//! persisted.

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

/// How long a promise is valid.
pub const OWNER_LEASE: Millis = Millis(2_500);

/// Subtracted from the owner's lease to allow for clock drift between machines.
pub const DRIFT_MARGIN: Millis = Millis(50);

/// The interval at which ownership is renewed.
const RENEWAL_INTERVAL: Millis = Millis(500);

/// The interval at which claims are repeated until all are granted.
const CLAIM_INTERVAL: Millis = Millis(100);

/// The vote of a VM that has not voted for this long is not needed.
///
/// Invariant: shorter than [`OWNER_LEASE`], so that an owner does not lose its
/// lease when a voter fails.
const VOTER_TIMEOUT: Millis = Millis(2_000);

/// A promise to `holder` that no other VM will own a backend server.
#[derive(Debug)]
struct Promise {
    holder: VmId,
    incarnation: Incarnation,
    until: Time,
}

/// Another VM that votes on the claims of this VM.
#[derive(Debug)]
struct Voter {
    incarnation: Incarnation,
    /// Whether the voter is in this VM's data centre, so that it may claim the
    /// same backend servers.
    is_rival: bool,
    first_seen: Time,
    last_heard: Time,
    last_vote: Option<Time>,
    abstains: bool,
    /// For each backend server, when the last claim that the voter granted was
    /// made, by this VM's clock.
    granted: BTreeMap<BackendId, Time>,
}

impl Voter {
    fn new(vm: &Vm, me: &Vm, now: Time) -> Voter {
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

    /// Returns whether the voter has been silent for [`VOTER_TIMEOUT`].
    ///
    /// Time for which this VM was paused does not count. A rival is not silent
    /// while any message of it arrives, even if its votes are lost, because it
    /// may be about to claim what this VM owns.
    fn is_silent(&self, now: Time, resumed: Time) -> bool {
        let voted = self.last_vote.unwrap_or(self.first_seen);
        let heard = if self.is_rival {
            voted.max(self.last_heard)
        } else {
            voted
        };
        now.since(heard.max(resumed)) >= VOTER_TIMEOUT
    }

    /// Returns whether owning a backend server requires this voter's promise. A
    /// voter that has never voted is required to gain ownership, but not to
    /// keep it.
    fn is_required(&self, now: Time, resumed: Time, is_owned: bool) -> bool {
        let is_new = self.last_vote.is_none();
        !(self.abstains || self.is_silent(now, resumed) || is_owned && is_new)
    }
}

/// The last claims of one run of another VM.
#[derive(Debug)]
pub struct PeerClaims {
    /// The round that they belong to.
    pub round: Round,
    /// When they arrived, by this VM's clock.
    pub at: Time,
    /// The claims by backend server.
    pub claims: BTreeMap<BackendId, Claim>,
}

/// Identifies one round of claims of one VM.
#[derive(Debug)]
pub struct Round {
    /// The run that made the claims.
    pub incarnation: Incarnation,
    /// Increases with each round of the run.
    pub seq: u64,
    /// When the round was made, by the clock of the VM that made it.
    pub at: Time,
}

/// An answer to a round of claims.
#[derive(Debug)]
pub struct Vote {
    /// The round that it answers.
    pub round: Round,
    /// Whether the voter started too recently to know the promises that its
    /// earlier run may have made.
    pub abstains: bool,
    /// The backend servers promised to the claiming VM.
    pub granted: Vec<BackendId>,
}

/// The promises that this VM has made and received.
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
    /// The first round of the current uninterrupted claim to each backend
    /// server.
    ///
    /// Invariant: votes on earlier rounds do not count.
    claimed_since: BTreeMap<BackendId, u64>,
}

impl Ownership {
    /// Updates the voters from the view. The first call starts the recovery
    /// time of this run.
    pub fn update_voters(&mut self, cx: &Cx<'_>) {
        self.started.get_or_insert(cx.now);
        let resumed = cx.view.resumed;
        let is_member = |id: &VmId| cx.view.member(id).is_some();
        self.voters
            .retain(|id, v| is_member(id) || !v.is_silent(cx.now, resumed));
        for member in cx.view.others() {
            self.update_voter(cx, member);
        }
    }

    fn update_voter(&mut self, cx: &Cx<'_>, member: &Member) {
        let new_voter = || Voter::new(&member.vm, &cx.view.me, cx.now);
        let voter = self
            .voters
            .entry(member.vm.id.clone())
            .or_insert_with(new_voter);
        if voter.incarnation < member.vm.incarnation {
            *voter = new_voter();
        }
        voter.last_heard = voter.last_heard.max(member.last_heard);
    }

    /// Returns whether promises made by an earlier run of this VM may still be
    /// valid.
    pub fn is_recovering(&self, now: Time) -> bool {
        self.started
            .is_none_or(|started| now.since(started) < OWNER_LEASE)
    }

    /// Returns how many requests that other VMs started may still be running on
    /// `backend`.
    pub fn inherited_runs(&self, now: Time, backend: &BackendId) -> u32 {
        let mut runs = 0;
        for peer in self.peers.values() {
            let Some(claim) = peer.claims.get(backend) else {
                continue;
            };
            let unfinished = claim.running.iter().filter(|b| peer.at + **b > now);
            runs += unfinished.count() as u32;
        }
        runs
    }

    /// Returns the concurrency limit that the last owner of `backend`
    /// announced, if another VM owned it after `since`.
    pub fn limit_since(&self, backend: &BackendId, since: Option<Time>) -> Option<u32> {
        let claims = self.peers.values().filter_map(|p| {
            let claim = p.claims.get(backend)?;
            let was_owner = claim.state != ClaimState::Wanted;
            let is_later = since.is_none_or(|since| p.at > since);
            (was_owner && is_later).then_some((p.at, claim.limit))
        });
        claims.max_by_key(|(at, _)| *at).map(|(_, limit)| limit)
    }

    /// Returns whether `vm` claims `backend` in its current run.
    pub fn is_claimed_by(&self, view: &View, vm: &VmId, backend: &BackendId) -> bool {
        view.member(vm).is_some_and(|m| {
            self.peers
                .get(&(vm.clone(), m.vm.incarnation))
                .and_then(|p| p.claims.get(backend))
                .is_some_and(Claim::needs_promise)
        })
    }

    /// Returns when this VM's ownership of `backend` ends, or `None` if it is
    /// not the owner. `is_owned` says whether it has been the owner until now.
    pub fn lease_end(&self, cx: &Cx<'_>, backend: &BackendId, is_owned: bool) -> Option<Time> {
        let own = self.promises.get(backend)?;
        if own.holder != cx.view.me.id {
            return None;
        }
        self.claimed_since.get(backend)?;
        let mut end = own.until;
        for voter in self.voters.values() {
            if !voter.is_required(cx.now, cx.view.resumed, is_owned) {
                continue;
            }
            let granted = *voter.granted.get(backend)?;
            end = end.min(granted + OWNER_LEASE);
        }
        let end = end - DRIFT_MARGIN;
        (end > cx.now).then_some(end)
    }

    /// Returns whether the next round of claims is due.
    pub fn is_round_due(&self, now: Time) -> bool {
        now >= self.next_round
    }

    /// Makes the next round of claims due at `now`.
    pub fn schedule_now(&mut self, now: Time) {
        self.next_round = now;
    }

    /// Promises `backend` to this VM. Returns `false` if another VM has a valid
    /// promise.
    pub fn promise_self(&mut self, cx: &Cx<'_>, backend: &BackendId) -> bool {
        let me = &cx.view.me;
        self.promise(cx.now, &me.id, me.incarnation, backend)
    }

    /// Withdraws the claim to `backend`. Promises received so far no longer
    /// count.
    pub fn withdraw_claim(&mut self, me: &VmId, backend: &BackendId) {
        self.claimed_since.remove(backend);
        if self.promises.get(backend).is_some_and(|p| p.holder == *me) {
            self.promises.remove(backend);
        }
        for voter in self.voters.values_mut() {
            voter.granted.remove(backend);
        }
    }

    /// Sends a round of `claims` to all other VMs. The next round follows after
    /// the longer renewal interval if `is_settled`.
    pub fn send_round(&mut self, cx: &mut Cx<'_>, claims: &[Claim], is_settled: bool) {
        let interval = if is_settled {
            RENEWAL_INTERVAL
        } else {
            CLAIM_INTERVAL
        };
        self.next_round = cx.now + interval;
        self.seq += 1;
        for claim in claims.iter().filter(|c| c.needs_promise()) {
            self.claimed_since
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

    /// Handles the claims of `from` and sends a vote on them.
    pub fn on_claims(&mut self, cx: &mut Cx<'_>, from: &VmId, round: Round, claims: Vec<Claim>) {
        if !self.is_newer(from, &round) {
            return;
        }
        let claims: BTreeMap<_, _> = claims.into_iter().map(|c| (c.backend.clone(), c)).collect();
        self.drop_unclaimed_promises(from, &round, &claims);
        let granted = self.grant_promises(cx.now, from, &round, &claims);
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

    /// Handles a vote from the run `incarnation` of `from`. Ignores votes from
    /// or for earlier runs.
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
                .claimed_since
                .get(&backend)
                .is_some_and(|since| vote.round.seq >= *since);
            if is_valid {
                let granted = voter.granted.entry(backend).or_default();
                *granted = vote.round.at.max(*granted);
            }
        }
    }

    /// Removes the claims that arrived before `cutoff`.
    pub fn prune_claims(&mut self, cutoff: Time) {
        self.peers.retain(|_, p| p.at >= cutoff);
    }

    fn is_newer(&self, from: &VmId, round: &Round) -> bool {
        let first = (from.clone(), Incarnation(0));
        let last = (from.clone(), Incarnation(u64::MAX));
        let mut runs = self.peers.range(first..=last);
        runs.next_back().is_none_or(|(_, last)| {
            let last = &last.round;
            (round.incarnation, round.seq) > (last.incarnation, last.seq)
        })
    }

    /// Removes the promises for backend servers that the run of `from` no
    /// longer claims.
    fn drop_unclaimed_promises(
        &mut self,
        from: &VmId,
        round: &Round,
        claims: &BTreeMap<BackendId, Claim>,
    ) {
        self.promises.retain(|backend, p| {
            let is_same_run = p.holder == *from && p.incarnation == round.incarnation;
            !is_same_run || claims.get(backend).is_some_and(Claim::needs_promise)
        });
    }

    fn grant_promises(
        &mut self,
        now: Time,
        from: &VmId,
        round: &Round,
        claims: &BTreeMap<BackendId, Claim>,
    ) -> Vec<BackendId> {
        let mut granted = Vec::new();
        for claim in claims.values().filter(|c| c.needs_promise()) {
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

/// Returns the VM that should own `backend`: of the VMs of its data centre that
/// are not leaving, the one with the highest rendezvous hash.
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
