//! Detection of backend servers that no longer respond.
//!
//! Return traffic bypasses this VM. The evidence is clients that retransmit
//! without progress, and probes that the backend server does not accept. Both
//! are required, because a false positive breaks the flows of a live backend
//! server: an overloaded one also causes retransmissions, and a single
//! connection attempt may fail by chance.

use std::net::SocketAddrV4;

use hashbrown::HashMap;

use super::{
    evidence::{
        Evidence,
        HealthRecord,
        MIN_LOCAL_REPORTS,
        ProbeState, //
    },
    packet::FlowId,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long evidence is kept without renewal.
const EVIDENCE_RETENTION: Millis = Millis::from_secs(3);

/// How long a backend server that nothing confirms is doubted.
const MAX_UNCONFIRMED_TIME: Millis = Millis::from_secs(30);

/// Time limit for a probe's connection attempt.
pub const PROBE_TIMEOUT: Millis = Millis(120);

/// How recently a backend server must have accepted a probe to show that the link of
/// this VM works.
const LINK_TRUST_TIME: Millis = Millis(300);

/// Attempts in a row that must time out.
pub const PROBE_ATTEMPTS: usize = 2;

/// Probe rate limit of a VM.
const MAX_PROBES_PER_SECOND: f64 = 200.0;

/// Maximum number of probes sent at once.
const MAX_PROBE_BURST: f64 = 256.0;

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The connection was accepted.
    Accepted,
    /// The connection was refused.
    Refused,
    /// No attempt was answered within [`PROBE_TIMEOUT`].
    TimedOut,
    /// This VM was too busy to see the answer, could not send the probe, or is cut off
    /// from the backend server's data centre.
    Unclear,
}

/// Health of a backend server as seen by this VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthState {
    /// No evidence against it.
    Healthy,
    /// It may be dead.
    Suspect,
    /// It does not accept connections from this VM or from others in this data
    /// centre, but no client of this VM waits for it.
    Unreachable,
    /// It is dead.
    Dead,
}

/// Health records of backend servers and the probe rate limiter.
#[derive(Debug)]
pub struct FailureDetector {
    records: HashMap<Tag, HealthRecord>,
    /// When any backend server last accepted a probe.
    accepted_at: Option<Time>,
    /// Probes that may be sent now.
    ///
    /// Invariant: at most [`MAX_PROBE_BURST`].
    probe_tokens: f64,
    tokens_at: Time,
}

impl Default for FailureDetector {
    fn default() -> FailureDetector {
        FailureDetector {
            records: HashMap::new(),
            accepted_at: None,
            probe_tokens: MAX_PROBE_BURST,
            tokens_at: Time::default(),
        }
    }
}

impl FailureDetector {
    /// Returns the health of a backend server.
    pub fn health(&self, tag: Tag) -> HealthState {
        match self.records.get(&tag) {
            None => HealthState::Healthy,
            Some(record) if record.dead => HealthState::Dead,
            Some(record) if record.is_unreachable() || record.is_dead_by_local_reports() => {
                HealthState::Unreachable
            }
            Some(record) if record.is_suspect() => HealthState::Suspect,
            Some(_) => HealthState::Healthy,
        }
    }

    /// Returns the evidence against a backend server.
    pub fn evidence(&self, tag: Tag) -> Evidence {
        self.records
            .get(&tag)
            .map(HealthRecord::evidence)
            .unwrap_or_default()
    }

    /// Iterates over the dead backend servers.
    pub fn dead(&self) -> impl Iterator<Item = Tag> {
        self.records
            .iter()
            .filter(|(_, record)| record.dead)
            .map(|(tag, _)| *tag)
    }

    /// Returns whether a backend server is dead and a probe has shown so recently.
    /// It may have returned since an earlier probe, for instance when a cut ended,
    /// and hold flows that other VMs opened.
    pub fn is_dead_by_recent_probe(&self, tag: Tag, now: Time) -> bool {
        let record = self.records.get(&tag);
        record.is_some_and(|r| r.is_dead_by_recent_probe(now))
    }

