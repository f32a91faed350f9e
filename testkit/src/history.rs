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
pub struct Sent {
    /// The VM, as an index.
    pub vm: usize,
    /// The call at that VM.
    pub call: CallId,
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Said {
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
    Send {
        /// The request.
        sent: Sent,
        /// What is wanted.
        op: OpId,
        /// Whether it may be run twice.
        idempotent: bool,
    },
    /// A caller got a final answer.
    Final {
        /// The request.
        sent: Sent,
        /// The answer.
        said: Said,
    },
    /// A caller gave up, or its connection was lost.
    Left {
        /// The request.
        sent: Sent,
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
    LostAnswer(Sent),
    /// A caller got more than one final answer.
    ManyAnswers(Sent),
    /// A caller got the answer to another request.
    CrossedAnswer(Sent),
    /// A caller got an answer to a request that no backend server ran.
    InventedAnswer(Sent),
}

#[derive(Debug, Default)]
struct Request {
    op: Option<OpId>,
    finals: Vec<Said>,
    left: bool,
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

impl Said {
    /// Returns what `answer` says to a caller.
    pub fn of(answer: &Answer) -> Said {
        match answer {
            Answer::Answered(response) => {
                Said::Answered(String::from_utf8_lossy(&response.body).into_owned())
            }
            Answer::NotRun { .. } => Said::NotRun,
            Answer::Unknown { .. } => Said::Unknown,
            Answer::TicketNeeded { .. }
            | Answer::TicketInvalid
            | Answer::TicketMismatch
            | Answer::BodyTooLarge => Said::Rejected,
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
        for (sent, request) in self.requests() {
            violations.extend(check_request(sent, &request, &runs));
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

    fn requests(&self) -> BTreeMap<Sent, Request> {
        let mut requests: BTreeMap<Sent, Request> = BTreeMap::new();
        for record in &self.records {
            match record {
                Record::Send { sent, op, .. } => requests.entry(*sent).or_default().op = Some(*op),
                Record::Final { sent, said } => {
                    requests.entry(*sent).or_default().finals.push(said.clone());
                }
                Record::Left { sent } => requests.entry(*sent).or_default().left = true,
                Record::Run { .. } => {}
            }
        }
        requests
    }

    fn check_runs(&self, runs: &BTreeMap<OpId, usize>) -> Vec<Violation> {
        let mut violations = Vec::new();
        for record in &self.records {
            let Record::Send { op, idempotent, .. } = record else {
                continue;
            };
            if !idempotent && runs.get(op).is_some_and(|n| *n > 1) {
                violations.push(Violation::DoubleRun(*op));
            }
        }
        violations
    }
}

fn check_request(sent: Sent, request: &Request, runs: &BTreeMap<OpId, usize>) -> Vec<Violation> {
    let mut violations = Vec::new();
    match request.finals.len() {
        0 if !request.left => violations.push(Violation::LostAnswer(sent)),
        0 | 1 => {}
        _ => violations.push(Violation::ManyAnswers(sent)),
    }
    let Some(op) = request.op else {
        // The answer belongs to no request that was sent.
        violations.push(Violation::CrossedAnswer(sent));
        return violations;
    };
    let ran = runs.contains_key(&op);
    for said in &request.finals {
        match said {
            Said::Answered(body) if *body != op.body() => {
                violations.push(Violation::CrossedAnswer(sent));
            }
            Said::Answered(_) if !ran => violations.push(Violation::InventedAnswer(sent)),
            Said::NotRun if ran => violations.push(Violation::FalseNotRun(op)),
            _ => {}
        }
    }
    violations
}
