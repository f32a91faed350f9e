//! Requests relayed to the VM that holds their ticket's table.

use std::collections::BTreeMap;

use crate::{
    core::{
        counter::Counter,
        cx::Cx,
        names::{
            ServiceId,
            VmId, //
        },
        request::{
            call::CallId,
            http::HttpRequest,
            message::{
                RelayId,
                RelayedRequest,
                RequestMessage, //
            },
            ticket::{
                Issuer,
                Ticket, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Maximum body size of a non-idempotent request, in bytes.
pub const MAX_RELAYED_BODY_BYTES: usize = 4 << 20;

/// Delay before an unanswered relayed request is first resent.
const MIN_RESEND_INTERVAL: Millis = Millis(200);

/// Limit of the exponential backoff between resends.
const MAX_RESEND_INTERVAL: Millis = Millis::from_secs(2);

/// A request with its ticket.
#[derive(Clone, Debug)]
pub struct TicketedRequest {
    /// Parsed but not yet verified.
    pub ticket: Ticket,
    /// Requested service.
    pub service: ServiceId,
    /// Request to run.
    pub request: HttpRequest,
    /// When the caller stops waiting.
    pub deadline: Time,
}

#[derive(Debug)]
struct Relay {
    call: CallId,
    ticketed: TicketedRequest,
    next_send: Time,
    resend_interval: Millis,
}

/// Relayed requests that are not answered yet.
#[derive(Debug, Default)]
pub struct Relays {
    next_number: u64,
    relays: BTreeMap<u64, Relay>,
}

impl Relays {
    /// Relays the request of `call` to the VM `to`.
    pub fn start(&mut self, cx: &mut Cx<'_>, call: CallId, ticketed: TicketedRequest, to: &VmId) {
        cx.count(Counter::RequestRelayed);
        let number = self.next_number;
        self.next_number += 1;
        let mut relay = Relay {
            call,
            ticketed,
            next_send: cx.now,
            resend_interval: MIN_RESEND_INTERVAL,
        };
        relay.send(cx, number, to);
        self.relays.insert(number, relay);
    }

    /// Removes an answered relay. Returns its call, or `None` if it is unknown or
    /// of an earlier run.
    pub fn on_answer(&mut self, cx: &Cx<'_>, id: RelayId) -> Option<CallId> {
        if id.origin != cx.view.me.incarnation {
            return None;
        }
        self.relays.remove(&id.number).map(|relay| relay.call)
    }

    /// Drops the relay of `call`. Returns whether there was one.
    pub fn cancel(&mut self, call: CallId) -> bool {
        let before = self.relays.len();
        self.relays.retain(|_, relay| relay.call != call);
        self.relays.len() < before
    }

    /// Makes relays with tickets of `issuer` due for resending.
    pub fn on_table_moved(&mut self, now: Time, issuer: &Issuer) {
        for relay in self.relays.values_mut() {
            if relay.ticketed.ticket.issuer == *issuer {
                relay.next_send = now;
            }
        }
    }

    /// Resends a relayed request if due.
    pub fn resend(&mut self, cx: &mut Cx<'_>, number: u64, to: &VmId) {
        let Some(relay) = self.relays.get_mut(&number) else {
            return;
        };
        if relay.next_send <= cx.now {
            cx.count(Counter::RequestRelayRepeated);
            relay.send(cx, number, to);
        }
    }

    /// Returns the number and ticket issuer of each relayed request.
    pub fn pending(&self) -> Vec<(u64, Issuer)> {
        self.relays
            .iter()
            .map(|(number, relay)| (*number, relay.ticketed.ticket.issuer.clone()))
            .collect()
    }

    /// Removes and returns a relayed request.
    pub fn remove(&mut self, number: u64) -> Option<(CallId, TicketedRequest)> {
        let relay = self.relays.remove(&number)?;
        Some((relay.call, relay.ticketed))
    }
}

impl Relay {
    fn send(&mut self, cx: &mut Cx<'_>, number: u64, to: &VmId) {
        self.next_send = cx.now + self.resend_interval;
        self.resend_interval = Millis(self.resend_interval.0 * 2).min(MAX_RESEND_INTERVAL);
        let remaining = self.ticketed.deadline.since(cx.now);
        let id = RelayId {
            origin: cx.view.me.incarnation,
            number,
        };
        let relayed = RelayedRequest {
            id,
            ticket: self.ticketed.ticket.clone(),
            service: self.ticketed.service.clone(),
            request: self.ticketed.request.clone(),
            deadline: cx.wall + remaining,
        };
        cx.send(to, RequestMessage::RelayRequest(relayed));
    }
}
