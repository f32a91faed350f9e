//! Detection of backend servers that reject new flows or leave them unanswered.
//!
//! Covers a server process that crashed while its machine runs on, so that each
//! new flow is rejected within a millisecond. Clients retry at once, and a
//! server that rejects everything has the lowest load. Return traffic bypasses
//! this VM; it only sees that flows placed there never open and that their
//! clients open others instead.

use std::net::Ipv4Addr;

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Consecutive unopened flows after which handshakes count as failing.
const MIN_UNOPENED: usize = 2;

/// Maximum number of unopened flows recorded per backend server.
const MAX_UNOPENED: usize = 4;

/// How long an unopened flow counts. The backend server is tried again
/// afterwards.
const RETENTION: Millis = Millis::from_secs(2);

/// Weight of a new handshake in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Multiple of the mean handshake time after which a handshake is late.
const LATE_FACTOR: f64 = 2.0;

/// Bounds of the time after which a handshake is late, in milliseconds.
const LATE_BOUNDS_MS: [f64; 2] = [15.0, 180.0];

/// Fraction of the mean handshake time after which a client may have received a
/// rejection.
const REJECTED_FACTOR: f64 = 0.75;

/// A client that opens another flow within this time after an unopened one
/// counts as rejected. A later flow may come from another user of the client.
const RETRY_WINDOW: Millis = Millis(100);

/// Last opening packet of a client.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    tag: Tag,
    at: Time,
}

/// Handshakes of the flows that this VM placed.
#[derive(Debug, Default)]
pub struct Handshakes {
    /// Moving average in milliseconds. `None` before the first handshake.
    mean_ms: Option<f64>,
    /// Placement times of the flows that have not opened since the last one
    /// that did.
    ///
    /// Invariant: oldest first, at most [`MAX_UNOPENED`], never empty.
    unopened: HashMap<Tag, SmallVec<[Time; MAX_UNOPENED]>>,
    /// Last unfinished attempt of each client.
    attempts: HashMap<Ipv4Addr, Attempt>,
    /// Backend servers that rejected a flow, with the time.
    rejecting: HashMap<Tag, Time>,
}

impl Handshakes {
    /// Handles a new flow of a client. If the client's previous attempt failed
    /// recently, its backend server is marked as rejecting. Returns whether it is.
    pub fn detect_retry(&mut self, client: Ipv4Addr, now: Time) -> bool {
        let Some(last) = self.attempts.remove(&client) else {
            return false;
        };
        // Two users behind one client address may open flows at the same time.
        let rejected_after = self
            .mean_ms
            .map(|mean_ms| Millis((REJECTED_FACTOR * mean_ms) as u64));
        let is_retry = |after: Millis| (after..RETRY_WINDOW).contains(&now.since(last.at));
        let was_rejected = rejected_after.is_some_and(is_retry);
        if was_rejected {
            self.rejecting.insert(last.tag, now);
        }
        was_rejected
    }

    /// Records that a client's opening packet was forwarded to a backend
    /// server.
    pub fn record_attempt(&mut self, client: Ipv4Addr, tag: Tag, now: Time) {
        self.attempts.insert(client, Attempt { tag, at: now });
        let unopened = self.unopened.entry(tag).or_default();
        unopened.retain(|at| now.since(*at) < RETENTION);
        if unopened.len() < MAX_UNOPENED {
            unopened.push(now);
        }
    }

    /// Records that a client's flow opened, with the handshake time if known.
    pub fn record_success(&mut self, client: Ipv4Addr, tag: Tag, elapsed: Option<Millis>) {
        self.unopened.remove(&tag);
        self.rejecting.remove(&tag);
        if self.attempts.get(&client).is_some_and(|a| a.tag == tag) {
            self.attempts.remove(&client);
        }
        let Some(elapsed) = elapsed.map(|t| t.0 as f64) else {
            return;
        };
        let mean_ms = self.mean_ms.get_or_insert(elapsed);
        *mean_ms += SMOOTHING_FACTOR * (elapsed - *mean_ms);
    }

    /// Returns the mean handshake time in milliseconds; `None` before the first
    /// handshake.
    pub fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// Returns whether a backend server rejects new flows or leaves them
    /// unanswered.
    pub fn is_failing(&self, tag: Tag, now: Time) -> bool {
        let rejected = self.rejecting.get(&tag);
        if rejected.is_some_and(|at| now.since(*at) < RETENTION) {
            return true;
        }
        let late_after = self.late_after();
        let is_late = |at: &Time| (late_after..RETENTION).contains(&now.since(*at));
        self.unopened.get(&tag).is_some_and(|unopened| {
            unopened.iter().filter(|at| is_late(at)).count() >= MIN_UNOPENED
        })
    }

    /// Iterates over the backend servers with unopened flows whose handshakes
    /// fail.
    pub fn failing(&self, now: Time) -> impl Iterator<Item = Tag> {
        let tags = self.unopened.keys().copied();
        tags.filter(move |tag| self.is_failing(*tag, now))
    }

    /// Removes expired records.
    pub fn sweep(&mut self, now: Time) {
        self.unopened
            .retain(|_, unopened| unopened.iter().any(|at| now.since(*at) < RETENTION));
        self.rejecting.retain(|_, at| now.since(*at) < RETENTION);
        self.attempts
            .retain(|_, last| now.since(last.at) < RETRY_WINDOW);
    }

    /// Returns the time after which a handshake with any backend server is late.
    pub fn late_after(&self) -> Millis {
        late_after(self.mean_ms)
    }

    /// Iterates over the flows that have not opened, in arbitrary order: the backend
    /// server and when the opening packet was sent.
    pub fn unopened(&self) -> impl Iterator<Item = (Tag, Time)> {
        let unopened = self.unopened.iter();
        unopened.flat_map(|(tag, sent)| sent.iter().map(|at| (*tag, *at)))
    }
}

/// Returns the time after which a handshake is late, by the mean handshake time.
pub fn late_after(mean_ms: Option<f64>) -> Millis {
    let [min, max] = LATE_BOUNDS_MS;
    let late_after = mean_ms.map_or(max, |mean_ms| LATE_FACTOR * mean_ms);
    Millis(late_after.clamp(min, max) as u64)
}
