//! Health record of one backend server.

use std::net::SocketAddrV4;

use smallvec::SmallVec;

use super::{
    failure_detector::ProbeOutcome,
    packet::FlowId, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Retransmissions on a single flow that make a backend server suspect.
const MIN_RETRANSMITS: u8 = 2;

/// Flows with one retransmission each that make a backend server suspect.
const MIN_SILENT_FLOWS: usize = 2;

/// Reports from VMs in this data centre that make a backend server unreachable.
pub(super) const MIN_LOCAL_REPORTS: usize = 2;

/// Minimum interval between two probes of a backend server.
const PROBE_INTERVAL: Millis = Millis::from_secs(1);

/// The same while hubs of the data centre report it dead: they go on probing, and
/// stop their reports when it returns.
const REPORTED_PROBE_INTERVAL: Millis = Millis::from_secs(4);

/// How long a report of a hub holds without renewal.
const REPORT_TIME: Millis = Millis(600);

/// How long after a failed probe the flows of a dead backend server are reset
/// without another one.
const DEATH_TRUST_TIME: Millis = Millis(1_500);

/// How long an accepted probe overrides death reports of other VMs.
const ACCEPTANCE_TRUST_TIME: Millis = Millis::from_secs(3);

/// Health record of one backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct HealthRecord {
    /// Flows with retransmissions and the highest retransmission number of
    /// each.
    ///
    /// Invariant: at most [`MIN_SILENT_FLOWS`], those with most
    /// retransmissions.
    pub(super) silent: SmallVec<[(FlowId, u8); MIN_SILENT_FLOWS]>,
    pub(super) last_evidence: Time,
    pub(super) probe: ProbeState,
    /// Whether any other VM reports the backend server dead.
    pub(super) reported: bool,
    /// When a VM of this data centre last reported it dead.
    pub(super) last_local_report: Option<Time>,
    /// VMs of this data centre that report it dead.
    ///
    /// Invariant: at most [`MIN_LOCAL_REPORTS`], without duplicates.
    pub(super) local_reports: SmallVec<[SocketAddrV4; MIN_LOCAL_REPORTS]>,
    /// Whether clients wait for others of its data centre, so that it is probed before
    /// its own clients do.
    pub(super) is_watched: bool,
    /// Whether its whole data centre may be unreachable.
    pub(super) is_data_centre_suspect: bool,
    /// Whether flows that this VM placed there do not open.
    pub(super) unopened: bool,
    pub(super) dead: bool,
    /// When a probe last failed.
    pub(super) failed_at: Time,
    /// When it accepted a probe after it was dead. Until a flow opens or the store
    /// lists it, it may be another run, which ignores the flows of the former one.
    pub(super) unconfirmed_since: Option<Time>,
    /// Whether to probe now regardless of the probe interval.
    pub(super) probe_now: bool,
}

/// State of the last probe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ProbeState {
    #[default]
    NotSent,
    Pending {
        since: Time,
    },
    Finished {
        at: Time,
        outcome: ProbeOutcome,
    },
}

impl ProbeState {
    /// Returns whether the probe finished after `since`, with any outcome.
    pub(super) fn finished_after(self, since: Time) -> bool {
        matches!(self, ProbeState::Finished { at, .. } if at > since)
    }

    /// When it was sent or finished; [`Time::default`] if neither.
    pub(super) fn at(self) -> Time {
        match self {
            ProbeState::NotSent => Time::default(),
            ProbeState::Pending { since: at } | ProbeState::Finished { at, .. } => at,
        }
    }
}

/// Evidence against a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Number of flows with retransmissions, counted up to a limit.
    pub retransmitting_flows: usize,
    /// Highest retransmission number among these flows.
    pub max_retransmits: u8,
    /// Outcome of the last probe.
    pub probe: Option<ProbeOutcome>,
    /// Whether another VM reports it dead.
    pub reported: bool,
    /// Whether flows that this VM placed there do not open.
    pub unopened: bool,
}

impl HealthRecord {
    pub(super) fn evidence(&self) -> Evidence {
        let probe = match self.probe {
            ProbeState::Finished { outcome, .. } => Some(outcome),
            ProbeState::NotSent | ProbeState::Pending { .. } => None,
        };
        Evidence {
            retransmitting_flows: self.silent.len(),
            max_retransmits: self.silent.iter().map(|(_, n)| *n).max().unwrap_or(0),
            probe,
            reported: self.reported,
            unopened: self.unopened,
        }
    }

    pub(super) fn add_silent_flow(&mut self, flow: FlowId, retransmits: u8) {
        if let Some(entry) = self.silent.iter_mut().find(|(id, _)| *id == flow) {
            entry.1 = entry.1.max(retransmits);
            return;
        }
        if self.silent.len() < MIN_SILENT_FLOWS {
            self.silent.push((flow, retransmits));
            return;
        }
        if let Some(weakest) = self.silent.iter_mut().min_by_key(|(_, n)| *n)
            && weakest.1 < retransmits
        {
            *weakest = (flow, retransmits);
        }
    }

