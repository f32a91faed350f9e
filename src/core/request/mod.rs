//! Admission, tickets, retries and final answers of requests.
//!
//! An idempotent request runs where it arrives. A non-idempotent one needs a
//! ticket, and runs once, on the VM that holds the ticket's table.

mod answer;
mod attempt;
mod budget;
mod call;
mod handover;
mod http;
mod job;
mod latency;
mod message;
mod queue;
mod relay;
mod runner;
mod table;
mod ticket;
mod tickets;

use std::collections::BTreeMap;

use bytes::Bytes;

pub use answer::{
    Answer,
    DEFAULT_RETRY_AFTER,
    NotRunReason,
    UnknownReason, //
};
pub use attempt::{
    Attempt,
    AttemptId,
    AttemptOutcome, //
};
pub use budget::RetryBudget;
pub use call::{
    Call,
    CallId, //
};
pub use http::{
    Header,
    Headers,
    HttpRequest,
    HttpResponse,
    RUN_HEADER, //
};
pub use message::{
    RelayId,
    RelayedRequest,
    RequestMessage, //
};
pub use relay::MAX_RELAYED_BODY;
pub use table::{
    KEPT_FOR,
    MAX_KEPT_BYTES,
    MAX_USED,
    Presented,
    TableExport,
    TicketTable,
    USABLE_FOR,
    Waiter, //
};
pub use ticket::{
    Digest,
    Issuer,
    Ticket, //
};

use crate::{
    core::{
        action::Action,
        capacity::Capacity,
        counter::Counter,
        cx::Cx,
        names::VmId,
        request::{
            handover::HandOver,
            job::{
                Job,
                Owner, //
            },
            relay::{
                Relays,
                Ticketed, //
            },
            runner::Runner,
            tickets::{
                Place,
                Tickets,
                issuer_of, //
            },
        },
    },
    kernel::clock::Time,
};

/// A GET of this path answers with unused tickets, one a line.
pub const TICKETS_PATH: &str = "/.well-known/dragonflytrack/tickets";

/// How many tickets one request for tickets gets.
pub const TICKETS_AT_ONCE: usize = 32;

/// The largest answer that is sent to another VM, in bytes.
const MAX_RELAYED_ANSWER: usize = 7 << 20;

/// The request state machine.
#[derive(Debug, Default)]
pub struct Requests {
    runner: Runner,
    tickets: Tickets,
    relays: Relays,
    /// The callers who wait for the outcome of a ticket, with their deadlines.
    ///
    /// Invariant: a request is removed when its final answer is given.
    waiting: BTreeMap<CallId, Time>,
    hand_over: Option<HandOver>,
    stopping: bool,
}

impl Requests {
    /// Starts with no requests.
    pub fn open() -> Requests {
        Requests::default()
    }

    /// Returns how many duties are left before the process may exit.
    pub fn in_flight(&self) -> usize {
        let handing_over = self.hand_over.as_ref().is_some_and(|h| !h.is_over());
        self.runner.len() + self.waiting.len() + usize::from(handing_over)
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.runner.on_configuration(cx, capacity);
        self.settle(cx);
    }

    /// Takes in that slots may have become free.
    pub fn on_capacity(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.runner.drain_queues(cx, capacity);
        self.settle(cx);
    }

