//! Results of a load, printed for people and stored as JSON for scripts.

use std::{
    collections::BTreeMap,
    fmt, //
};

use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    flows::FlowOutcome,
    requests::{
        Request,
        RequestOutcome, //
    },
};

/// Outcomes and latencies of the flows and requests of a load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that got their complete answer.
    pub answered: u64,
    /// Requests that were abandoned after refusals.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that got another request's answer, that ran although the answer
    /// said "not run", or that were answered and never ran. Also counts unreadable
    /// records and each backend server that got packets for another service.
    pub wrong: u64,
    /// Requests that ran more than once although they are not idempotent.
    pub doubled: u64,
    /// Flows whose packets all reached the same backend server.
    pub kept: u64,
    /// Flows that lost their backend server.
    pub broken: u64,
    /// Flows that failed after operators took their data centre out of service.
    pub given_up: u64,
    /// Flows whose first packet was refused or not answered.
    pub flows_refused: u64,
    /// The number of refusals by text, including those of requests that a retry
    /// completed.
    pub refusals: BTreeMap<String, u64>,
    /// Descriptions of broken flows and of doubled or wrong requests.
    pub faults: Vec<String>,
    /// The median latency of answered requests, in milliseconds.
    pub latency_p50_ms: u64,
    /// The 99th percentile of the latency, in milliseconds.
    pub latency_p99_ms: u64,
    /// The maximum latency, in milliseconds.
    pub latency_max_ms: u64,
}

impl Summary {
    /// Counts the outcome of a flow.
    pub(super) fn add_flow(&mut self, outcome: &FlowOutcome) {
        match outcome {
            FlowOutcome::Kept => self.kept += 1,
            FlowOutcome::GivenUp => self.given_up += 1,
            FlowOutcome::Refused => self.flows_refused += 1,
            FlowOutcome::Broken(reason) => {
                self.broken += 1;
                self.faults.push(format!("broken flow: {reason}"));
            }
        }
    }

    /// Counts the refusals and the outcome of a request.
    pub(super) fn add_request(&mut self, request: &Request) {
        for refusal in &request.refusals {
            *self.refusals.entry(refusal.clone()).or_default() += 1;
        }
        match &request.outcome {
            RequestOutcome::Answered(_) => self.answered += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Unknown => self.unknown += 1,
            RequestOutcome::Wrong(reason) => self.add_wrong(&request.id, reason),
        }
    }

    /// Counts a wrong request and records `reason` as its fault.
    pub(super) fn add_wrong(&mut self, id: &str, reason: &str) {
        self.wrong += 1;
        self.faults.push(format!("wrong request {id}: {reason}"));
    }

    /// Sets the latency percentiles from `histogram`, in milliseconds.
    pub(super) fn set_latencies(&mut self, histogram: &Histogram<u64>) {
        self.latency_p50_ms = histogram.value_at_quantile(0.50);
        self.latency_p99_ms = histogram.value_at_quantile(0.99);
        self.latency_max_ms = histogram.max();
    }

    /// Returns whether no flow broke and no request was doubled or wrong.
    pub fn is_clean(&self) -> bool {
        self.broken == 0 && self.doubled == 0 && self.wrong == 0
    }

    /// Adds the counts of `other` and keeps the higher of each two latencies.
    pub fn merge(&mut self, other: &Summary) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.doubled += other.doubled;
        self.kept += other.kept;
        self.broken += other.broken;
        self.given_up += other.given_up;
        self.flows_refused += other.flows_refused;
        for (refusal, count) in &other.refusals {
            *self.refusals.entry(refusal.clone()).or_default() += count;
        }
        self.faults.extend_from_slice(&other.faults);
        self.latency_p50_ms = self.latency_p50_ms.max(other.latency_p50_ms);
        self.latency_p99_ms = self.latency_p99_ms.max(other.latency_p99_ms);
        self.latency_max_ms = self.latency_max_ms.max(other.latency_max_ms);
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests answered, {} flows kept, {} broken, {} doubled, {} wrong",
            self.answered, self.kept, self.broken, self.doubled, self.wrong
        )
    }
}
