//! Which VM reads the store, and when.

use std::cmp::Reverse;

use super::{
    Steering,
    decision::{
        Decision,
        Source, //
    },
    store::{
        Kind,
        StoreAnswer,
        StoreCall, //
    },
    store_reader::{
        Step,
        StoreReader,
        watch_time, //
    }, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How old an answer may be that need not be new.
const OLD_ANSWER: Millis = Millis::from_secs(10);

/// How much older than a watch lasts knowledge may be before a VM reads the
/// store itself, if it is the first to do so. Readers tell the others with their
/// next heartbeat.
const READER_DELAY: Millis = Millis(500);

/// Added for each VM that comes before this one, so that they do not all begin
/// at once.
const TURN: Millis = Millis(100);

/// The VMs that begin one after the other. They are enough to notice a store
/// that answers some VMs only.
const FIRST_RANKS: usize = 3;

/// Added for all others.
const LATE_TURN: Millis = Millis(700);

/// VMs that are no hubs begin in slots, those of a data centre spread over them.
const WEAK_SLOTS: u64 = 16;

/// The length of a slot.
const WEAK_SLOT: Millis = Millis(140);

/// The longest pause between calls of the first VMs to a store in trouble.
const FIRST_PAUSE: Millis = Millis(800);

/// The same for all others.
const LATE_PAUSE: Millis = Millis(6_000);

impl Steering {
    /// Returns what to read next of a kind.
    pub fn next_call(&mut self, kind: Kind, now: Time) -> Step {
        // While the store is in trouble, the calls for one kind find out when it
        // is over.
        let is_spared = kind != Kind::Configuration
            && !self.readers[Kind::Configuration as usize].was_answered();
        let is_wanted = !is_spared && self.reads(kind, now);
        let known = self.beliefs.get(kind).revision;
        self.readers[kind as usize].next(is_wanted, known, now)
    }

    /// Takes in the answer to a call that was sent at `sent`.
    pub fn on_answer(&mut self, call: &StoreCall, answer: StoreAnswer, sent: Time, now: Time) {
        let Some(kind) = call.kind() else {
            return;
        };
        let answers = answer.is_answered();
        if !answers {
            self.beliefs.note_trouble(now);
        }
        if answers != self.readers[kind as usize].was_answered() {
            self.decisions
                .push(Decision::StoreAnswers { answers, kind });
            // Another VM may have to read in place of this one.
            self.peers.hurry(now);
        }
        let as_of = as_of(call, &answer, sent, now);
        let longest = self.longest_pause(now);
        let read = self.readers[kind as usize].on_answer(answer, longest, now, &mut self.rng);
        let Some((update, revision)) = read else {
            return;
        };
        self.apply(kind, update, revision, as_of, Source::Store, now);
    }

    /// Tells whether this VM reads a kind from the store: the first of the VMs
    /// that hear each other does, and any VM whose knowledge is too old.
    fn reads(&self, kind: Kind, now: Time) -> bool {
        let Some(age) = self.beliefs.age(kind, now) else {
            return true;
        };
        self.turn(now)
            .is_none_or(|turn| age > watch_time(kind) + READER_DELAY + turn)
    }

    /// How long this VM leaves reading to others once knowledge is too old.
    /// `None` if it is the one that reads.
    fn turn(&self, now: Time) -> Option<Millis> {
        if !self.peers.is_hub() && self.peers.live(now).next().is_some() {
            let slot = self.me.vm.hash64() % WEAK_SLOTS;
            return Some(Millis(WEAK_SLOT.0 * slot));
        }
        match self.rank(now) {
            0 => None,
            rank if rank < FIRST_RANKS => Some(Millis(TURN.0 * rank as u64)),
            _ => Some(LATE_TURN),
        }
    }

    /// The longest pause of this VM between calls to a store in trouble.
    fn longest_pause(&self, now: Time) -> Millis {
        let is_first = self.peers.is_hub() && self.rank(now) < FIRST_RANKS;
        match is_first {
            true => FIRST_PAUSE,
            false => LATE_PAUSE,
        }
    }

    /// The number of live VMs that come before this one. Those that the store
    /// does not answer come last, and the weak after the strong.
    pub(super) fn rank(&self, now: Time) -> usize {
        let millicores = Reverse(self.me.millicores);
        let mine = (self.is_stopping, !self.has_store(), millicores, &self.me.vm);
        self.peers
            .live(now)
            .map(|m| &m.heartbeat)
            .filter(|h| {
                (
                    h.is_stopping,
                    !h.reaches_store,
                    Reverse(h.millicores),
                    &h.vm,
                ) < mine
            })
            .count()
    }

    /// Tells whether the store answered the last calls of this VM.
    pub(super) fn has_store(&self) -> bool {
        self.readers.iter().all(StoreReader::was_answered)
    }
}

/// Returns a time at which the store surely had nothing newer than the answer
/// to a call that was sent at `sent`.
fn as_of(call: &StoreCall, answer: &StoreAnswer, sent: Time, now: Time) -> Time {
    match answer {
        // The store waits that long before it says that nothing has changed.
        StoreAnswer::Changes { changes, .. } if changes.is_empty() => now.min(sent + call.wait()),
        _ if call.allow_stale() => sent - OLD_ANSWER,
        _ => sent,
    }
}