    /// Returns whether a backend server that was dead accepts probes, but may be
    /// another run at the same address.
    pub fn is_unconfirmed(&self, tag: Tag) -> bool {
        let record = self.records.get(&tag);
        record.is_some_and(|r| r.unconfirmed_since.is_some())
    }

    /// Iterates over the backend servers that other VMs should not use: dead and
    /// unconfirmed ones.
    pub fn dead_or_unconfirmed(&self) -> impl Iterator<Item = Tag> {
        self.records
            .iter()
            .filter(|(_, record)| record.dead || record.unconfirmed_since.is_some())
            .map(|(tag, _)| *tag)
    }

    /// Ends the doubt about backend servers that accepted a probe before the store
    /// was known to list them, `as_of`, or long ago.
    pub fn confirm(&mut self, as_of: Time, now: Time) {
        for record in self.records.values_mut() {
            let is_over = |at: Time| as_of > at || now.since(at) >= MAX_UNCONFIRMED_TIME;
            record.unconfirmed_since.take_if(|at| is_over(*at));
        }
    }

    /// Clears the evidence against a backend server that has answered.
    pub fn mark_alive(&mut self, tag: Tag, now: Time) {
        if let Some(record) = self.records.get_mut(&tag) {
            record.mark_alive(now);
        }
    }

    /// Removes the record of a backend server that has ended.
    pub fn remove(&mut self, tag: Tag) {
        self.records.remove(&tag);
    }

    /// Records a client retransmission. Returns whether the backend server has
    /// just been found dead.
    pub fn record_retransmit(
        &mut self,
        tag: Tag,
        flow: FlowId,
        retransmits: u8,
        now: Time,
    ) -> bool {
        let record = self.records.entry(tag).or_default();
        record.last_evidence = now;
        record.add_silent_flow(flow, retransmits);
        record.update_dead()
    }

    /// Records that the VM `from` reports a backend server dead. `is_local`
    /// tells whether that VM is in this data centre.
    pub fn record_report(&mut self, tag: Tag, from: SocketAddrV4, is_local: bool, now: Time) {
        let record = self.records.entry(tag).or_default();
        record.last_evidence = now;
        if record.was_recently_accepted(now) {
            // The other VM may not know of the accepted probe yet.
            record.reported = false;
            record.local_reports.clear();
            return;
        }
        record.reported = true;
        if is_local {
            record.last_local_report = Some(now);
        }
        let reports = &mut record.local_reports;
        if is_local && reports.len() < MIN_LOCAL_REPORTS && !reports.contains(&from) {
            reports.push(from);
        }
    }

    /// Drops the death reports of other VMs. Those that still hold are renewed by the
    /// next heartbeats.
    pub fn drop_reports(&mut self, tag: Tag) {
        if let Some(record) = self.records.get_mut(&tag) {
            record.reported = false;
            record.local_reports.clear();
        }
    }

    /// Records that the data centre of a backend server may be unreachable. Returns
    /// whether the backend server has just been found dead by an earlier probe.
    pub fn suspect_data_centre(&mut self, tag: Tag, now: Time) -> bool {
        let record = self.records.entry(tag).or_default();
        record.last_evidence = now;
        record.is_data_centre_suspect = true;
        record.has_failed_probe(now) && record.update_dead()
    }

    /// Schedules a probe of a backend server although none of its own clients waits.
    pub fn watch(&mut self, tag: Tag, now: Time) {
        let record = self.records.entry(tag).or_default();
        record.last_evidence = now;
        record.is_watched = true;
    }

    /// Returns whether a client of this VM waits for a backend server.
    pub fn has_silent_flow(&self, tag: Tag) -> bool {
        let record = self.records.get(&tag);
        record.is_some_and(HealthRecord::has_silent_flow)
    }

