//! State of the path to one data centre.

use super::{
    super::handshakes::late_after,
    late_handshakes::LateHandshakes, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// A loss that ends sooner is logged as ended only then, which bounds the number of
/// events while a data centre is overloaded and its handshakes fail by turns.
const MIN_LOGGED_TIME: Millis = Millis(1_000);

/// Time from a loss to the second log entry of its evidence. VMs without power are
/// then no longer heard elsewhere.
const CONFIRM_AFTER: Millis = Millis(3_000);

/// Path to one data centre.
#[derive(Debug, Default)]
pub(super) struct Path {
    /// Moving average of the handshake times in milliseconds.
    pub(super) mean_ms: Option<f64>,
    /// Latest time at which the path is known to have worked.
    pub(super) worked_at: Option<Time>,
    /// When a hub last reported that the path works again. Earlier handshakes do not
    /// count for the verdict of this VM alone.
    pub(super) cleared_at: Time,
    pub(super) late: LateHandshakes,
    /// Number of late backend servers that the hubs were told of.
    pub(super) notified: usize,
    /// Verdict of this VM alone: when the first of the late packets was sent.
    pub(super) lost_here: Option<Time>,
    /// Verdict for all VMs of this data centre, if this VM sends them.
    pub(super) lost_to_all: Option<Time>,
    /// When a hub first reported the loss, and until when the report is valid.
    pub(super) reported: Option<(Time, Time)>,
    /// Since when the loss is logged.
    pub(super) logged_since: Option<Time>,
    /// When the evidence is logged again. The silence of VMs shows only later.
    pub(super) confirm_at: Option<Time>,
    /// When another data centre last heard VMs of the data centre.
    pub(super) heard_elsewhere: Option<Time>,
    pub(super) next_probe: Time,
    pub(super) next_trial: Time,
}

impl Path {
    pub(super) fn has_worked_since(&self, since: Time) -> bool {
        self.worked_at.is_some_and(|at| at >= since)
    }

    pub(super) fn record_working(&mut self, at: Time) {
        self.worked_at = self.worked_at.max(Some(at));
    }

    /// Returns whether a hub reports the loss, and no flow of this VM shows that its
    /// own path works.
    pub(super) fn is_reported_lost(&self, now: Time) -> bool {
        self.reported
            .is_some_and(|(since, until)| now < until && !self.has_worked_since(since))
    }

    pub(super) fn is_lost(&self, now: Time) -> bool {
        self.lost_here.is_some() || self.lost_to_all.is_some() || self.is_reported_lost(now)
    }

    pub(super) fn take_change(&mut self, is_sender: bool, now: Time) -> Option<Change> {
        match (self.is_lost(now), self.logged_since) {
            (true, None) => {
                self.logged_since = Some(now);
                self.confirm_at = Some(now + CONFIRM_AFTER);
                Some(Change::Lost)
            }
            (true, Some(_)) if is_sender => {
                let is_due = |at: &mut Time| now >= *at;
                self.confirm_at.take_if(is_due).map(|_| Change::Confirmed)
            }
            (false, Some(since)) if now.since(since) >= MIN_LOGGED_TIME => {
                self.logged_since = None;
                let lost_for = now.since(since);
                Some(Change::Restored { lost_for })
            }
            _ => None,
        }
    }

    /// Returns whether this VM has to find out whether the path works again.
    pub(super) fn needs_trial(&self, now: Time) -> bool {
        self.lost_to_all.is_some() || (self.lost_here.is_some() && !self.is_reported_lost(now))
    }

    pub(super) fn late_after(&self, at_least: Millis) -> Millis {
        late_after(self.mean_ms).max(at_least)
    }
}

/// Change of a path, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Lost,
    /// The path is still lost, and more may be known of the reason.
    Confirmed,
    Restored {
        lost_for: Millis,
    },
}