    fn strong_flows(&self) -> usize {
        self.silent
            .iter()
            .filter(|(_, retransmits)| *retransmits >= MIN_RETRANSMITS)
            .count()
    }

    /// Returns whether enough VMs with the same connectivity report it dead.
    pub(super) fn is_dead_by_local_reports(&self) -> bool {
        self.local_reports.len() >= MIN_LOCAL_REPORTS
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.reported || self.is_silent() || self.unconfirmed_since.is_some()
    }

    pub(super) fn mark_alive(&mut self, now: Time) {
        *self = HealthRecord {
            probe: ProbeState::Finished {
                at: now,
                outcome: ProbeOutcome::Accepted,
            },
            last_evidence: now,
            ..HealthRecord::default()
        };
    }

    /// Records an accepted probe.
    pub(super) fn accept_probe(&mut self, now: Time) {
        let was_dead = self.dead || self.is_dead_by_local_reports();
        let since = was_dead.then_some(now).or(self.unconfirmed_since);
        self.mark_alive(now);
        self.unconfirmed_since = since;
    }

    /// Returns whether it is dead and a probe has shown so recently.
    pub(super) fn is_dead_by_recent_probe(&self, now: Time) -> bool {
        self.dead && now.since(self.failed_at) < DEATH_TRUST_TIME
    }

    pub(super) fn was_recently_accepted(&self, now: Time) -> bool {
        let was_accepted = |outcome| outcome == ProbeOutcome::Accepted;
        matches!(self.probe, ProbeState::Finished { at, outcome }
            if was_accepted(outcome) && now.since(at) < ACCEPTANCE_TRUST_TIME)
    }

    pub(super) fn is_unreachable(&self) -> bool {
        let failed = [ProbeOutcome::Refused, ProbeOutcome::TimedOut];
        matches!(self.probe, ProbeState::Finished { outcome, .. } if failed.contains(&outcome))
    }

    /// Returns whether clients of this VM wait without an answer.
    pub(super) fn is_silent(&self) -> bool {
        self.unopened || self.silent.len() >= MIN_SILENT_FLOWS || self.strong_flows() > 0
    }

    /// Returns whether any client of this VM waits without an answer. A single packet
    /// may have been lost on the way.
    pub(super) fn has_silent_flow(&self) -> bool {
        self.unopened || !self.silent.is_empty()
    }

    /// Returns whether a client waits and a recent probe has failed.
    pub(super) fn is_likely_dead(&self, now: Time) -> bool {
        self.has_silent_flow() && self.has_failed_probe(now)
    }

    /// Returns whether the last probe has failed recently.
    pub(super) fn has_failed_probe(&self, now: Time) -> bool {
        self.is_unreachable() && now.since(self.failed_at) < DEATH_TRUST_TIME
    }

    /// Returns whether to probe now. `has_hubs` tells whether this VM may leave the
    /// probes of a dead backend server to the hubs of its data centre.
    pub(super) fn needs_probe(
        &self,
        is_relevant: impl Fn() -> bool,
        has_hubs: bool,
        now: Time,
    ) -> bool {
        let is_suspected = self.reported
            || self.is_watched
            || self.is_data_centre_suspect
            || self.is_unreachable()
            || self.unconfirmed_since.is_some();
        let is_due = self.probe_now
            || self.probe == ProbeState::NotSent
            || now.since(self.probe.at()) >= self.probe_interval(has_hubs, now);
        is_due && (self.has_silent_flow() || (is_suspected && is_relevant()))
    }

    fn probe_interval(&self, has_hubs: bool, now: Time) -> Millis {
        let is_recent = |at: Time| now.since(at) < REPORT_TIME;
        let is_reported = self.last_local_report.is_some_and(is_recent);
        match has_hubs && is_reported && (self.dead || self.is_unreachable()) {
            true => REPORTED_PROBE_INTERVAL,
            false => PROBE_INTERVAL,
        }
    }

    /// Updates `dead` and returns whether the backend server has just been
    /// found dead.
    pub(super) fn update_dead(&mut self) -> bool {
        if self.dead {
            return false;
        }
        self.dead = match self.probe {
            ProbeState::Finished {
                outcome: ProbeOutcome::Refused,
                ..
            } => {
                self.is_data_centre_suspect
                    || self.reported
                    || self.unopened
                    || !self.silent.is_empty()
            }
            ProbeState::Finished {
                outcome: ProbeOutcome::TimedOut,
                ..
            } => {
                self.is_data_centre_suspect
                    || self.is_silent()
                    || self.is_dead_by_local_reports()
                    || (self.reported && !self.silent.is_empty())
            }
            _ => false,
        };
        self.dead
    }
}
