//! Detection of backend servers that accept requests and answer none.
//!
//! Covers a backend server that says it is well, accepts connections and
//! acknowledges data, but whose requests hang. Neither retransmissions nor probes
//! show it. Several clients that wait far longer than usual while nobody is
//! answered do, so the evidence is summed over VMs: each reports the state of its
//! flows, and the hubs report their findings. Such a backend server gets no new
//! flow as long as others are left. Its open flows stay: their requests may have
//! run, and the answers may still come.

use hashbrown::{
    HashMap,
    HashSet, //
};

use super::{
    Steering,
    tag::Tag, //
};
use crate::{
    core::names::ServiceId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Minimum waiting time of a stalled flow.
const MIN_STALL_TIME: Millis = Millis(1_000);

/// Multiple of the usual response time after which a flow is stalled.
const STALL_FACTOR: f64 = 10.0;

/// Stalled flows that make a backend server count as stalled.
const MIN_STALLED_FLOWS: u32 = 2;

/// How long an answer shows that a backend server is not stalled.
const ANSWER_TIME: Millis = Millis(1_500);

/// How long a hub's report is valid without renewal.
const REPORT_TIME: Millis = Millis(600);

/// Interval between two evaluations.
const UPDATE_INTERVAL: Millis = Millis(250);

/// Largest part of a pool that may be avoided. If more of it stalls, the service is
/// slow rather than some of its backend servers.
const MAX_AVOIDED_PART: f64 = 1.0 / 3.0;

/// State of the flows of this VM, and backend servers found to be stalled.
#[derive(Debug, Default)]
pub struct Stalls {
    /// Last answer of each backend server.
    answered_at: HashMap<Tag, Time>,
    /// Number of stalled flows, if any, at the last evaluation.
    stalled_flows: HashMap<Tag, u32>,
    /// Findings of this VM.
    found: HashSet<Tag>,
    /// Findings of hubs, with the time until which they are valid.
    reported: HashMap<Tag, Time>,
    next_update: Time,
}

impl Stalls {
    /// Records an answer.
    pub fn record_answer(&mut self, tag: Tag, now: Time) {
        self.answered_at.insert(tag, now);
    }

    /// Records the findings of a hub.
    pub fn record_report(&mut self, tags: &[Tag], now: Time) {
        let until = now + REPORT_TIME;
        self.reported.extend(tags.iter().map(|tag| (*tag, until)));
    }

    /// Returns the number of stalled flows of this VM.
    pub fn stalled_flows(&self, tag: Tag) -> u32 {
        self.stalled_flows.get(&tag).copied().unwrap_or(0)
    }

    /// Returns whether a backend server has answered this VM recently.
    pub fn is_answering(&self, tag: Tag, now: Time) -> bool {
        let answered_at = self.answered_at.get(&tag);
        answered_at.is_some_and(|at| now.since(*at) < ANSWER_TIME)
    }

    /// Iterates over the findings of this VM.
    pub fn found(&self) -> impl Iterator<Item = Tag> {
        self.found.iter().copied()
    }

    /// Returns the backend servers of a pool that should get no new flow.
    pub fn avoided(&self, pool: &[Tag], now: Time) -> Vec<Tag> {
        if self.found.is_empty() && self.reported.is_empty() {
            return Vec::new();
        }
        let avoided = pool
            .iter()
            .copied()
            .filter(|tag| self.is_stalled(*tag, now));
        let avoided: Vec<Tag> = avoided.collect();
        match avoided.len() as f64 > MAX_AVOIDED_PART * pool.len() as f64 {
            true => Vec::new(),
            false => avoided,
        }
    }

    fn is_stalled(&self, tag: Tag, now: Time) -> bool {
        let until = self.reported.get(&tag);
        self.found.contains(&tag) || until.is_some_and(|until| now < *until)
    }
}

impl Steering {
    /// Evaluates the evidence if that is due.
    pub(super) fn update_stalls(&mut self, now: Time) {
        if now < self.stalls.next_update {
            return;
        }
        self.stalls.next_update = now + UPDATE_INTERVAL;
        self.stalls
            .answered_at
            .retain(|_, at| now.since(*at) < ANSWER_TIME);
        self.stalls.reported.retain(|_, until| now < *until);
        self.stalls.stalled_flows = self.count_stalled_flows(now);
        self.stalls.found = self.find_stalled(now);
    }

    fn count_stalled_flows(&self, now: Time) -> HashMap<Tag, u32> {
        let mut usual_times: HashMap<&ServiceId, Option<f64>> = HashMap::new();
        let mut counts = HashMap::new();
        for (tag, waited) in self.flows.waits(now).filter(|(_, t)| *t >= MIN_STALL_TIME) {
            let Some(entry) = self.directory.entry(tag) else {
                continue;
            };
            let service = &entry.server.service;
            let usual_time = usual_times.entry(service).or_insert_with(|| {
                self.response_times
                    .median(self.directory.pool(service), now)
            });
            if usual_time.is_some_and(|usual| waited.0 as f64 >= STALL_FACTOR * usual) {
                *counts.entry(tag).or_default() += 1;
            }
        }
        counts
    }

    fn find_stalled(&self, now: Time) -> HashSet<Tag> {
        let own = self.stalls.stalled_flows.keys().copied();
        let candidates: HashSet<Tag> = own.chain(self.remote_loads.stalled()).collect();
        let is_stalled = |tag: &Tag| {
            let others = self.remote_loads.load(*tag);
            let flows = self.stalls.stalled_flows(*tag) + others.stalled;
            let is_answering = self.stalls.is_answering(*tag, now) || others.answered > 0;
            flows >= MIN_STALLED_FLOWS && !is_answering
        };
        candidates.into_iter().filter(is_stalled).collect()
    }
}
