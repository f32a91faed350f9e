//! Redeems tickets on the VM that holds their table, and relays requests from
//! the other VMs to it.

use crate::core::{
    capacity::Capacity,
    counter::Counter,
    cx::Cx,
    names::VmId,
    request::{
        Answer,
        Digest,
        Issuer,
        Redemption,
        RelayId,
        RelayedRequest,
        RequestMessage,
        Requests,
        UnknownReason,
        Waiter,
        job::{
            Job,
            Recipient, //
        },
        relay::TicketedRequest,
        ticket_tables::TableLocation, //
    },
};

impl Requests {
    /// Redeems a ticket whose table is on this VM.
    pub(super) fn redeem(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        ticketed: TicketedRequest,
        waiter: Waiter,
    ) {
        let issuer = ticketed.ticket.issuer.clone();
        let number = ticketed.ticket.number;
        let Some(table) = self.tables.table(&issuer) else {
            return;
        };
        let digest = Digest::of(&ticketed.service, &ticketed.request);
        match table.redeem(&ticketed.ticket, digest, waiter.clone()) {
            Redemption::Start => {
                let recipient = Recipient::Ticket { issuer, number };
                let TicketedRequest {
                    service,
                    request,
                    deadline,
                    ..
                } = ticketed;
                let job = Job::new(recipient, service, request, deadline);
                self.runner.start(cx, capacity, job);
            }
            Redemption::InProgress => cx.count(Counter::TicketRepeated),
            Redemption::Final(answer) => {
                cx.count(Counter::TicketRepeated);
                self.reply(cx, &waiter, answer);
            }
            Redemption::HandedOver => self.redirect(cx, issuer, &waiter),
        }
    }

    /// Refers a relaying VM to the run that took over the table of `issuer`. A
    /// caller is answered with an unknown outcome.
    pub(super) fn redirect(&mut self, cx: &mut Cx<'_>, issuer: Issuer, waiter: &Waiter) {
        let Some(to) = self.handover.as_ref().map(|h| h.to().clone()) else {
            return;
        };
        match waiter {
            Waiter::Call(_) => {
                self.reply(cx, waiter, Answer::unknown(UnknownReason::Stopping));
            }
            Waiter::Peer { vm, .. } => cx.send(vm, RequestMessage::TableMoved { issuer, to }),
        }
    }

    pub(super) fn on_relayed_request(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        from: &VmId,
        relayed: RelayedRequest,
    ) {
        let remaining = relayed.deadline.since(cx.wall);
        if remaining.0 == 0 {
            // The relaying VM has already answered its caller. The ticket stays unused.
            cx.count(Counter::RelayedRequestLate);
            return;
        }
        let issuer = relayed.ticket.issuer.clone();
        let waiter = Waiter::Peer {
            vm: from.clone(),
            relay: relayed.id,
        };
        let ticketed = TicketedRequest {
            ticket: relayed.ticket,
            service: relayed.service,
            request: relayed.request,
            deadline: cx.now + remaining,
        };
        if self.tables.table(&issuer).is_some() {
            self.redeem(cx, capacity, ticketed, waiter);
            return;
        }
        if let Some(to) = self.tables.holder(&issuer).cloned() {
            cx.send(from, RequestMessage::TableMoved { issuer, to });
            return;
        }
        let me = &cx.view.me;
        if issuer.vm == me.id && issuer.incarnation <= me.incarnation {
            self.reply(cx, &waiter, Answer::unknown(UnknownReason::VmGone));
        }
    }

    pub(super) fn on_relayed_answer(&mut self, cx: &mut Cx<'_>, id: RelayId, answer: Answer) {
        match self.relays.on_answer(cx, id) {
            Some(call) => self.reply(cx, &Waiter::Call(call), answer),
            None => cx.count(Counter::RelayedAnswerLate),
        }
    }

    /// Resends relayed requests that are due, and redeems or ends those whose
    /// table has moved here or is gone.
    pub(super) fn advance_relays(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        for (number, issuer) in self.relays.pending() {
            match self.tables.locate(cx.view, &issuer) {
                TableLocation::Remote(vm) => self.relays.resend(cx, number, &vm),
                TableLocation::Local => {
                    if let Some((call, ticketed)) = self.relays.remove(number) {
                        self.redeem(cx, capacity, ticketed, Waiter::Call(call));
                    }
                }
                TableLocation::Lost => {
                    if let Some((call, _)) = self.relays.remove(number) {
                        let answer = Answer::unknown(UnknownReason::VmGone);
                        self.reply(cx, &Waiter::Call(call), answer);
                    }
                }
            }
        }
    }
}
