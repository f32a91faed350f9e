//! Recognition of messages that were overtaken by newer ones.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4, //
};

use super::message::LoadsOrigin;
use crate::{
    core::names::Incarnation,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long a hub that is silent is remembered. Far above the time that a datagram
/// takes.
const RETENTION: Millis = Millis::from_secs(10);

#[derive(Debug)]
struct Last {
    incarnation: Incarnation,
    number: u64,
    arrived: Time,
}

/// Last message of each hub.
#[derive(Debug, Default)]
pub(super) struct Origins {
    last: BTreeMap<SocketAddrV4, Last>,
}

impl Origins {
    /// Records a message. Returns whether it is newer than those of the same hub
    /// so far.
    pub(super) fn admit(&mut self, origin: &LoadsOrigin, now: Time) -> bool {
        let newest = self.last.get(&origin.hub);
        let newest = newest.map(|l| (l.incarnation, l.number));
        if newest.is_some_and(|newest| (origin.incarnation, origin.number) <= newest) {
            return false;
        }
        let last = Last {
            incarnation: origin.incarnation,
            number: origin.number,
            arrived: now,
        };
        self.last.insert(origin.hub, last);
        true
    }

    pub(super) fn sweep(&mut self, now: Time) {
        self.last.retain(|_, l| now.since(l.arrived) < RETENTION);
    }
}
