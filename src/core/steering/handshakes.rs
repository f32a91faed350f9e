//! Which backend servers reject new flows or leave them unanswered.
//!
//! The load that this answers: a backend server that crashed while its machine
//! goes on, so that each new flow is rejected within a millisecond. The client
//! tries again at once, and what rejects everything has the least to do. Answers
//! do not pass this VM; what it sees is that the flows it sent there never open,
//! and that their clients open others instead.

use std::net::Ipv4Addr;

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// New flows in a row that did not open and make a backend server doubtful.
const ENOUGH: usize = 2;

/// How many of them are remembered.
const REMEMBERED: usize = 4;

/// How long they count. Then the backend server is tried again.
const KEPT_FOR: Millis = Millis::from_secs(2);

/// What a new handshake weighs against those before it.
const SMOOTHING: f64 = 0.1;

/// How often the usual time of a handshake may pass until it is late.
const PATIENCE: f64 = 2.0;

/// The least and the most that a handshake may take until it is late.
const PATIENCE_BOUNDS: [f64; 2] = [15.0, 180.0];

/// The part of the usual time of a handshake after which a client may know that
/// its flow was rejected.
const ANSWERED: f64 = 0.75;

/// A client that opens another flow this soon after one that did not open was
/// rejected. Later it may be another user of the client.
const RETRIED_WITHIN: Millis = Millis(100);

/// The flow that a client was about to open.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    tag: Tag,
    at: Time,
}

/// The handshakes of the flows that this VM placed.
#[derive(Debug, Default)]
pub struct Handshakes {
    /// The usual time in milliseconds. `None` before the first.
    usual: Option<f64>,
    /// When the flows were placed that have not opened since the last that did.
    ///
    /// Invariant: the oldest first, at most [`REMEMBERED`], never empty.
    unopened: HashMap<Tag, SmallVec<[Time; REMEMBERED]>>,
    /// The last attempt of each client that has not succeeded.
    attempts: HashMap<Ipv4Addr, Attempt>,
    /// The backend servers that rejected a flow, and when.
    rejecting: HashMap<Tag, Time>,
}

impl Handshakes {
    /// Notes that a client opens a new flow. If it just tried another one in
    /// vain, that was rejected.
    pub fn attempted(&mut self, client: Ipv4Addr, now: Time) {
        let Some(last) = self.attempts.remove(&client) else {
            return;
        };
        // Two users of a client may open flows at the same time.
        let answered_after = self.usual.map(|usual| Millis((ANSWERED * usual) as u64));
        let is_retry = |after: Millis| (after..RETRIED_WITHIN).contains(&now.since(last.at));
        if answered_after.is_some_and(is_retry) {
            self.rejecting.insert(last.tag, now);
        }
    }

    /// Notes that a flow of a client was offered to a backend server.
    pub fn offered(&mut self, client: Ipv4Addr, tag: Tag, now: Time) {
        self.attempts.insert(client, Attempt { tag, at: now });
        let unopened = self.unopened.entry(tag).or_default();
        unopened.retain(|at| now.since(*at) < KEPT_FOR);
        if unopened.len() < REMEMBERED {
            unopened.push(now);
        }
    }

    /// Notes that a flow of a client opened, and how long that took if it is
    /// known.
    pub fn opened(&mut self, client: Ipv4Addr, tag: Tag, took: Option<Millis>) {
        self.unopened.remove(&tag);
        self.rejecting.remove(&tag);
        if self.attempts.get(&client).is_some_and(|a| a.tag == tag) {
            self.attempts.remove(&client);
        }
        let Some(took) = took.map(|t| t.0 as f64) else {
            return;
        };
        let usual = self.usual.get_or_insert(took);
        *usual += SMOOTHING * (took - *usual);
    }

    /// Tells whether a backend server rejects new flows or leaves them
    /// unanswered.
    pub fn is_doubtful(&self, tag: Tag, now: Time) -> bool {
        let rejected = self.rejecting.get(&tag);
        if rejected.is_some_and(|at| now.since(*at) < KEPT_FOR) {
            return true;
        }
        let patience = self.patience();
        let is_late = |at: &Time| (patience..KEPT_FOR).contains(&now.since(*at));
        self.unopened
            .get(&tag)
            .is_some_and(|unopened| unopened.iter().filter(|at| is_late(at)).count() >= ENOUGH)
    }

    /// The backend servers that reject new flows or leave them unanswered.
    pub fn doubtful(&self, now: Time) -> impl Iterator<Item = Tag> {
        let tags = self.unopened.keys().copied();
        tags.filter(move |tag| self.is_doubtful(*tag, now))
    }

    /// Forgets what no longer counts.
    pub fn sweep(&mut self, now: Time) {
        self.unopened
            .retain(|_, unopened| unopened.iter().any(|at| now.since(*at) < KEPT_FOR));
        self.rejecting.retain(|_, at| now.since(*at) < KEPT_FOR);
        self.attempts
            .retain(|_, last| now.since(last.at) < RETRIED_WITHIN);
    }

    fn patience(&self) -> Millis {
        let [least, most] = PATIENCE_BOUNDS;
        let patience = self.usual.map_or(most, |usual| PATIENCE * usual);
        Millis(patience.clamp(least, most) as u64)
    }
}
