//! Checker for request histories.
//!
//! It uses only the records of callers and backend servers, and no state of the
//! system between them.

use std::collections::BTreeMap;

use derive_more::Display;
use dragonflytrack::{
    core::request::{
        Answer,
        CallId, //
    },
    kernel::clock::Time,
};

use crate::backend::FakeBackend;

/// Identifier of a caller's operation, shared by all retries of its request.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("op {_0}")]
pub struct OpId(pub u64);

/// Identifier of one request sent by a caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// Index of the VM in the fleet.
    pub vm: usize,
    /// Call number on that VM.
    pub call: CallId,
}

/// Final answer as a caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Body of a backend server's answer.
    Answered(String),
    /// The request is reported as not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// This call was rejected; other calls of the operation may have run.
    Rejected,
}

/// An event recorded by a caller or a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// A caller sent a request.
    Sent {
        /// Identifies the request.
        request_id: RequestId,
        /// Operation that the request belongs to.
        op: OpId,
        /// Whether running it twice is harmless.
        idempotent: bool,
    },
    /// A caller received a final answer.
    Answer {
        /// Identifies the request.
        request_id: RequestId,
        /// Content of the answer.
        outcome: Outcome,
    },
    /// A caller hung up, or its connection was lost.
    GaveUp {
        /// Identifies the request.
        request_id: RequestId,
    },
    /// A backend server ran a request.
    Run {
        /// Start of the run.
        at: Time,
        /// Operation that was run.
        op: OpId,
    },
}

/// A broken guarantee.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// A non-idempotent request ran twice.
    DoubleRun(OpId),
    /// A request was reported as not run, but ran.
    FalseNotRun(OpId),
    /// A caller that did not hang up got no final answer.
    MissingAnswer(RequestId),
    /// A caller got more than one final answer.
    DuplicateAnswer(RequestId),
    /// A caller got the answer to a different request.
    WrongAnswer(RequestId),
    /// A caller got the answer of a request that no backend server ran.
    SpuriousAnswer(RequestId),
}

#[derive(Debug, Default)]
struct Request {
    op: Option<OpId>,
    outcomes: Vec<Outcome>,
    gave_up: bool,
}

/// Records of callers and backend servers.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// In any order.
    pub records: Vec<Record>,
}

impl OpId {
    /// Formats the identifier as a request body.
    pub fn body(self) -> String {
        self.to_string()
    }

    /// Parses the identifier from a request body.
    pub fn from_body(body: &[u8]) -> Option<OpId> {
        let text = std::str::from_utf8(body).ok()?;
        text.strip_prefix("op ")?.parse().ok().map(OpId)
    }
}

impl Outcome {
    /// Returns what `answer` says to a caller.
    pub fn of(answer: &Answer) -> Outcome {
        match answer {
            Answer::Answered(response) => {
                Outcome::Answered(String::from_utf8_lossy(&response.body).into_owned())
            }
            Answer::NotRun { .. } => Outcome::NotRun,
            Answer::Unknown { .. } => Outcome::Unknown,
            Answer::TicketNeeded { .. }
            | Answer::TicketInvalid
            | Answer::TicketMismatch
            | Answer::BodyTooLarge => Outcome::Rejected,
        }
    }
}

impl History {
    /// Adds the runs recorded by the backend servers.
    pub fn add_runs(&mut self, backends: &[FakeBackend]) {
        let runs = backends.iter().flat_map(|b| &b.runs);
        for run in runs {
            if let Some(op) = OpId::from_body(&run.body) {
                self.records.push(Record::Run { at: run.at, op });
            }
        }
    }

    /// Returns all violations, sorted and without duplicates.
    pub fn check(&self) -> Vec<Violation> {
        let runs = self.runs();
        let mut violations = self.check_runs(&runs);
        for (request_id, request) in self.requests() {
            violations.extend(check_request(request_id, &request, &runs));
        }
        violations.sort();
        violations.dedup();
        violations
    }

    fn runs(&self) -> BTreeMap<OpId, usize> {
        let mut runs = BTreeMap::new();
        for record in &self.records {
            if let Record::Run { op, .. } = record {
                *runs.entry(*op).or_default() += 1;
            }
        }
        runs
    }

    fn requests(&self) -> BTreeMap<RequestId, Request> {
        let mut requests: BTreeMap<RequestId, Request> = BTreeMap::new();
        for record in &self.records {
            match record {
                Record::Sent { request_id, op, .. } => {
                    requests.entry(*request_id).or_default().op = Some(*op)
                }
                Record::Answer {
                    request_id,
                    outcome,
                } => {
                    requests
                        .entry(*request_id)
                        .or_default()
                        .outcomes
                        .push(outcome.clone());
                }
                Record::GaveUp { request_id } => {
                    requests.entry(*request_id).or_default().gave_up = true
                }
                Record::Run { .. } => {}
            }
        }
        requests
    }

    fn check_runs(&self, runs: &BTreeMap<OpId, usize>) -> Vec<Violation> {
        let mut violations = Vec::new();
        for record in &self.records {
            let Record::Sent { op, idempotent, .. } = record else {
                continue;
            };
            if !idempotent && runs.get(op).is_some_and(|n| *n > 1) {
                violations.push(Violation::DoubleRun(*op));
            }
        }
        violations
    }
}

fn check_request(
    request_id: RequestId,
    request: &Request,
    runs: &BTreeMap<OpId, usize>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    match request.outcomes.len() {
        0 if !request.gave_up => violations.push(Violation::MissingAnswer(request_id)),
        0 | 1 => {}
        _ => violations.push(Violation::DuplicateAnswer(request_id)),
    }
    let Some(op) = request.op else {
        // No such request was sent.
        violations.push(Violation::WrongAnswer(request_id));
        return violations;
    };
    let ran = runs.contains_key(&op);
    for outcome in &request.outcomes {
        match outcome {
            Outcome::Answered(body) if *body != op.body() => {
                violations.push(Violation::WrongAnswer(request_id));
            }
            Outcome::Answered(_) if !ran => violations.push(Violation::SpuriousAnswer(request_id)),
            Outcome::NotRun if ran => violations.push(Violation::FalseNotRun(op)),
            _ => {}
        }
    }
    violations
}
