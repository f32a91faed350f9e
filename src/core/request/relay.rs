//! Requests relayed to the VM that decides about their tickets.

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

/// The largest body that is relayed, in bytes.
pub const MAX_RELAYED_BODY_BYTES: usize = 4 << 20;

/// When a relayed request is first repeated if it was not answered.
const FIRST_REPEAT: Millis = Millis(200);

/// How far apart the repeats of a relayed request are at most.
const MAX_REPEAT: Millis = Millis::from_secs(2);

/// A request with its ticket.
#[derive(Clone, Debug)]
pub struct Ticketed {
    /// The ticket.
    pub ticket: Ticket,
    /// The service.
    pub service: ServiceId,
    /// The request.
    pub request: HttpRequest,
    /// When the caller gives up.
    pub deadline: Time,
}

#[derive(Debug)]
struct Relay {
    call: CallId,
    ticketed: Ticketed,
    next_send: Time,
    repeat: Millis,
}

/// The requests that were relayed and not answered yet.
#[derive(Debug, Default)]
pub struct Relays {
    next: u64,
    relays: BTreeMap<u64, Relay>,
}

impl Relays {
    /// Relays a request to the VM `to`.
    pub fn start(&mut self, cx: &mut Cx<'_>, call: CallId, ticketed: Ticketed, to: &VmId) {
        cx.count(Counter::RequestRelayed);
        let number = self.next;
        self.next += 1;
        let mut relay = Relay {
            call,
            ticketed,
            next_send: cx.now,
            repeat: FIRST_REPEAT,
        };
        relay.send(cx, number, to);
        self.relays.insert(number, relay);
    }

    /// Takes in the answer to a relayed request. Returns whose request it was.
    pub fn on_ended(&mut self, cx: &Cx<'_>, id: RelayId) -> Option<CallId> {
        if id.origin != cx.view.me.incarnation {
            return None;
        }
        self.relays.remove(&id.number).map(|relay| relay.call)
    }

    /// Forgets the request of a caller.
    pub fn cancel(&mut self, call: CallId) -> bool {
        let before = self.relays.len();
        self.relays.retain(|_, relay| relay.call != call);
        self.relays.len() < before
    }

    /// Sends the requests with tickets of `issuer` again at once.
    pub fn on_moved(&mut self, now: Time, issuer: &Issuer) {
        for relay in self.relays.values_mut() {
            if relay.ticketed.ticket.issuer == *issuer {
                relay.next_send = now;
            }
        }
    }

    /// Repeats a relayed request if that is due.
    pub fn repeat(&mut self, cx: &mut Cx<'_>, number: u64, to: &VmId) {
        let Some(relay) = self.relays.get_mut(&number) else {
            return;
        };
        if relay.next_send <= cx.now {
            cx.count(Counter::RequestRelayRepeated);
            relay.send(cx, number, to);
        }
    }

    /// Returns all relayed requests: their numbers and the issuers of their
    /// tickets.
    pub fn open(&self) -> Vec<(u64, Issuer)> {
        self.relays
            .iter()
            .map(|(number, relay)| (*number, relay.ticketed.ticket.issuer.clone()))
            .collect()
    }

    /// Removes a relayed request.
    pub fn take(&mut self, number: u64) -> Option<(CallId, Ticketed)> {
        let relay = self.relays.remove(&number)?;
        Some((relay.call, relay.ticketed))
    }
}

impl Relay {
    fn send(&mut self, cx: &mut Cx<'_>, number: u64, to: &VmId) {
        self.next_send = cx.now + self.repeat;
        self.repeat = Millis(self.repeat.0 * 2).min(MAX_REPEAT);
        let left = self.ticketed.deadline.since(cx.now);
        let id = RelayId {
            origin: cx.view.me.incarnation,
            number,
        };
        let relayed = RelayedRequest {
            id,
            ticket: self.ticketed.ticket.clone(),
            service: self.ticketed.service.clone(),
            request: self.ticketed.request.clone(),
            deadline: cx.wall + left,
        };
        cx.send(to, RequestMessage::RelayRequest(relayed));
    }
}
