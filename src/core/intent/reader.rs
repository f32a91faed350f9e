//! The watch by which a few VMs of each data centre read the platform.

use rand::Rng;

use crate::{
    core::{
        cx::Cx,
        intent::{
            calls::{
                Calls,
                Purpose, //
            },
            platform::{
                CONFIGURATION_KEY,
                PlatformCallId,
                PlatformOp,
                PlatformOutcome, //
            },
            ranking::is_reader,
        },
        notice::Notice,
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How many VMs of each data centre watch the platform.
pub const READERS_PER_DATA_CENTRE: u64 = 2;

/// How long a watch waits for a change.
///
/// A watch that an outage swallowed is noticed after this long, so it bounds
/// how late a change is seen once the platform is back.
pub const WATCH_TIMEOUT: Millis = Millis::from_secs(4);

/// How much longer than its own time a watch may take.
const WATCH_GRACE: Millis = Millis::from_secs(1);

/// The shortest time between two watches that brought nothing new.
const RETRY_MIN: Millis = Millis::from_secs(2);

/// The longest such time.
const RETRY_MAX: Millis = Millis::from_secs(4);

/// The watch that is open.
#[derive(Clone, Copy, Debug)]
struct Open {
    id: PlatformCallId,
    until: Time,
}

/// The state machine that watches the platform.
#[derive(Debug, Default)]
pub(super) struct Reader {
    open: Option<Open>,
    not_before: Time,
    /// The version of the record that the platform showed last.
    version: u64,
    unreachable: bool,
    resumed: Time,
}

impl Reader {
    /// Tells whether the last watch had an answer.
    pub(super) fn is_reachable(&self) -> bool {
        !self.unreachable
    }

    /// Opens a watch when none is open and it is this VM's duty.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls) {
        self.notice_pause(cx);
        if let Some(open) = self.open {
            if cx.now < open.until {
                return;
            }
            self.open = None;
            self.set_unreachable(cx, true);
        }
        if cx.now < self.not_before || !is_reader(cx.view, READERS_PER_DATA_CENTRE) {
            return;
        }
        let op = PlatformOp::Watch {
            key: CONFIGURATION_KEY.to_owned(),
            version: self.version,
            timeout: WATCH_TIMEOUT,
        };
        let id = calls.send(cx, Purpose::Watch, op);
        let until = cx.now + WATCH_TIMEOUT + WATCH_GRACE;
        self.open = Some(Open { id, until });
    }

    /// Takes in the end of a watch.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        id: PlatformCallId,
        outcome: &PlatformOutcome,
    ) {
        if self.open.is_some_and(|open| open.id == id) {
            self.open = None;
        }
        match outcome {
            PlatformOutcome::Object(object) => {
                let is_new = object.version > self.version;
                self.version = object.version;
                self.on_answer(cx, is_new);
            }
            PlatformOutcome::Unchanged => self.on_answer(cx, true),
            PlatformOutcome::Absent => {
                self.version = 0;
                self.on_answer(cx, false);
            }
            PlatformOutcome::Conflict | PlatformOutcome::Refused(_) => self.on_answer(cx, false),
            PlatformOutcome::NoAnswer => {
                self.set_unreachable(cx, true);
                self.back_off(cx);
            }
        }
    }

    fn on_answer(&mut self, cx: &mut Cx<'_>, is_progress: bool) {
        self.set_unreachable(cx, false);
        if !is_progress {
            self.back_off(cx);
        }
    }

    fn back_off(&mut self, cx: &mut Cx<'_>) {
        let wait = Millis(cx.rng.random_range(RETRY_MIN.0..=RETRY_MAX.0));
        self.not_before = cx.now + wait;
    }

    /// After a pause the open watch may be long dead.
    fn notice_pause(&mut self, cx: &Cx<'_>) {
        if cx.view.resumed != self.resumed {
            self.resumed = cx.view.resumed;
            self.open = None;
            self.not_before = cx.now;
        }
    }

    fn set_unreachable(&mut self, cx: &mut Cx<'_>, unreachable: bool) {
        if self.unreachable == unreachable {
            return;
        }
        self.unreachable = unreachable;
        let notice = if unreachable {
            Notice::PlatformUnreachable
        } else {
            Notice::PlatformReachable
        };
        cx.note(notice, "");
    }
}
