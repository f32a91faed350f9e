//! Follows one kind of object in the store: a list first, then watches.

use rand::{
    Rng,
    rngs::SmallRng, //
};

use super::store::{
    Change,
    Kind,
    Object,
    Position,
    StoreAnswer,
    StoreCall, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Maximum duration of a watch. It bounds the time until a watch on a dead
/// connection is detected.
const WATCH_TIME: Millis = Millis(1_500);

/// Maximum duration of a watch on evacuations, which may be detected later.
const EVACUATION_WATCH_TIME: Millis = Millis(2_500);

/// Maximum duration of the watch after a list that may be stale, or after a call
/// that failed. Until it ends, the other VMs hold their knowledge for old and
/// would read as well.
const CONFIRMING_WATCH_TIME: Millis = Millis(20);

/// Returns the maximum duration of a watch of a kind.
pub fn watch_time(kind: Kind) -> Millis {
    match kind {
        Kind::Configuration | Kind::BackendServers => WATCH_TIME,
        Kind::Evacuations => EVACUATION_WATCH_TIME,
    }
}

/// Pause after changes, to batch further ones. Backend servers often change
/// together, and each answer of the store ends a call.
fn batching_delay(kind: Kind) -> Millis {
    match kind {
        Kind::BackendServers => Millis(100),
        Kind::Configuration | Kind::Evacuations => Millis(0),
    }
}

/// Pause after failed calls: doubles with each failure.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest pause after the first failure.
    pub first: Millis,
    /// Longest pause after any failure.
    pub max: Millis,
}

impl Backoff {
    /// Maximum number of doublings, beyond which all pauses are the longest.
    const MAX_DOUBLINGS: u32 = 16;

    /// Returns a random pause after a number of failures in a row, the longest
    /// one or down to half of it, so that the VMs do not call at the same time.
    fn pause(&self, failures: u32, rng: &mut SmallRng) -> Millis {
        let doublings = (failures - 1).min(Self::MAX_DOUBLINGS);
        let longest = (self.first.0 << doublings).min(self.max.0);
        Millis(rng.random_range(longest / 2..=longest))
    }
}

/// Interval at which an idle reader checks whether it should read.
const IDLE_POLL_INTERVAL: Millis = Millis(50);

/// Next step of a reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Call the store.
    Call(StoreCall),
    /// Wait.
    Wait(Millis),
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All objects of the kind.
    All(Vec<Object>),
    /// Changes since the known position.
    Changes(Vec<Change>),
}

/// Reader of one kind.
#[derive(Debug)]
pub struct StoreReader {
    kind: Kind,
    state: State,
    /// Failures since the last usable answer.
    failures: u32,
    /// Earliest time of the next call.
    not_before: Time,
    /// When a call last failed.
    failed_at: Time,
    /// Whether the last call was answered; true before the first.
    is_answered: bool,
}

#[derive(Debug)]
enum State {
    Listing {
        after: Option<String>,
        objects: Vec<Object>,
        /// Lowest position of all pages. Later pages may be newer, so watches
        /// start here.
        lowest: Option<Position>,
        /// Whether stale pages are acceptable. The following watch reports
        /// later changes.
        allow_stale: bool,
    },
    /// The list may be stale, or the last call failed: the next watch shows soon
    /// how old the knowledge is.
    Confirming,
    Watching,
}

impl State {
    /// Returns whether a watch can replace this list if objects are known
    /// already. A list after a history gap must be read.
    fn is_skippable(&self) -> bool {
        match self {
            State::Listing { allow_stale, .. } => *allow_stale,
            State::Confirming => false,
            State::Watching => true,
        }
    }

    fn new_listing(allow_stale: bool) -> State {
        State::Listing {
            after: None,
            objects: Vec::new(),
            lowest: None,
            allow_stale,
        }
    }
}

impl StoreReader {
    /// Creates a reader of `kind` that starts with a list.
    pub fn open(kind: Kind) -> StoreReader {
        StoreReader {
            kind,
            state: State::new_listing(true),
            failures: 0,
            not_before: Time::default(),
            failed_at: Time::default(),
            is_answered: true,
        }
    }