    /// Takes in a change of the view.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.finish_orphans(cx);
        self.drive_relays(cx, capacity);
        self.settle(cx);
    }

    /// Refuses new requests from now on and hands over what others need.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.hand_over = HandOver::start(cx, &mut self.tickets);
    }

    /// Does what has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.tickets.tick(cx.now);
        self.runner.tick(cx, capacity);
        self.finish_orphans(cx);
        self.drive_relays(cx, capacity);
        self.settle(cx);
        self.expire(cx);
        let busy = !self.runner.is_empty();
        if let Some(hand_over) = &mut self.hand_over {
            hand_over.tick(cx, busy);
        }
    }

    /// Takes in a caller's request.
    pub fn on_call(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: Call) {
        if call.request.method == "GET" && call.request.path == TICKETS_PATH {
            self.issue_tickets(cx, call.id);
        } else if call.request.is_idempotent() {
            self.on_idempotent(cx, capacity, call);
        } else {
            self.on_non_idempotent(cx, capacity, call);
        }
        self.settle(cx);
    }

    /// Takes in that a caller no longer waits.
    ///
    /// A request with a ticket runs on: its answer is kept for a repeat.
    pub fn on_gone(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: CallId) {
        cx.count(Counter::CallerGone);
        if self.waiting.remove(&call).is_some() {
            self.relays.cancel(call);
            return;
        }
        if self.runner.cancel(cx, capacity, call) {
            cx.count(Counter::RequestCancelled);
        }
        self.settle(cx);
    }

    /// Takes in the end of an attempt.
    pub fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        self.runner.on_outcome(cx, capacity, id, outcome);
        self.settle(cx);
    }

    /// Takes in a message of another VM.
    pub fn on_message(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        from: &VmId,
        msg: RequestMessage,
    ) {
        match msg {
            RequestMessage::Run(relayed) => self.on_relayed(cx, capacity, from, relayed),
            RequestMessage::Ended { id, answer } => self.on_ended(cx, id, answer),
            RequestMessage::Moved { issuer, to } => {
                self.relays.on_moved(cx.now, &issuer);
                self.tickets.on_moved(cx.now, issuer, to);
                self.drive_relays(cx, capacity);
            }
            msg => self.on_hand_over_message(cx, from, msg),
        }
        self.settle(cx);
    }

    fn issue_tickets(&mut self, cx: &mut Cx<'_>, call: CallId) {
        if self.stopping {
            answer_call(cx, call, Answer::not_run(NotRunReason::Stopping));
            return;
        }
        let mut text = String::new();
        for _ in 0..TICKETS_AT_ONCE {
            text.push_str(&self.tickets.issue(cx).to_text());
            text.push('\n');
        }
        cx.counters
            .add_many(Counter::TicketIssued, TICKETS_AT_ONCE as u64);
        let response = HttpResponse {
            status: 200,
            headers: Headers::new(),
            body: Bytes::from(text),
        };
        answer_call(cx, call, Answer::Answered(response));
    }

    fn on_idempotent(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: Call) {
        if self.stopping {
            answer_call(cx, call.id, Answer::not_run(NotRunReason::Stopping));
            return;
        }
        let owner = Owner::Call(call.id);
        let job = Job::new(owner, call.service, call.request, call.deadline);
        self.runner.start(cx, capacity, job);
    }

    fn on_non_idempotent(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: Call) {
        if call.request.body.len() > MAX_RELAYED_BODY {
            answer_call(cx, call.id, Answer::BodyTooLarge);
            return;
        }
        let Some(text) = &call.ticket else {
            self.ask_for_ticket(cx, &call);
            return;
        };
        let Some(ticket) = Ticket::parse(text) else {
            answer_call(cx, call.id, Answer::TicketInvalid);
            return;
        };
        if self.stopping {
            // The request may have run before, so this VM must not call it "not run".
            answer_call(cx, call.id, Answer::unknown(UnknownReason::Stopping));
            return;
        }
        self.waiting.insert(call.id, call.deadline);
        let ticketed = Ticketed {
            ticket,
            service: call.service,
            request: call.request,
            deadline: call.deadline,
        };
        match self.tickets.place(cx.view, &ticketed.ticket.issuer) {
            Place::Here => self.present(cx, capacity, ticketed, Waiter::Call(call.id)),
            Place::At(vm) => self.relays.start(cx, call.id, ticketed, &vm),
            Place::Gone => {
                let answer = Answer::unknown(UnknownReason::VmGone);
                self.reply(cx, &Waiter::Call(call.id), answer);
            }
        }
    }

    fn ask_for_ticket(&mut self, cx: &mut Cx<'_>, call: &Call) {
        if self.stopping {
            answer_call(cx, call.id, Answer::not_run(NotRunReason::Stopping));
            return;
        }
        if cx.cfg.service(&call.service).is_none() {
            answer_call(cx, call.id, Answer::not_run(NotRunReason::NoService));
            return;
        }
        cx.count(Counter::TicketIssued);
        let ticket = self.tickets.issue(cx).to_text();
        answer_call(cx, call.id, Answer::TicketNeeded { ticket });
    }

    /// Decides about a request whose ticket's table is here.
    fn present(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        ticketed: Ticketed,
        waiter: Waiter,
    ) {
        let issuer = ticketed.ticket.issuer.clone();
        let number = ticketed.ticket.number;
        let Some(table) = self.tickets.table(&issuer) else {
            return;
        };
        let digest = Digest::of(&ticketed.service, &ticketed.request);
        match table.present(&ticketed.ticket, digest, waiter.clone()) {
            Presented::Start => {
                let owner = Owner::Ticket { issuer, number };
                let Ticketed {
                    service,
                    request,
                    deadline,
                    ..
                } = ticketed;
                let job = Job::new(owner, service, request, deadline);
                self.runner.start(cx, capacity, job);
            }
            Presented::Wait => cx.count(Counter::TicketRepeated),
            Presented::Known(answer) => {
                cx.count(Counter::TicketRepeated);
                self.reply(cx, &waiter, answer);
            }
            Presented::HandedOver => self.refer(cx, issuer, &waiter),
        }
    }

    /// Tells who decides about the tickets of `issuer` now.
    fn refer(&mut self, cx: &mut Cx<'_>, issuer: Issuer, waiter: &Waiter) {
        let Some(to) = self.hand_over.as_ref().map(|h| h.to().clone()) else {
            return;
        };
        match waiter {
            Waiter::Call(_) => {
                self.reply(cx, waiter, Answer::unknown(UnknownReason::Stopping));
            }
            Waiter::Peer { vm, .. } => cx.send(vm, RequestMessage::Moved { issuer, to }),
        }
    }

    fn on_relayed(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        from: &VmId,
        relayed: RelayedRequest,
    ) {
        let left = relayed.deadline.since(cx.wall);
        if left.0 == 0 {
            // The other VM has given its final answer. The ticket stays unused.
            cx.count(Counter::RelayedRequestLate);
            return;
        }
        let issuer = relayed.ticket.issuer.clone();
        let waiter = Waiter::Peer {
            vm: from.clone(),
            relay: relayed.id,
        };
        let ticketed = Ticketed {
            ticket: relayed.ticket,
            service: relayed.service,
            request: relayed.request,
            deadline: cx.now + left,
        };
        if self.tickets.table(&issuer).is_some() {
            self.present(cx, capacity, ticketed, waiter);
            return;
        }
        if let Some(to) = self.tickets.moved_to(&issuer).cloned() {
            cx.send(from, RequestMessage::Moved { issuer, to });
            return;
        }
        let me = &cx.view.me;
        if issuer.vm == me.id && issuer.incarnation <= me.incarnation {
            self.reply(cx, &waiter, Answer::unknown(UnknownReason::VmGone));
        }
    }

    fn on_ended(&mut self, cx: &mut Cx<'_>, id: RelayId, answer: Answer) {
        match self.relays.on_ended(cx, id) {
            Some(call) => self.reply(cx, &Waiter::Call(call), answer),
            None => cx.count(Counter::RelayedAnswerLate),
        }
    }

    fn on_hand_over_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: RequestMessage) {
        match msg {
            RequestMessage::HandOver {
                issuer,
                from: giver,
                to,
                until,
                table,
            } => {
                let for_me = to == cx.view.me.incarnation && until >= cx.wall;
                if for_me {
                    self.take_over(cx, issuer, giver, table);
                }
            }
            RequestMessage::Kept {
                issuer,
                number,
                answer,
            } => {
                if self.tickets.on_kept(&issuer, number) {
                    self.finish_ticket(cx, &issuer, number, answer);
                }
                cx.send(from, RequestMessage::KeptTaken { issuer, number });
            }
            RequestMessage::TakenOver { issuer } => {
                if let Some(hand_over) = &mut self.hand_over {
                    hand_over.on_taken(&issuer);
                }
            }
            RequestMessage::KeptTaken { issuer, number } => {
                if let Some(hand_over) = &mut self.hand_over {
                    hand_over.on_kept_taken(issuer, number);
                }
            }
            _ => {}
        }
    }

    fn take_over(&mut self, cx: &mut Cx<'_>, issuer: Issuer, giver: Issuer, table: TableExport) {
        let had = self.tickets.table(&issuer).is_some();
        if self.stopping && !had {
            return;
        }
        let to = giver.vm.clone();
        if self.tickets.adopt(cx.now, issuer.clone(), giver, table) {
            cx.count(Counter::TicketTableTakenOver);
            let me = issuer_of(&cx.view.me);
            for member in cx.view.others() {
                let msg = RequestMessage::Moved {
                    issuer: issuer.clone(),
                    to: me.clone(),
                };
                cx.send(&member.vm.id, msg);
            }
        }
        cx.send(&to, RequestMessage::TakenOver { issuer });
    }

    /// Repeats, answers or ends relayed requests whose time has come or whose
    /// VM is gone.
    fn drive_relays(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        for (number, issuer) in self.relays.open() {
            match self.tickets.place(cx.view, &issuer) {
                Place::At(vm) => self.relays.repeat(cx, number, &vm),
                Place::Here => {
                    if let Some((call, ticketed)) = self.relays.take(number) {
                        self.present(cx, capacity, ticketed, Waiter::Call(call));
                    }
                }
                Place::Gone => {
                    if let Some((call, _)) = self.relays.take(number) {
                        let answer = Answer::unknown(UnknownReason::VmGone);
                        self.reply(cx, &Waiter::Call(call), answer);
                    }
                }
            }
        }
    }

    fn finish_orphans(&mut self, cx: &mut Cx<'_>) {
        for (issuer, number) in self.tickets.take_orphans(cx.view) {
            let answer = Answer::unknown(UnknownReason::VmGone);
            self.finish_ticket(cx, &issuer, number, answer);
        }
    }

    /// Gives the final answers of the requests that have ended.
    fn settle(&mut self, cx: &mut Cx<'_>) {
        for finished in self.runner.take_finished() {
            match finished.owner {
                Owner::Call(call) => answer_call(cx, call, finished.answer),
                Owner::Ticket { issuer, number } => {
                    self.finish_ticket(cx, &issuer, number, finished.answer);
                }
            }
        }
    }

    fn finish_ticket(&mut self, cx: &mut Cx<'_>, issuer: &Issuer, number: u64, answer: Answer) {
        let Some(table) = self.tickets.table(issuer) else {
            return;
        };
        for waiter in table.finish(number, &answer) {
            self.reply(cx, &waiter, answer.clone());
        }
        if let Some(hand_over) = &mut self.hand_over {
            hand_over.add(issuer.clone(), number, answer);
        }
    }

    fn reply(&mut self, cx: &mut Cx<'_>, waiter: &Waiter, answer: Answer) {
        match waiter {
            Waiter::Call(call) => {
                if self.waiting.remove(call).is_some() {
                    answer_call(cx, *call, answer);
                }
            }
            Waiter::Peer { vm, relay } => {
                let answer = if answer.size() > MAX_RELAYED_ANSWER {
                    Answer::unknown(UnknownReason::AnswerForgotten)
                } else {
                    answer
                };
                cx.send(vm, RequestMessage::Ended { id: *relay, answer });
            }
        }
    }

    /// Answers the callers whose deadline has passed.
    fn expire(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let due: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in due {
            self.relays.cancel(call);
            let answer = Answer::unknown(UnknownReason::Timeout);
            self.reply(cx, &Waiter::Call(call), answer);
        }
    }
}

fn answer_call(cx: &mut Cx<'_>, call: CallId, answer: Answer) {
    cx.count(answer.counter());
    cx.act(Action::Answer { call, answer });
}
