//! Callers that retry requests at random VMs and record the outcomes.

use std::collections::BTreeMap;

use bytes::Bytes;
use dragonflytrack::{
    core::{
        Event,
        names::{
            Incarnation,
            ServiceId, //
        },
        request::{
            Answer,
            Call,
            CallId,
            Headers,
            HttpRequest, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use rand::Rng;

use crate::{
    fleet::Fleet,
    history::{
        History,
        OpId,
        Outcome,
        Record,
        RequestId, //
    },
};

/// Delay after the deadline at which every other caller hangs up.
const HANGUP_DELAY: Millis = Millis(100);

/// Delay after the deadline at which the remaining callers treat the answer as
/// lost.
const PATIENT_HANGUP_DELAY: Millis = Millis::from_secs(20);

/// Maximum number of times that a request is sent, retries included.
const MAX_SENDS: u32 = 6;

/// How a caller retries a request with a ticket after an unknown outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Retries with the same ticket.
    #[default]
    SameTicket,
    /// Retries with a new ticket, which is a protocol violation: the request may
    /// run twice.
    NewTicket,
}

#[derive(Clone, Debug)]
struct Op {
    id: OpId,
    method: &'static str,
    timeout: Millis,
    ticket: Option<String>,
    sends: u32,
}

impl Op {
    fn hangup_delay(&self) -> Millis {
        match self.id.0.is_multiple_of(2) {
            true => HANGUP_DELAY,
            false => PATIENT_HANGUP_DELAY,
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    op: Op,
    run: Incarnation,
    deadline: Time,
}

/// Simulated callers of one service.
#[derive(Debug)]
pub struct Callers {
    /// Records of all requests.
    pub history: History,
    /// Applies to retries after an unknown outcome.
    pub retry_policy: RetryPolicy,
    /// Number of requests answered by a backend server.
    pub answered: u64,
    /// Number of requests refused as not run.
    pub not_run: u64,
    /// Number of final answers with an unknown outcome.
    pub unknown: u64,
    service: ServiceId,
    last_number: u64,
    answers_read: usize,
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl Callers {
    /// Creates callers of `service` without requests.
    pub fn open(service: &str) -> Callers {
        Callers {
            history: History::default(),
            retry_policy: RetryPolicy::default(),
            answered: 0,
            not_run: 0,
            unknown: 0,
            service: ServiceId::new(service),
            last_number: 0,
            answers_read: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Sends a new request to a random VM.
    pub fn start_request(&mut self, fleet: &mut Fleet, method: &'static str, timeout: Millis) {
        let id = OpId(self.next_number());
        let op = Op {
            id,
            method,
            timeout,
            ticket: None,
            sends: 0,
        };
        self.send(fleet, op);
    }

    /// Returns the number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Handles new answers, hangs up on overdue requests and retries where
    /// allowed.
    pub fn poll(&mut self, fleet: &mut Fleet) {
        let new = fleet.answers[self.answers_read..].to_vec();
        self.answers_read = fleet.answers.len();
        for answered in new {
            let request_id = RequestId {
                vm: answered.vm,
                call: answered.call,
            };
            self.on_answer(fleet, request_id, &answered.answer);
        }
        self.hang_up(fleet);
    }

    /// Returns the history with the backend servers' records added.
    pub fn into_history(mut self, fleet: &Fleet) -> History {
        self.history.add_runs(&fleet.backends);
        self.history
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn send(&mut self, fleet: &mut Fleet, mut op: Op) {
        op.sends += 1;
        let vm = fleet.rng.random_range(0..fleet.nodes.len());
        let call = CallId(self.next_number());
        let request_id = RequestId { vm, call };
        let idempotent = op.method != "POST";
        self.history.records.push(Record::Sent {
            request_id,
            op: op.id,
            idempotent,
        });
        let deadline = fleet.now + op.timeout;
        let request = HttpRequest {
            method: op.method.to_owned(),
            path: "/hold".to_owned(),
            headers: Headers::new(),
            body: Bytes::from(op.id.body()),
        };
        let ticket = op.ticket.clone();
        let run = fleet.nodes[vm].vm.incarnation;
        self.pending
            .insert(request_id, PendingRequest { op, run, deadline });
        fleet.call(
            vm,
            Call {
                id: call,
                service: self.service.clone(),
                request,
                ticket,
                deadline,
            },
        );
    }

    fn on_answer(&mut self, fleet: &mut Fleet, request_id: RequestId, answer: &Answer) {
        let pending = self.pending.remove(&request_id);
        let gave_up = Record::GaveUp { request_id };
        if pending.is_none() && self.history.records.contains(&gave_up) {
            // The caller has hung up and does not see the answer.
            return;
        }
        let outcome = Outcome::of(answer);
        self.history.records.push(Record::Answer {
            request_id,
            outcome,
        });
        let Some(PendingRequest { mut op, .. }) = pending else {
            return;
        };
        match answer {
            Answer::Answered(_) => self.answered += 1,
            Answer::NotRun { .. } => self.not_run += 1,
            Answer::Unknown { .. } => {
                self.unknown += 1;
                self.retry(fleet, op);
            }
            Answer::TicketNeeded { ticket } => {
                op.ticket = Some(ticket.clone());
                self.send(fleet, op);
            }
            Answer::TicketInvalid | Answer::TicketMismatch | Answer::BodyTooLarge => {}
        }
    }

    fn hang_up(&mut self, fleet: &mut Fleet) {
        let now = fleet.now;
        let is_over = |request_id: &RequestId, pending: &PendingRequest| {
            let node = &fleet.nodes[request_id.vm];
            let lost = node.engine.is_none() || node.vm.incarnation != pending.run;
            lost || now >= pending.deadline + pending.op.hangup_delay()
        };
        let over = self
            .pending
            .extract_if(.., |request_id, pending| is_over(request_id, pending));
        for (request_id, pending) in over.collect::<Vec<_>>() {
            let in_time = now < pending.deadline + PATIENT_HANGUP_DELAY;
            if in_time {
                self.history.records.push(Record::GaveUp { request_id });
            }
            fleet.event(request_id.vm, Event::CallerGone(request_id.call));
            self.retry(fleet, pending.op);
        }
    }

    fn retry(&mut self, fleet: &mut Fleet, mut op: Op) {
        // Without a ticket, a retry would be an independent request.
        let may_retry = op.ticket.is_some();
        if op.sends >= MAX_SENDS || !may_retry {
            return;
        }
        if self.retry_policy == RetryPolicy::NewTicket {
            op.ticket = None;
        }
        self.send(fleet, op);
    }
}
