//! Admission of callers' requests.

use bytes::Bytes;

use crate::core::{
    capacity::Capacity,
    counter::Counter,
    cx::Cx,
    request::{
        Answer,
        Call,
        CallId,
        Headers,
        HttpResponse,
        MAX_RELAYED_BODY_BYTES,
        NotRunReason,
        Requests,
        TICKET_BATCH,
        Ticket,
        UnknownReason,
        Waiter,
        job::{
            Job,
            Recipient, //
        },
        relay::TicketedRequest,
        reply::answer_call,
        ticket_tables::TableLocation, //
    },
};

impl Requests {
    pub(super) fn issue_tickets(&mut self, cx: &mut Cx<'_>, call: CallId) {
        if self.stopping {
            answer_call(cx, call, Answer::not_run(NotRunReason::Stopping));
            return;
        }
        let mut text = String::new();
        for _ in 0..TICKET_BATCH {
            text.push_str(&self.tables.issue(cx).to_text());
            text.push('\n');
        }
        cx.counters
            .add_many(Counter::TicketIssued, TICKET_BATCH as u64);
        let response = HttpResponse {
            status: 200,
            headers: Headers::new(),
            body: Bytes::from(text),
        };
        answer_call(cx, call, Answer::Answered(response));
    }

    pub(super) fn on_idempotent(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: Call) {
        if self.stopping {
            answer_call(cx, call.id, Answer::not_run(NotRunReason::Stopping));
            return;
        }
        let recipient = Recipient::Call(call.id);
        let job = Job::new(recipient, call.service, call.request, call.deadline);
        self.runner.start(cx, capacity, job);
    }

    pub(super) fn on_non_idempotent(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        call: Call,
    ) {
        if call.request.body.len() > MAX_RELAYED_BODY_BYTES {
            answer_call(cx, call.id, Answer::BodyTooLarge);
            return;
        }
        let Some(text) = &call.ticket else {
            self.require_ticket(cx, &call);
            return;
        };
        let Some(ticket) = Ticket::parse(text) else {
            answer_call(cx, call.id, Answer::TicketInvalid);
            return;
        };
        if self.stopping {
            // An earlier try with this ticket may have run, so "not run" would be wrong.
            answer_call(cx, call.id, Answer::unknown(UnknownReason::Stopping));
            return;
        }
        self.waiting.insert(call.id, call.deadline);
        let ticketed = TicketedRequest {
            ticket,
            service: call.service,
            request: call.request,
            deadline: call.deadline,
        };
        match self.tables.locate(cx.view, &ticketed.ticket.issuer) {
            TableLocation::Local => self.redeem(cx, capacity, ticketed, Waiter::Call(call.id)),
            TableLocation::Remote(vm) => self.relays.start(cx, call.id, ticketed, &vm),
            TableLocation::Lost => {
                let answer = Answer::unknown(UnknownReason::VmGone);
                self.reply(cx, &Waiter::Call(call.id), answer);
            }
        }
    }

    pub(super) fn require_ticket(&mut self, cx: &mut Cx<'_>, call: &Call) {
        if self.stopping {
            answer_call(cx, call.id, Answer::not_run(NotRunReason::Stopping));
            return;
        }
        if cx.cfg.service(&call.service).is_none() {
            answer_call(cx, call.id, Answer::not_run(NotRunReason::NoService));
            return;
        }
        cx.count(Counter::TicketIssued);
        let ticket = self.tables.issue(cx).to_text();
        answer_call(cx, call.id, Answer::TicketNeeded { ticket });
    }
}
