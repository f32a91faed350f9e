//! Selection of the VM that reads the store.

use std::cmp::Reverse;

use super::{
    Steering,
    decision::{
        Decision,
        Source, //
    },
    store::{
        Era,
        Kind,
        StoreAnswer,
        StoreCall, //
    },
    store_reader::{
        Backoff,
        Step,
        StoreReader,
        watch_time, //
    }, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Maximum age of an answer that may be stale.
const MAX_STALENESS: Millis = Millis::from_secs(10);

/// Added to the duration of a watch to get the age at which a VM other than the
/// reader starts to read. Covers the relay of new objects with the reader's next
/// heartbeat.
const RELAY_DELAY: Millis = Millis(500);

/// Delay added per rank so that the VMs do not all start at once.
const RANK_DELAY: Millis = Millis(100);

/// Number of VMs that start one after the other. Enough to detect a store that
/// answers only some VMs.
const STAGGERED_RANKS: usize = 3;

/// Delay of all VMs with a lower rank.
const LATE_RANK_DELAY: Millis = Millis(700);

/// Number of slots over which the VMs that are not hubs are spread.
const NON_HUB_SLOTS: u64 = 16;

/// Length of a slot.
const NON_HUB_SLOT: Millis = Millis(140);

/// Mean interval between the calls of all VMs that are not hubs together, during
/// an outage of the store. The hubs call as well; the others find a store that
/// answers only some VMs.
const FLEET_CALL_INTERVAL: Millis = Millis(125);

/// An outage of the store is over this long after the last call of any VM that
/// was not answered.
const OUTAGE_TIME: Millis = Millis::from_secs(5);

/// Delay of all VMs that are not hubs, so that they hear of an outage before
/// they call.
const NON_HUB_DELAY: Millis = Millis(500);

/// Backoff of the first-ranked hubs during a store outage.
const RANKED_BACKOFF: Backoff = Backoff {
    first: Millis(100),
    max: Millis(800),
};

/// Backoff of the other hubs during a store outage.
const HUB_BACKOFF: Backoff = Backoff {
    first: Millis(750),
    max: Millis(6_000),
};

impl Steering {
    /// Returns the next step for reading a kind.
    pub fn next_call(&mut self, kind: Kind, now: Time) -> Step {
        let is_wanted = !self.waits_for_configuration(kind, now) && self.should_read(kind, now);
        let known = *self.sync.get(kind);
        let reader = &mut self.readers[kind as usize];
        reader.end_backoff(known.as_of);
        reader.next(is_wanted, known.position, now)
    }

    /// Processes the answer to a call sent at `sent`. `era` is that of the store
    /// when it answered; `None` if it did not.
    pub fn on_answer(
        &mut self,
        call: &StoreCall,
        answer: StoreAnswer,
        era: Option<Era>,
        sent: Time,
        now: Time,
    ) {
        let Some(kind) = call.kind() else {
            return;
        };
        let answer = self.check_era(call, answer, era, now);
        let answers = answer.is_answered();
        if !answers {
            self.sync.record_outage(now);
        }
        if answers != self.readers[kind as usize].was_answered() {
            self.decisions
                .push(Decision::StoreAnswers { answers, kind });
            // Another VM may have to take over reading.
            self.peers.send_soon(now);
        }
        let as_of = as_of(call, &answer, sent, now);
        let backoff = self.backoff(now);
        let read = self.readers[kind as usize].on_answer(answer, backoff, now, &mut self.rng);
        let Some((update, position)) = read else {
            return;
        };
        self.apply(kind, update, position, as_of, Source::Store, now);
    }

    /// Replaces an answer that belongs to another era than the state to which it
    /// would be applied.
    fn check_era(
        &mut self,
        call: &StoreCall,
        answer: StoreAnswer,
        era: Option<Era>,
        now: Time,
    ) -> StoreAnswer {
        let Some(era) = era else {
            return answer;
        };
        if self.sync.era().is_some_and(|newest| era < newest) {
            // From before the restore, or from a part of the store that has not
            // noticed it.
            return StoreAnswer::Busy;
        }
        let restored_since = self.sync.observe_era(era, now);
        if let Some(position) = answer.position() {
            self.sync.observe_position(position);
        }
        if let Some(before) = restored_since {
            self.on_restore(before, era, now);
            return StoreAnswer::HistoryGone;
        }
        match call {
            // The revision that the watch began from means another change now.
            StoreCall::Watch { since, .. } if since.era != era => StoreAnswer::HistoryGone,
            _ => answer,
        }
    }

    /// Returns whether this VM should read a kind: the first-ranked of the VMs
    /// that hear each other does, and any VM whose knowledge is too old.
    fn should_read(&self, kind: Kind, now: Time) -> bool {
        let Some(age) = self.sync.age(kind, now) else {
            return self.is_first_read_due(now);
        };
        if self.is_discovering(now) {
            return false;
        }
        self.reading_delay(now)
            .is_none_or(|reading_delay| age > watch_time(kind) + RELAY_DELAY + reading_delay)
    }

    /// Returns whether a call for another kind shows first that the store answers.
    fn waits_for_configuration(&self, kind: Kind, now: Time) -> bool {
        if kind == Kind::Configuration {
            return false;
        }
        if !self.readers[Kind::Configuration as usize].was_answered() {
            return true;
        }
        let max_age = watch_time(Kind::Configuration) + RELAY_DELAY;
        let age = self.sync.age(Kind::Configuration, now);
        let is_outdated = age.is_some_and(|age| age > max_age);
        is_outdated && self.is_outage(now) && !self.peers.is_hub()
    }

    /// Returns whether the store failed to answer any VM recently.
    fn is_outage(&self, now: Time) -> bool {
        self.sync
            .last_outage()
            .is_some_and(|at| now.since(at) < OUTAGE_TIME)
    }

    /// Returns the length of a slot of the VMs that are not hubs. During an outage
    /// of the store it grows with the fleet, so that their calls do not.
    fn non_hub_slot(&self, now: Time) -> Millis {
        if !self.is_outage(now) {
            return NON_HUB_SLOT;
        }
        NON_HUB_SLOT.max(Millis(self.fleet_call_interval().0 / NON_HUB_SLOTS))
    }

    /// Returns the interval between two calls of a VM that is not a hub, if all
    /// of them share [`FLEET_CALL_INTERVAL`].
    fn fleet_call_interval(&self) -> Millis {
        Millis(FLEET_CALL_INTERVAL.0 * self.peers.known() as u64)
    }

    /// Returns how long this VM waits for other readers once its knowledge is
    /// too old. `None` for the first-ranked VM, which reads at once.
    fn reading_delay(&self, now: Time) -> Option<Millis> {
        if !self.peers.is_hub() && self.peers.live(now).next().is_some() {
            let slot = self.me.vm.hash64() % NON_HUB_SLOTS;
            return Some(NON_HUB_DELAY + Millis(self.non_hub_slot(now).0 * slot));
        }
        match self.rank(now) {
            0 => None,
            rank if rank < STAGGERED_RANKS => Some(Millis(RANK_DELAY.0 * rank as u64)),
            _ => Some(LATE_RANK_DELAY),
        }
    }

    /// Returns the backoff of this VM during a store outage.
    fn backoff(&self, now: Time) -> Backoff {
        if self.peers.is_hub() {
            return match self.rank(now) < STAGGERED_RANKS {
                true => RANKED_BACKOFF,
                false => HUB_BACKOFF,
            };
        }
        // Shorter pauses at first would add to the calls that all VMs share.
        let pause = HUB_BACKOFF.max.max(self.fleet_call_interval());
        Backoff {
            first: pause,
            max: pause,
        }
    }

    /// Returns the number of live neighbours ranked before this one. Stopping VMs
    /// and those that the store does not answer rank last; the others rank by CPU
    /// capacity, highest first. For a hub, its neighbours are the other hubs: a VM
    /// that is not a hub reads for itself only and takes no rank from a hub.
    pub(super) fn rank(&self, now: Time) -> usize {
        let millicores = Reverse(self.me.millicores);
        let own = (
            self.is_stopping,
            !self.store_answers(),
            millicores,
            &self.me.vm,
        );
        self.peers
            .live(now)
            .map(|m| &m.heartbeat)
            .filter(|h| self.peers.is_neighbour(h.address))
            .filter(|h| {
                (
                    h.is_stopping,
                    !h.reaches_store,
                    Reverse(h.millicores),
                    &h.vm,
                ) < own
            })
            .count()
    }

    /// Returns whether the store answered the last calls of this VM.
    pub(super) fn store_answers(&self) -> bool {
        self.readers.iter().all(StoreReader::was_answered)
    }
}

/// Returns a time at which the store had nothing newer than the answer to a
/// call sent at `sent`.
fn as_of(call: &StoreCall, answer: &StoreAnswer, sent: Time, now: Time) -> Time {
    match answer {
        // The store holds the call that long before it reports no changes.
        StoreAnswer::Changes { changes, .. } if changes.is_empty() => now.min(sent + call.wait()),
        _ if call.allow_stale() => sent - MAX_STALENESS,
        _ => sent,
    }
}
