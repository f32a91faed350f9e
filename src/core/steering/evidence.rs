//! The evidence against one backend server.

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

/// Repeats on one flow that make a backend server suspect.
const STRONG_REPEATS: u8 = 2;

/// Flows with a repeat each that make a backend server suspect.
const ENOUGH_FLOWS: usize = 2;

/// VMs of this one's data centre on whose word a backend server is out of reach.
pub(super) const ENOUGH_REPORTS: usize = 2;

/// The time between two probes of a backend server.
const PROBE_INTERVAL: Millis = Millis::from_secs(1);

/// How long a backend server that accepted a connection is believed against
/// other VMs.
const TRUST_TIME: Millis = Millis::from_secs(3);

/// The evidence against one backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct HealthRecord {
    /// The flows whose clients repeat themselves, with the last repeat's number.
    ///
    /// Invariant: at most [`ENOUGH_FLOWS`], the most repeated.
    pub(super) silent: SmallVec<[(FlowId, u8); ENOUGH_FLOWS]>,
    pub(super) last_evidence: Time,
    pub(super) probe: Probe,
    /// Whether any other VM says that the backend server is dead.
    pub(super) reported: bool,
    /// The VMs of this one's data centre that say so.
    ///
    /// Invariant: at most [`ENOUGH_REPORTS`], each once.
    pub(super) reported_beside: SmallVec<[SocketAddrV4; ENOUGH_REPORTS]>,
    /// Whether its whole data centre may be out of reach.
    pub(super) place_in_doubt: bool,
    /// Whether the flows that this VM placed there do not open.
    pub(super) unopened: bool,
    pub(super) dead: bool,
    /// Whether it is to be probed now, however long ago it was.
    pub(super) is_due: bool,
}

/// The last probe of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Probe {
    #[default]
    NotAsked,
    Asked {
        since: Time,
    },
    Answered {
        at: Time,
        outcome: ProbeOutcome,
    },
}

impl Probe {
    /// Tells whether it was answered, or failed, after `since`.
    pub(super) fn answered_after(self, since: Time) -> bool {
        matches!(self, Probe::Answered { at, .. } if at > since)
    }

    /// When it was sent or answered; the start of time if neither.
    pub(super) fn at(self) -> Time {
        match self {
            Probe::NotAsked => Time::default(),
            Probe::Asked { since: at } | Probe::Answered { at, .. } => at,
        }
    }
}

/// What speaks against a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// The flows whose clients repeat themselves, as far as they are counted.
    pub retransmitting_flows: usize,
    /// The most repeats among these.
    pub max_retransmits: u8,
    /// What the last probe found.
    pub probe: Option<ProbeOutcome>,
    /// Whether another VM holds it for dead.
    pub reported: bool,
    /// Whether the flows that this VM placed there do not open.
    pub unopened: bool,
}

impl HealthRecord {
    pub(super) fn evidence(&self) -> Evidence {
        let probe = match self.probe {
            Probe::Answered { outcome, .. } => Some(outcome),
            Probe::NotAsked | Probe::Asked { .. } => None,
        };
        Evidence {
            retransmitting_flows: self.silent.len(),
            max_retransmits: self.silent.iter().map(|(_, n)| *n).max().unwrap_or(0),
            probe,
            reported: self.reported,
            unopened: self.unopened,
        }
    }

    pub(super) fn add(&mut self, flow: FlowId, repeats: u8) {
        if let Some(known) = self.silent.iter_mut().find(|(id, _)| *id == flow) {
            known.1 = known.1.max(repeats);
            return;
        }
        if self.silent.len() < ENOUGH_FLOWS {
            self.silent.push((flow, repeats));
            return;
        }
        if let Some(weakest) = self.silent.iter_mut().min_by_key(|(_, n)| *n)
            && weakest.1 < repeats
        {
            *weakest = (flow, repeats);
        }
    }

    fn strong(&self) -> usize {
        self.silent
            .iter()
            .filter(|(_, repeats)| *repeats >= STRONG_REPEATS)
            .count()
    }

    /// Tells whether VMs that reach what this one does say that it is dead.
    pub(super) fn is_dead_beside(&self) -> bool {
        self.reported_beside.len() >= ENOUGH_REPORTS
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.reported || self.is_silent()
    }

    pub(super) fn acquit(&mut self, now: Time) {
        *self = HealthRecord {
            probe: Probe::Answered {
                at: now,
                outcome: ProbeOutcome::Accepted,
            },
            last_evidence: now,
            ..HealthRecord::default()
        };
    }

    pub(super) fn was_accepted_of_late(&self, now: Time) -> bool {
        let was_accepted = |outcome| outcome == ProbeOutcome::Accepted;
        matches!(self.probe, Probe::Answered { at, outcome }
            if was_accepted(outcome) && now.since(at) < TRUST_TIME)
    }

    pub(super) fn is_unreachable(&self) -> bool {
        let failed = [ProbeOutcome::Refused, ProbeOutcome::TimedOut];
        matches!(self.probe, Probe::Answered { outcome, .. } if failed.contains(&outcome))
    }

    /// Tells whether clients of this VM wait in vain.
    pub(super) fn is_silent(&self) -> bool {
        self.unopened || self.silent.len() >= ENOUGH_FLOWS || self.strong() > 0
    }

    pub(super) fn wants_probe(&self, concerns: impl Fn() -> bool, now: Time) -> bool {
        let is_doubted = self.reported || self.place_in_doubt || self.is_unreachable();
        let is_due = self.is_due
            || self.probe == Probe::NotAsked
            || now.since(self.probe.at()) >= PROBE_INTERVAL;
        is_due && (self.is_silent() || (is_doubted && concerns()))
    }

    /// Returns whether the backend server has just turned out to be dead.
    pub(super) fn decide(&mut self) -> bool {
        if self.dead {
            return false;
        }
        self.dead = match self.probe {
            Probe::Answered {
                outcome: ProbeOutcome::Refused,
                ..
            } => self.place_in_doubt || self.reported || self.unopened || !self.silent.is_empty(),
            Probe::Answered {
                outcome: ProbeOutcome::TimedOut,
                ..
            } => {
                self.place_in_doubt
                    || self.is_silent()
                    || self.is_dead_beside()
                    || (self.reported && !self.silent.is_empty())
            }
            _ => false,
        };
        self.dead
    }
}
