//! Callers that repeat their requests at other VMs and record what they saw.

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
        Record,
        Said,
        Sent, //
    },
};

/// How long after its deadline every other caller hangs up.
const PATIENCE: Millis = Millis(100);

/// How long after its deadline a patient caller takes its answer for lost.
const LONG_PATIENCE: Millis = Millis::from_secs(20);

/// How often a caller sends a request in all.
const MAX_TRIES: u32 = 6;

/// What a caller does about a request with a ticket whose outcome is unknown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Repeat {
    /// Repeats it with the same ticket.
    #[default]
    SameTicket,
    /// Repeats it with a new ticket, which is a mistake.
    NewTicket,
}

#[derive(Clone, Debug)]
struct Op {
    id: OpId,
    method: &'static str,
    timeout: Millis,
    ticket: Option<String>,
    tries: u32,
}

impl Op {
    fn patience(&self) -> Millis {
        match self.id.0.is_multiple_of(2) {
            true => PATIENCE,
            false => LONG_PATIENCE,
        }
    }
}

#[derive(Debug)]
struct Open {
    op: Op,
    run: Incarnation,
    deadline: Time,
}

/// Callers of one service.
#[derive(Debug)]
pub struct Callers {
    /// What they recorded.
    pub history: History,
    /// How they repeat.
    pub repeat: Repeat,
    /// How many requests got a backend server's answer.
    pub answered: u64,
    /// How many requests were refused as not run.
    pub not_run: u64,
    /// How many final answers said that the outcome is unknown.
    pub unknown: u64,
    service: ServiceId,
    next: u64,
    seen: usize,
    open: BTreeMap<Sent, Open>,
}

impl Callers {
    /// Starts with no requests.
    pub fn open(service: &str) -> Callers {
        Callers {
            history: History::default(),
            repeat: Repeat::default(),
            answered: 0,
            not_run: 0,
            unknown: 0,
            service: ServiceId::new(service),
            next: 0,
            seen: 0,
            open: BTreeMap::new(),
        }
    }

    /// Sends a new request to a random VM.
    pub fn begin(&mut self, fleet: &mut Fleet, method: &'static str, timeout: Millis) {
        let id = OpId(self.take_number());
        let op = Op {
            id,
            method,
            timeout,
            ticket: None,
            tries: 0,
        };
        self.send(fleet, op);
    }

    /// Returns how many requests have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Reads the answers that came since, hangs up where it took too long, and
    /// repeats what may be repeated.
    pub fn step(&mut self, fleet: &mut Fleet) {
        let new = fleet.answers[self.seen..].to_vec();
        self.seen = fleet.answers.len();
        for answered in new {
            let sent = Sent {
                vm: answered.vm,
                call: answered.call,
            };
            self.on_answer(fleet, sent, &answered.answer);
        }
        self.hang_up(fleet);
    }

    /// Adds the backend servers' records and returns the whole history.
    pub fn finish(mut self, fleet: &Fleet) -> History {
        self.history.add_runs(&fleet.backends);
        self.history
    }

    fn take_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn send(&mut self, fleet: &mut Fleet, mut op: Op) {
        op.tries += 1;
        let vm = fleet.rng.random_range(0..fleet.nodes.len());
        let call = CallId(self.take_number());
        let sent = Sent { vm, call };
        let idempotent = op.method != "POST";
        self.history.records.push(Record::Send {
            sent,
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
        self.open.insert(sent, Open { op, run, deadline });
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

    fn on_answer(&mut self, fleet: &mut Fleet, sent: Sent, answer: &Answer) {
        let open = self.open.remove(&sent);
        let left = Record::Left { sent };
        if open.is_none() && self.history.records.contains(&left) {
            // The caller had hung up and sees nothing.
            return;
        }
        let said = Said::of(answer);
        self.history.records.push(Record::Final { sent, said });
        let Some(Open { mut op, .. }) = open else {
            return;
        };
        match answer {
            Answer::Answered(_) => self.answered += 1,
            Answer::NotRun { .. } => self.not_run += 1,
            Answer::Unknown { .. } => {
                self.unknown += 1;
                self.repeat(fleet, op);
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
        let is_over = |sent: &Sent, open: &Open| {
            let node = &fleet.nodes[sent.vm];
            let lost = node.engine.is_none() || node.vm.incarnation != open.run;
            lost || now >= open.deadline + open.op.patience()
        };
        let over = self.open.extract_if(.., |sent, open| is_over(sent, open));
        for (sent, open) in over.collect::<Vec<_>>() {
            let in_time = now < open.deadline + LONG_PATIENCE;
            if in_time {
                self.history.records.push(Record::Left { sent });
            }
            fleet.event(sent.vm, Event::CallerGone(sent.call));
            self.repeat(fleet, open.op);
        }
    }

    fn repeat(&mut self, fleet: &mut Fleet, mut op: Op) {
        // Without a ticket each request stands for itself.
        let may_repeat = op.ticket.is_some();
        if op.tries >= MAX_TRIES || !may_repeat {
            return;
        }
        if self.repeat == Repeat::NewTicket {
            op.ticket = None;
        }
        self.send(fleet, op);
    }
}
