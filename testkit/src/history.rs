//! Checks histories of requests.
//!
//! The checker reads what callers and backend servers recorded and nothing of
//! the system between them.

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

/// Identifies what a caller wants done. Repeats of a request have the same one.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("op {_0}")]
pub struct OpId(pub u64);

/// Identifies one request that a caller sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// The VM, as an index.
    pub vm: usize,
    /// The call at that VM.
    pub call: CallId,
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A backend server's answer, with its body.
    Answered(String),
    /// The request did not run.
    NotRun,
    /// The outcome is unknown.
    Unknown,
    /// This call was not run; nothing is said of its repeats.
    Rejected,
}

/// Something that a caller or a backend server recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// A caller sent a request.
    Sent {
        /// The request.
        request_id: RequestId,
        /// What is wanted.
        op: OpId,
        /// Whether it may be run twice.
        idempotent: bool,
    },
    /// A caller got a final answer.
    Answer {
        /// The request.
        request_id: RequestId,
        /// The answer.
        outcome: Outcome,
    },
    /// A caller gave up, or its connection was lost.
    GaveUp {
        /// The request.
        request_id: RequestId,
    },
    /// A backend server ran a request.
    Run {
        /// When.
        at: Time,
        /// What was wanted.
        op: OpId,
    },
}

/// Something that must not happen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// A non-idempotent request ran twice.
    DoubleRun(OpId),
    /// A request was called "not run" and ran.
    FalseNotRun(OpId),
    /// A caller who still waits got no final answer.
    MissingAnswer(RequestId),
    /// A caller got more than one final answer.
    DuplicateAnswer(RequestId),
    /// A caller got the answer to another request.
    WrongAnswer(RequestId),
    /// A caller got an answer to a request that no backend server ran.
    SpuriousAnswer(RequestId),
}

#[derive(Debug, Default)]
struct Request {
    op: Option<OpId>,
    outcomes: Vec<Outcome>,
    gave_up: bool,
}

/// The records of callers and backend servers.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The records, in any order.
    pub records: Vec<Record>,
}

impl OpId {
    /// Writes the id as the body of a request.
    pub fn body(self) -> String {
        self.to_string()
    }

    /// Reads the id from the body of a request.
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
    /// Adds what the backend servers recorded.
    pub fn add_runs(&mut self, backends: &[FakeBackend]) {
        let runs = backends.iter().flat_map(|b| &b.runs);
        for run in runs {
            if let Some(op) = OpId::from_body(&run.body) {
                self.records.push(Record::Run { at: run.at, op });
            }
        }
    }

    /// Returns all violations, sorted.
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
        // The answer belongs to no request that was sent.
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