    /// Returns whether a client waits for a backend server that does not accept probes.
    pub fn is_likely_dead(&self, tag: Tag, now: Time) -> bool {
        let record = self.records.get(&tag);
        record.is_some_and(|r| r.is_likely_dead(now))
    }

    /// Returns whether the link of this VM works, by a probe that any backend server has
    /// accepted. Answers to clients do not show it: they pass the link in one direction
    /// only, and a long queue in the other delays probes and requests alike.
    pub fn is_link_working(&self, now: Time) -> bool {
        self.accepted_at
            .is_some_and(|at| now.since(at) < LINK_TRUST_TIME)
    }

    /// Records that flows to a backend server do not open. Returns whether this
    /// is new.
    pub fn record_unopened(&mut self, tag: Tag, now: Time) -> bool {
        let record = self.records.entry(tag).or_default();
        record.last_evidence = now;
        !std::mem::replace(&mut record.unopened, true)
    }

    /// Records a probe outcome. Returns whether the backend server has just
    /// been found dead.
    pub fn on_probe(&mut self, tag: Tag, outcome: ProbeOutcome, now: Time) -> bool {
        if outcome == ProbeOutcome::Accepted {
            self.accepted_at = Some(now);
        }
        let Some(record) = self.records.get_mut(&tag) else {
            return false;
        };
        record.probe = ProbeState::Finished { at: now, outcome };
        match outcome {
            ProbeOutcome::Accepted => record.accept_probe(now),
            ProbeOutcome::Refused | ProbeOutcome::TimedOut => record.failed_at = now,
            ProbeOutcome::Unclear => {}
        }
        record.update_dead()
    }

    /// Takes the backend servers to probe now: those that clients of this VM
    /// wait for first, then suspects for which `is_relevant` holds. Within each
    /// group, those probed longest ago come first when the rate limit applies.
    /// `has_hubs` tells whether hubs of this data centre probe as well.
    pub fn take_probes(
        &mut self,
        is_relevant: impl Fn(Tag) -> bool,
        has_hubs: bool,
        now: Time,
    ) -> Vec<Tag> {
        let refill = MAX_PROBES_PER_SECOND * now.since(self.tokens_at).0 as f64 / 1_000.0;
        self.probe_tokens = MAX_PROBE_BURST.min(self.probe_tokens + refill);
        self.tokens_at = now;
        let wanted = self
            .records
            .iter()
            .filter(|(tag, record)| record.needs_probe(|| is_relevant(**tag), has_hubs, now));
        let mut due: Vec<(bool, Time, Tag)> = wanted
            .map(|(tag, record)| (!record.has_silent_flow(), record.probe.at(), *tag))
            .collect();
        due.sort_unstable();
        due.truncate(self.probe_tokens as usize);
        self.probe_tokens -= due.len() as f64;
        for (_, _, tag) in &due {
            if let Some(record) = self.records.get_mut(tag) {
                record.probe = ProbeState::Pending { since: now };
                record.probe_now = false;
            }
        }
        due.into_iter().map(|(_, _, tag)| tag).collect()
    }

    /// Requests an immediate probe if there is evidence against the backend
    /// server.
    pub fn request_probe(&mut self, tag: Tag) {
        if let Some(record) = self.records.get_mut(&tag) {
            record.probe_now = true;
        }
    }

    /// Returns whether the last probe of a backend server finished after
    /// `since`, with any outcome.
    pub fn probe_finished_after(&self, tag: Tag, since: Time) -> bool {
        self.records
            .get(&tag)
            .is_some_and(|record| record.probe.finished_after(since))
    }

    /// Drops evidence that was not renewed, except where probes keep renewing
    /// it.
    pub fn sweep(&mut self, is_relevant: impl Fn(Tag) -> bool, now: Time) {
        self.records.retain(|tag, record| {
            let is_recent = now.since(record.last_evidence) < EVIDENCE_RETENTION;
            let is_unconfirmed = record.unconfirmed_since.is_some();
            is_recent || is_unconfirmed || (record.is_unreachable() && is_relevant(*tag))
        });
    }
}
