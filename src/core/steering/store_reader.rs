//! Follows one kind of object at the store: a list first, then watches.

use rand::{
    Rng,
    rngs::SmallRng, //
};

use super::store::{
    Change,
    Kind,
    Object,
    Revision,
    StoreAnswer,
    StoreCall, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long the store may hold a watch. A watch on a connection that went
/// silent is noticed this long after it began, at the latest.
const WATCH_TIME: Millis = Millis(1_500);

/// The same for the data centres that are out, which are waited for longer.
const EVACUATION_WATCH_TIME: Millis = Millis(2_500);

/// How long the store may hold a watch of a kind.
pub fn watch_time(kind: Kind) -> Millis {
    match kind {
        Kind::Configuration | Kind::BackendServers => WATCH_TIME,
        Kind::Evacuations => EVACUATION_WATCH_TIME,
    }
}

/// The pause after changes, in which further ones gather. Backend servers often
/// change together, and each answer of the store ends a call.
fn gather_time(kind: Kind) -> Millis {
    match kind {
        Kind::BackendServers => Millis(100),
        Kind::Configuration | Kind::Evacuations => Millis(0),
    }
}

/// How often the pause after a failure is doubled until it is the longest.
const DOUBLINGS: u32 = 3;

/// How often a VM that does not read looks whether it should.
const IDLE_PAUSE: Millis = Millis(50);

/// What the reader does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// It calls the store.
    Call(StoreCall),
    /// It waits.
    Wait(Millis),
}

/// What was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All objects of the kind.
    All(Vec<Object>),
    /// The changes since the version that was known.
    Changes(Vec<Change>),
}

/// Follows one kind.
#[derive(Debug)]
pub struct StoreReader {
    kind: Kind,
    state: State,
    /// Failures since the last answer that could be used.
    failures: u32,
    /// No call is made before.
    pause_until: Time,
    /// Whether the last call was answered; true before the first.
    is_answered: bool,
}

#[derive(Debug)]
enum State {
    Listing {
        after: Option<String>,
        objects: Vec<Object>,
        /// The lowest version of a page. Others may be newer, so that watches
        /// begin here.
        lowest: Option<Revision>,
        /// Whether old pages will do. The watch that follows tells what has
        /// changed since.
        allow_stale: bool,
    },
    Watching,
}

impl State {
    /// Tells whether a watch can take the place of this list, if something is
    /// known already. A list after a gap in the history has to be read.
    fn may_be_skipped(&self) -> bool {
        match self {
            State::Listing {
                after, allow_stale, ..
            } => after.is_none() && *allow_stale,
            State::Watching => true,
        }
    }

    fn from_start(allow_stale: bool) -> State {
        State::Listing {
            after: None,
            objects: Vec::new(),
            lowest: None,
            allow_stale,
        }
    }
}

impl StoreReader {
    /// Starts to follow `kind` with a list.
    pub fn open(kind: Kind) -> StoreReader {
        StoreReader {
            kind,
            state: State::from_start(true),
            failures: 0,
            pause_until: Time::default(),
            is_answered: true,
        }
    }

    /// Returns what to do next. `known` is the version that this VM knows from
    /// any source; zero if none.
    pub fn next(&mut self, is_wanted: bool, known: Revision, now: Time) -> Step {
        if !is_wanted {
            return Step::Wait(IDLE_PAUSE);
        }
        if now < self.pause_until {
            return Step::Wait(self.pause_until.since(now).min(IDLE_PAUSE));
        }
        Step::Call(self.call(known))
    }

    fn call(&mut self, known: Revision) -> StoreCall {
        if known > Revision(0) && self.state.may_be_skipped() {
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
            State::Watching => StoreCall::Watch {
                kind: self.kind,
                since: known,
                wait: watch_time(self.kind),
            },
        }
    }

    /// Tells whether the last call was answered.
    pub fn was_answered(&self) -> bool {
        self.is_answered
    }

    /// Takes in an answer. Returns what was read and as of which version. After
    /// failures no pause is longer than `longest`.
    pub fn on_answer(
        &mut self,
        answer: StoreAnswer,
        longest: Millis,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<(Update, Revision)> {
        self.is_answered = answer.is_answered();
        match answer {
            StoreAnswer::Page {
                objects,
                more,
                revision,
            } => {
                self.failures = 0;
                self.on_page(objects, more, revision)
            }
            StoreAnswer::Changes { changes, revision } => {
                self.failures = 0;
                self.state = State::Watching;
                if !changes.is_empty() {
                    self.pause_until = now + gather_time(self.kind);
                }
                Some((Update::Changes(changes), revision))
            }
            StoreAnswer::HistoryGone => {
                // An old list would end in the same gap.
                self.state = State::from_start(false);
                None
            }
            // The last three answer calls that a reader does not make.
            StoreAnswer::Busy
            | StoreAnswer::NoAnswer
            | StoreAnswer::Contacts(_)
            | StoreAnswer::Registered
            | StoreAnswer::RegistrationConflict => {
                self.on_failure(longest, now, rng);
                None
            }
        }
    }

    fn on_page(
        &mut self,
        page: Vec<Object>,
        more: bool,
        revision: Revision,
    ) -> Option<(Update, Revision)> {
        let State::Listing {
            after,
            objects,
            lowest,
            ..
        } = &mut self.state
        else {
            return None;
        };
        let revision = lowest.map_or(revision, |l| l.min(revision));
        *lowest = Some(revision);
        let last = page.last().map(|o| o.name.clone());
        objects.extend(page);
        if more && last.is_some() {
            *after = last;
            return None;
        }
        let all = std::mem::take(objects);
        self.state = State::Watching;
        Some((Update::All(all), revision))
    }

    /// Tries again after a pause that grows and is spread so that the VMs do not
    /// call together.
    fn on_failure(&mut self, longest: Millis, now: Time, rng: &mut SmallRng) {
        if let State::Listing { allow_stale, .. } = self.state {
            self.state = State::from_start(allow_stale);
        }
        let pause = longest.0 >> DOUBLINGS.saturating_sub(self.failures);
        self.failures += 1;
        self.pause_until = now + Millis(rng.random_range(pause / 2..=pause));
    }
}
