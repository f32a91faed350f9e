//! Admission, tickets, retries and final answers of requests.
//!
//! An idempotent request runs where it arrives. A non-idempotent one needs a
//! ticket, and runs once, on the VM that holds the ticket's table.

mod admission;
mod answer;
mod attempt;
mod budget;
mod call;
mod dispatch;
mod export;
mod handover;
mod http;
mod job;
mod latency;
mod message;
mod outcome;
mod queue;
mod relay;
mod runner;
mod settle;
mod table;
mod takeover;
mod ticket;
mod ticketed;
mod tickets;

use std::collections::BTreeMap;

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
pub use export::TableExport;
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
pub use relay::MAX_RELAYED_BODY_BYTES;
pub use table::{
    MAX_ANSWER_BYTES,
    MAX_USED_TICKETS,
    OUTCOME_RETENTION,
    Redemption,
    TICKET_LIFETIME,
    TicketTable,
    Waiter, //
};
pub use ticket::{
    Digest,
    Issuer,
    Ticket, //
};

use crate::{
    core::{
        capacity::Capacity,
        counter::Counter,
        cx::Cx,
        names::{BackendId, VmId},
        request::{handover::HandOver, relay::Relays, runner::Runner, tickets::Tickets},
    },
    kernel::clock::Time,
};

/// A GET of this path answers with unused tickets, one a line.
pub const TICKETS_PATH: &str = "/.well-known/dragonflytrack/tickets";

/// How many tickets one request for tickets gets.
pub const TICKET_BATCH: usize = 32;

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
    pub fn new() -> Requests {
        Requests::default()
    }

    /// Returns how many duties are left before the process may exit.
    pub fn pending_work(&self) -> usize {
        let handing_over = self.hand_over.as_ref().is_some_and(|h| !h.is_over());
        self.runner.len() + self.waiting.len() + usize::from(handing_over)
    }

    /// Returns the backend server of each request that this VM runs.
    pub fn running_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.runner.running_backends()
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
        self.tickets.announce(cx);
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
    pub fn on_caller_gone(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: CallId) {
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
            RequestMessage::RelayRequest(relayed) => self.on_relayed(cx, capacity, from, relayed),
            RequestMessage::RelayedAnswer { id, answer } => self.on_ended(cx, id, answer),
            RequestMessage::TableMoved { issuer, to } => {
                self.relays.on_moved(cx.now, &issuer);
                self.tickets.on_moved(cx.now, issuer, to);
                self.drive_relays(cx, capacity);
            }
            msg => self.on_hand_over_message(cx, from, msg),
        }
        self.settle(cx);
    }
}
