//! Which backend servers do not react any more.
//!
//! Answers do not pass this VM. What shows that a backend server is dead are
//! clients who repeat themselves without progress, and a connection that it
//! does not accept. Only both together count, because a mistake would break the
//! flows of a backend server that lives: one that has much to do lets clients
//! repeat themselves, too, and a single connection may fail by chance.

use std::net::SocketAddrV4;

use hashbrown::HashMap;

use super::{
    evidence::{
        ENOUGH_REPORTS,
        Evidence,
        HealthRecord,
        Probe, //
    },
    packet::FlowId,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long evidence is kept.
const EVIDENCE_TIME: Millis = Millis::from_secs(3);

/// How long a backend server may take to accept a probe's connection.
pub const PROBE_TIMEOUT: Millis = Millis(120);

/// How many connections in a row have to time out.
pub const PROBE_ATTEMPTS: usize = 2;

/// The probes that a VM may send in a second.
const PROBES_PER_SECOND: f64 = 200.0;

/// The probes that it may send at once.
const PROBE_BURST: f64 = 256.0;

/// What a probe found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The connection was accepted.
    Accepted,
    /// It was refused.
    Refused,
    /// No attempt was answered within [`PROBE_TIMEOUT`].
    TimedOut,
    /// This VM had no time to see the answer, or could not ask.
    Unclear,
}

/// What this VM thinks of a backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthState {
    /// Nothing speaks against it.
    Trusted,
    /// It may be dead.
    Suspected,
    /// It does not accept connections of this VM or of those beside it, but no
    /// client of this VM waits in vain.
    Unreachable,
    /// It is dead.
    Dead,
}

/// The evidence against backend servers.
#[derive(Debug)]
pub struct FailureDetector {
    cases: HashMap<Tag, HealthRecord>,
    /// The probes that may be sent now.
    ///
    /// Invariant: at most [`PROBE_BURST`].
    allowance: f64,
    allowed_at: Time,
}

impl Default for FailureDetector {
    fn default() -> FailureDetector {
        FailureDetector {
            cases: HashMap::new(),
            allowance: PROBE_BURST,
            allowed_at: Time::default(),
        }
    }
}

impl FailureDetector {
    /// What this VM thinks of a backend server.
    pub fn standing(&self, tag: Tag) -> HealthState {
        match self.cases.get(&tag) {
            None => HealthState::Trusted,
            Some(case) if case.dead => HealthState::Dead,
            Some(case) if case.is_unreachable() || case.is_dead_beside() => {
                HealthState::Unreachable
            }
            Some(case) if case.is_suspect() => HealthState::Suspected,
            Some(_) => HealthState::Trusted,
        }
    }

    /// What speaks against a backend server.
    pub fn evidence(&self, tag: Tag) -> Evidence {
        self.cases
            .get(&tag)
            .map(HealthRecord::evidence)
            .unwrap_or_default()
    }

    /// The backend servers that are dead.
    pub fn dead(&self) -> impl Iterator<Item = Tag> {
        self.cases
            .iter()
            .filter(|(_, case)| case.dead)
            .map(|(tag, _)| *tag)
    }

    /// Notes that a backend server has answered.
    pub fn acquit(&mut self, tag: Tag, now: Time) {
        if let Some(case) = self.cases.get_mut(&tag) {
            case.acquit(now);
        }
    }

    /// Forgets all about a backend server that ended.
    pub fn forget(&mut self, tag: Tag) {
        self.cases.remove(&tag);
    }

    /// Notes that a client repeats itself. Returns whether this shows that the
    /// backend server is dead.
    pub fn accuse(&mut self, tag: Tag, flow: FlowId, repeats: u8, now: Time) -> bool {
        let case = self.cases.entry(tag).or_default();
        case.last_evidence = now;
        case.add(flow, repeats);
        case.decide()
    }

    /// Notes that the VM `from` says that a backend server is dead. `is_beside`
    /// tells whether that VM stands in this one's data centre.
    pub fn report(&mut self, tag: Tag, from: SocketAddrV4, is_beside: bool, now: Time) {
        let case = self.cases.entry(tag).or_default();
        case.last_evidence = now;
        if case.was_accepted_of_late(now) {
            // The other VM may not have noticed yet.
            case.reported = false;
            case.reported_beside.clear();
            return;
        }
        case.reported = true;
        let beside = &mut case.reported_beside;
        if is_beside && beside.len() < ENOUGH_REPORTS && !beside.contains(&from) {
            beside.push(from);
        }
    }

    /// Notes that the data centre of a backend server may be out of reach.
    pub fn doubt_place(&mut self, tag: Tag, now: Time) {
        let case = self.cases.entry(tag).or_default();
        case.last_evidence = now;
        case.place_in_doubt = true;
    }

    /// Notes that flows placed at a backend server do not open. Returns whether
    /// that is news.
    pub fn doubt_unopened(&mut self, tag: Tag, now: Time) -> bool {
        let case = self.cases.entry(tag).or_default();
        case.last_evidence = now;
        !std::mem::replace(&mut case.unopened, true)
    }

    /// Notes what a probe found. Returns whether this shows that the backend
    /// server is dead.
    pub fn probed(&mut self, tag: Tag, outcome: ProbeOutcome, now: Time) -> bool {
        let Some(case) = self.cases.get_mut(&tag) else {
            return false;
        };
        case.probe = Probe::Answered { at: now, outcome };
        if outcome == ProbeOutcome::Accepted {
            case.acquit(now);
        }
        case.decide()
    }

    /// Returns the backend servers to probe now: those that clients of this VM
    /// wait for, and others that are doubted and `concern` this VM. Those that
    /// were probed longest ago come first if there are too many.
    pub fn take_probes(&mut self, concerns: impl Fn(Tag) -> bool, now: Time) -> Vec<Tag> {
        let earned = PROBES_PER_SECOND * now.since(self.allowed_at).0 as f64 / 1_000.0;
        self.allowance = PROBE_BURST.min(self.allowance + earned);
        self.allowed_at = now;
        let wanted = self
            .cases
            .iter()
            .filter(|(tag, case)| case.wants_probe(|| concerns(**tag), now));
        let mut due: Vec<(bool, Time, Tag)> = wanted
            .map(|(tag, case)| (!case.is_silent(), case.probe.at(), *tag))
            .collect();
        due.sort_unstable();
        due.truncate(self.allowance as usize);
        self.allowance -= due.len() as f64;
        for (_, _, tag) in &due {
            if let Some(case) = self.cases.get_mut(tag) {
                case.probe = Probe::Asked { since: now };
                case.is_due = false;
            }
        }
        due.into_iter().map(|(_, _, tag)| tag).collect()
    }

    /// Has a doubted backend server probed anew.
    pub fn probe_again(&mut self, tag: Tag) {
        if let Some(case) = self.cases.get_mut(&tag) {
            case.is_due = true;
        }
    }

    /// Tells whether the last probe of a backend server was answered, or failed,
    /// after `since`.
    pub fn probed_after(&self, tag: Tag, since: Time) -> bool {
        self.cases
            .get(&tag)
            .is_some_and(|case| case.probe.answered_after(since))
    }

    /// Drops evidence that was not renewed, unless probes renew it.
    pub fn sweep(&mut self, concerns: impl Fn(Tag) -> bool, now: Time) {
        self.cases.retain(|tag, case| {
            let is_recent = now.since(case.last_evidence) < EVIDENCE_TIME;
            is_recent || (case.is_unreachable() && concerns(*tag))
        });
    }
}
