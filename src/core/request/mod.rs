//! Admission, tickets, retries and final answers of requests.
//!
//! The VM that receives an idempotent request dispatches it. A non-idempotent
//! request needs a ticket and runs at most once, dispatched by the VM that holds
//! the ticket's table.

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
mod redemption;
mod relay;
mod reply;
mod runner;
mod table;
mod takeover;
mod ticket;
mod ticket_tables;

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
        request::{handover::Handover, relay::Relays, runner::Runner, ticket_tables::TicketTables},
    },
    kernel::clock::Time,
};

/// Path that returns unused tickets on GET, one per line.
pub const TICKETS_PATH: &str = "/.well-known/dragonflytrack/tickets";

/// Number of tickets returned by one GET of [`TICKETS_PATH`].
pub const TICKET_BATCH: usize = 32;

/// State machine for the requests that this VM receives, runs or relays.
#[derive(Debug, Default)]
pub struct Requests {
    runner: Runner,
    tables: TicketTables,
    relays: Relays,
    /// Deadlines of the callers waiting for the outcome of a ticket.
    ///
    /// Invariant: an entry is removed when its final answer is sent.
    waiting: BTreeMap<CallId, Time>,
    handover: Option<Handover>,
    stopping: bool,
}

impl Requests {
    /// Creates a state machine without requests.
    pub fn open() -> Requests {
        Requests::default()
    }

    /// Returns the number of requests and handovers to complete before the
    /// process may exit.
    pub fn pending_work(&self) -> usize {
        let handing_over = self.handover.as_ref().is_some_and(|h| !h.is_done());
        self.runner.len() + self.waiting.len() + usize::from(handing_over)
    }

    /// Returns the backend server of each running attempt.
    pub fn running_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.runner.running_backends()
    }

    /// Applies a new configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.runner.on_configuration(cx, capacity);
        self.deliver_answers(cx);
    }

    /// Starts queued requests after slots may have become free.
    pub fn on_capacity(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.runner.drain_queues(cx, capacity);
        self.deliver_answers(cx);
    }

    /// Handles a change of the membership view.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.finish_orphans(cx);
        self.advance_relays(cx, capacity);
        self.deliver_answers(cx);
    }

    /// Refuses new requests and starts handing ticket tables over.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.handover = Handover::start(cx, &mut self.tables);
    }

    /// Handles timeouts and periodic work that are due.
    pub fn tick(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        self.tables.tick(cx.now);
        self.tables.announce(cx);
        self.runner.tick(cx, capacity);
        self.finish_orphans(cx);
        self.advance_relays(cx, capacity);
        self.deliver_answers(cx);
        self.expire_waiting(cx);
        let busy = !self.runner.is_empty();
        if let Some(handover) = &mut self.handover {
            handover.tick(cx, busy);
        }
    }

    /// Handles a new request from a caller.
    pub fn on_call(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: Call) {
        if call.request.method == "GET" && call.request.path == TICKETS_PATH {
            self.issue_tickets(cx, call.id);
        } else if call.request.is_idempotent() {
            self.on_idempotent(cx, capacity, call);
        } else {
            self.on_non_idempotent(cx, capacity, call);
        }
        self.deliver_answers(cx);
    }

    /// Handles a caller that disconnected before its answer.
    ///
    /// A request with a ticket keeps running, and its answer is kept for a
    /// retry with the same ticket.
    pub fn on_caller_gone(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: CallId) {
        cx.count(Counter::CallerGone);
        if self.waiting.remove(&call).is_some() {
            self.relays.cancel(call);
            return;
        }
        if self.runner.cancel(cx, capacity, call) {
            cx.count(Counter::RequestCancelled);
        }
        self.deliver_answers(cx);
    }

    /// Handles the outcome of an attempt.
    pub fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        self.runner.on_outcome(cx, capacity, id, outcome);
        self.deliver_answers(cx);
    }

    /// Handles a message from the VM `from`.
    pub fn on_message(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        from: &VmId,
        msg: RequestMessage,
    ) {
        match msg {
            RequestMessage::RelayRequest(relayed) => {
                self.on_relayed_request(cx, capacity, from, relayed)
            }
            RequestMessage::RelayedAnswer { id, answer } => self.on_relayed_answer(cx, id, answer),
            RequestMessage::TableMoved { issuer, to } => {
                self.relays.on_table_moved(cx.now, &issuer);
                self.tables.on_table_moved(cx.now, issuer, to);
                self.advance_relays(cx, capacity);
            }
            msg => self.on_hand_over_message(cx, from, msg),
        }
        self.deliver_answers(cx);
    }
}
