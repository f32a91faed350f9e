//! What callers saw, for people and for scripts.

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
    flows::FlowEnd,
    requests::{
        Request,
        RequestEnd, //
    },
};

/// What callers saw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that got the whole answer.
    pub answered: u64,
    /// Requests that were given up after refusals.
    pub refused: u64,
    /// Requests that were told that their outcome is unknown.
    pub unknown: u64,
    /// Requests that got another request's answer, that were told a false
    /// "not run", or whose answer has no run behind it.
    pub wrong: u64,
    /// Requests that are not idempotent and ran more than once.
    pub doubled: u64,
    /// Flows that reached one backend server from first to last packet.
    pub kept: u64,
    /// Flows that lost their backend server.
    pub broken: u64,
    /// Flows that ended in a data centre that operators took out.
    pub given_up: u64,
    /// Flows that were refused when they opened.
    pub flows_refused: u64,
    /// Refusals by their text, with those that a repeat made good.
    pub refusals: BTreeMap<String, u64>,
    /// What broke the broken flows and made the wrong requests wrong.
    pub faults: Vec<String>,
    /// The median time to an answer, in milliseconds.
    pub latency_p50_ms: u64,
    /// The time to an answer that 99 of 100 requests keep, in milliseconds.
    pub latency_p99_ms: u64,
    /// The longest time to an answer, in milliseconds.
    pub latency_max_ms: u64,
}

impl Summary {
    /// Adds the end of a flow.
    pub(super) fn add_flow(&mut self, end: &FlowEnd) {
        match end {
            FlowEnd::Kept => self.kept += 1,
            FlowEnd::GivenUp => self.given_up += 1,
            FlowEnd::Refused => self.flows_refused += 1,
            FlowEnd::Broken(why) => {
                self.broken += 1;
                self.faults.push(format!("broken flow: {why}"));
            }
        }
    }

    /// Adds the end of a request.
    pub(super) fn add_request(&mut self, request: &Request) {
        for refusal in &request.refusals {
            *self.refusals.entry(refusal.clone()).or_default() += 1;
        }
        match &request.end {
            RequestEnd::Answered(_) => self.answered += 1,
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Unknown => self.unknown += 1,
            RequestEnd::Wrong(why) => self.add_wrong(&request.id, why),
        }
    }

    /// Adds a request that went wrong.
    pub(super) fn add_wrong(&mut self, id: &str, why: &str) {
        self.wrong += 1;
        self.faults.push(format!("wrong request {id}: {why}"));
    }

    /// Computes the latencies of the answered requests.
    pub(super) fn set_latencies(&mut self, histogram: &Histogram<u64>) {
        self.latency_p50_ms = histogram.value_at_quantile(0.50);
        self.latency_p99_ms = histogram.value_at_quantile(0.99);
        self.latency_max_ms = histogram.max();
    }

    /// Tells whether nothing broke, doubled or went wrong.
    pub fn is_clean(&self) -> bool {
        self.broken == 0 && self.doubled == 0 && self.wrong == 0
    }

    /// Adds the counts of `other`. The latencies become the worse of the two.
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
