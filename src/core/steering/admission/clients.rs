//! Clients whose flows were refused or did not open, to recognise their retries.
//!
//! Clients make up to three tries, each on a new flow from a new port. A client
//! address may stand for many users, so each unserved flow explains one later flow.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use hashbrown::HashMap;
use smallvec::SmallVec;

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// A client that opens a flow within this time after an unserved one tries again.
const RETRY_WINDOW: Millis = Millis(1_000);

/// Time from which a flow that has not opened counts as unserved: the first
/// retransmission of its first packet.
const UNOPENED_AFTER: Millis = Millis(200);

/// Time after which a client gives up a flow that does not open.
const OPENING_TIME: Millis = Millis(1_400);

/// Maximum number of clients and routes. Retries of further ones count as first
/// tries.
const MAX_CLIENTS: usize = 4_096;

/// Maximum number of opening flows recorded for a client.
const MAX_OPENING: usize = 2;

/// Clients with unserved flows, by route.
#[derive(Debug, Default)]
pub struct UnservedClients {
    /// Invariant: at most [`MAX_CLIENTS`].
    records: HashMap<(Ipv4Addr, SocketAddrV4), Record>,
}

/// Unserved flows of one client on one route.
#[derive(Debug, Default)]
struct Record {
    /// Refused flows without a retry.
    refused: u32,
    /// Time of the last refusal.
    refused_at: Time,
    /// Start times of the flows that have not opened.
    ///
    /// Invariant: oldest first, at most [`MAX_OPENING`].
    opening: SmallVec<[Time; MAX_OPENING]>,
}

impl UnservedClients {
    /// Records a refusal.
    pub fn record_refusal(&mut self, client: Ipv4Addr, route: SocketAddrV4, now: Time) {
        let Some(record) = self.record(client, route) else {
            return;
        };
        if now.since(record.refused_at) >= RETRY_WINDOW {
            record.refused = 0;
        }
        record.refused += 1;
        record.refused_at = now;
    }

    /// Records that a flow was accepted.
    pub fn record_opening(&mut self, client: Ipv4Addr, route: SocketAddrV4, now: Time) {
        let Some(record) = self.record(client, route) else {
            return;
        };
        if record.opening.len() < MAX_OPENING {
            record.opening.push(now);
        }
    }

    /// Records that a flow opened.
    pub fn record_opened(&mut self, client: Ipv4Addr, route: SocketAddrV4) {
        if let Some(record) = self.records.get_mut(&(client, route)) {
            record.opening.pop();
        }
    }

    /// Returns whether a new flow is the retry of an unserved one.
    pub fn take_retry(&mut self, client: Ipv4Addr, route: SocketAddrV4, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&(client, route)) else {
            return false;
        };
        if record.refused > 0 && now.since(record.refused_at) < RETRY_WINDOW {
            record.refused -= 1;
            return true;
        }
        let unopened = UNOPENED_AFTER..OPENING_TIME + RETRY_WINDOW;
        let is_unopened = |at: &Time| unopened.contains(&now.since(*at));
        let found = record.opening.iter().position(is_unopened);
        found.map(|at| record.opening.remove(at)).is_some()
    }

    /// Removes expired records.
    pub fn sweep(&mut self, now: Time) {
        self.records.retain(|_, record| {
            let is_recent = |at: &Time| now.since(*at) < OPENING_TIME + RETRY_WINDOW;
            record.opening.retain(|at| is_recent(at));
            let was_refused = record.refused > 0 && now.since(record.refused_at) < RETRY_WINDOW;
            was_refused || !record.opening.is_empty()
        });
    }

    fn record(&mut self, client: Ipv4Addr, route: SocketAddrV4) -> Option<&mut Record> {
        let key = (client, route);
        if self.records.len() >= MAX_CLIENTS && !self.records.contains_key(&key) {
            return None;
        }
        Some(self.records.entry(key).or_default())
    }
}
