//! Watches the record at the platform, on a few VMs of each data centre.

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
/// A watch that was lost in an outage is detected after this time, so it bounds
/// how late a change is seen once the platform is back.
pub const WATCH_TIMEOUT: Millis = Millis::from_secs(4);

/// How long the answer to a watch may take beyond the watch's own timeout.
const WATCH_GRACE: Millis = Millis::from_secs(1);

/// The minimum delay after a watch that failed or brought nothing new.
const MIN_BACKOFF: Millis = Millis::from_secs(2);

/// The maximum delay after a watch that failed or brought nothing new.
const MAX_BACKOFF: Millis = Millis::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct OpenWatch {
    id: PlatformCallId,
    until: Time,
}

/// The state machine that watches the platform.
#[derive(Debug, Default)]
pub(super) struct Reader {
    open: Option<OpenWatch>,
    not_before: Time,
    /// The version of the record that the platform showed last.
    version: u64,
    unreachable: bool,
    resumed: Time,
}

impl Reader {
    /// Returns whether the last watch was answered.
    pub(super) fn is_reachable(&self) -> bool {
        !self.unreachable
    }

    /// Opens a watch if none is open and this VM is a reader.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls) {
        self.detect_pause(cx);
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
        self.open = Some(OpenWatch { id, until });
    }

    /// Handles the outcome of a watch.
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
        let wait = Millis(cx.rng.random_range(MIN_BACKOFF.0..=MAX_BACKOFF.0));
        self.not_before = cx.now + wait;
    }

    /// Drops the open watch after a pause of this VM, during which it may have
    /// failed unnoticed.
    fn detect_pause(&mut self, cx: &Cx<'_>) {
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