    /// Returns the next step. `known` is the position known from any source;
    /// zero if none.
    pub fn next(&mut self, is_wanted: bool, known: Position, now: Time) -> Step {
        if !is_wanted {
            return Step::Wait(IDLE_POLL_INTERVAL);
        }
        if now < self.not_before {
            return Step::Wait(self.not_before.since(now).min(IDLE_POLL_INTERVAL));
        }
        Step::Call(self.call(known))
    }

    fn call(&mut self, known: Position) -> StoreCall {
        if known > Position::NONE && self.state.is_skippable() {
            self.state = State::Watching;
        }
        match &self.state {
            State::Listing {
                after, allow_stale, ..
            } => StoreCall::List {
                kind: self.kind,
                after: after.clone(),
                allow_stale: *allow_stale,
            },
            State::Confirming => self.watch(known, CONFIRMING_WATCH_TIME),
            State::Watching => self.watch(known, watch_time(self.kind)),
        }
    }

    fn watch(&self, since: Position, wait: Millis) -> StoreCall {
        StoreCall::Watch {
            kind: self.kind,
            since,
            wait,
        }
    }

    /// Ends the backoff if the store has answered another VM since the last
    /// failure: `as_of` is when the kind was last known to be current.
    pub fn end_backoff(&mut self, as_of: Time) {
        if !self.is_answered && as_of > self.failed_at {
            self.not_before = Time::default();
            self.failures = 0;
        }
    }

    /// Returns whether the last call was answered.
    pub fn was_answered(&self) -> bool {
        self.is_answered
    }

    /// Processes an answer. Returns the update and its position.
    pub fn on_answer(
        &mut self,
        answer: StoreAnswer,
        backoff: Backoff,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<(Update, Position)> {
        self.is_answered = answer.is_answered();
        match answer {
            StoreAnswer::Page {
                objects,
                next,
                position,
            } => {
                self.failures = 0;
                self.on_page(objects, next, position)
            }
            StoreAnswer::Changes { changes, position } => {
                self.failures = 0;
                self.state = State::Watching;
                if !changes.is_empty() {
                    self.not_before = now + batching_delay(self.kind);
                }
                Some((Update::Changes(changes), position))
            }
            StoreAnswer::HistoryGone => {
                // A stale list would lead to the same gap.
                self.state = State::new_listing(false);
                None
            }
            // The last three do not answer calls of a reader.
            StoreAnswer::Busy
            | StoreAnswer::NoAnswer
            | StoreAnswer::Records(_)
            | StoreAnswer::Registered
            | StoreAnswer::RegistrationConflict => {
                self.back_off(backoff, now, rng);
                None
            }
        }
    }

    fn on_page(
        &mut self,
        page: Vec<Object>,
        next: Option<String>,
        position: Position,
    ) -> Option<(Update, Position)> {
        let State::Listing {
            after,
            objects,
            lowest,
            allow_stale,
        } = &mut self.state
        else {
            return None;
        };
        if lowest.is_some_and(|l| l.era != position.era) {
            // The store was restored between two pages.
            self.state = State::new_listing(false);
            return None;
        }
        let position = lowest.map_or(position, |l| l.min(position));
        *lowest = Some(position);
        objects.extend(page);
        if next.is_some() {
            *after = next;
            return None;
        }
        let all = std::mem::take(objects);
        self.state = match allow_stale {
            true => State::Confirming,
            false => State::Watching,
        };
        Some((Update::All(all), position))
    }

    /// Schedules a retry with exponential backoff and jitter, so that the VMs
    /// do not call at the same time.
    fn back_off(&mut self, backoff: Backoff, now: Time, rng: &mut SmallRng) {
        self.state = match self.state {
            State::Listing { allow_stale, .. } => State::new_listing(allow_stale),
            State::Confirming | State::Watching => State::Confirming,
        };
        self.failures += 1;
        self.failed_at = now;
        self.not_before = now + backoff.pause(self.failures, rng);
    }
}
