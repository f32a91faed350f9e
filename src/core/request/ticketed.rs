//! Requests that present a ticket, on the VM that decides about it and on the
//! VMs that relay to that one.

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
            Owner, //
        },
        relay::Ticketed,
        tickets::Place, //
    },
};

impl Requests {
    /// Decides about a request whose ticket's table is here.
    pub(super) fn present(
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
        match table.redeem(&ticketed.ticket, digest, waiter.clone()) {
            Redemption::Start => {
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
            Redemption::InProgress => cx.count(Counter::TicketRepeated),
            Redemption::Final(answer) => {
                cx.count(Counter::TicketRepeated);
                self.reply(cx, &waiter, answer);
            }
            Redemption::HandedOver => self.refer(cx, issuer, &waiter),
        }
    }

    /// Tells who decides about the tickets of `issuer` now.
    pub(super) fn refer(&mut self, cx: &mut Cx<'_>, issuer: Issuer, waiter: &Waiter) {
        let Some(to) = self.hand_over.as_ref().map(|h| h.to().clone()) else {
            return;
        };
        match waiter {
            Waiter::Call(_) => {
                self.reply(cx, waiter, Answer::unknown(UnknownReason::Stopping));
            }
            Waiter::Peer { vm, .. } => cx.send(vm, RequestMessage::TableMoved { issuer, to }),
        }
    }

    pub(super) fn on_relayed(
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
            cx.send(from, RequestMessage::TableMoved { issuer, to });
            return;
        }
        let me = &cx.view.me;
        if issuer.vm == me.id && issuer.incarnation <= me.incarnation {
            self.reply(cx, &waiter, Answer::unknown(UnknownReason::VmGone));
        }
    }

    pub(super) fn on_ended(&mut self, cx: &mut Cx<'_>, id: RelayId, answer: Answer) {
        match self.relays.on_ended(cx, id) {
            Some(call) => self.reply(cx, &Waiter::Call(call), answer),
            None => cx.count(Counter::RelayedAnswerLate),
        }
    }

    /// Repeats, answers or ends relayed requests whose time has come or whose
    /// VM is gone.
    pub(super) fn drive_relays(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
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
}
