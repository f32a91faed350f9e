//! A peer that is known by its address, heard or not, and when it gets
//! heartbeats.

use super::peers::Contact;
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Interval between two heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// Interval between two heartbeats of VMs of the same data centre in a full mesh. They
/// prefer the same backend servers, whose load changes within the time of a request.
pub(super) const LOCAL_HEARTBEAT_INTERVAL: Millis = Millis(100);

/// Interval between the first two heartbeats to a seed that was never heard. It
/// may start a little later than this VM. Doubles with each retry.
const FIRST_RETRY_INTERVAL: Millis = Millis(25);

/// Number of such retries.
const FIRST_RETRIES: u32 = 3;

/// How long a peer that this VM was told of at its start gets heartbeats without
/// being heard.
const START_PEER_TIME: Millis = Millis(1_500);

/// A peer that was not heard for this long counts as lost.
pub const LOST_AFTER: Millis = Millis(800);

/// Heartbeat interval for a peer that does not answer.
const SILENT_INTERVAL: Millis = Millis(1_000);

/// How long an unresponsive peer is not selected as a hub.
const AVOID_TIME: Millis = Millis::from_secs(3);

/// A known address of a peer.
#[derive(Clone, Debug)]
pub(super) struct KnownPeer {
    /// `None` for a seed that was never heard.
    pub(super) contact: Option<Contact>,
    /// When the peer was last heard, or first learned of.
    pub(super) heard: Time,
    /// Since when heartbeats to it are unanswered.
    pub(super) silent_since: Option<Time>,
    /// Whether it requested heartbeats.
    pub(super) wants_heartbeats: bool,
    /// When the next heartbeat is due, if it gets any.
    pub(super) next: Time,
    /// Whether it gets heartbeats at the start of this VM, hub or not. Cleared once
    /// it is heard.
    pub(super) is_start_peer: bool,
    /// Heartbeats sent to it before it was first heard.
    pub(super) unanswered: u32,
}

impl KnownPeer {
    /// Creates a peer that was not heard yet.
    pub(super) fn open(contact: Option<&Contact>, now: Time) -> KnownPeer {
        KnownPeer {
            contact: contact.cloned(),
            heard: now,
            silent_since: None,
            wants_heartbeats: false,
            next: now,
            is_start_peer: false,
            unanswered: 0,
        }
    }

    pub(super) fn is_live(&self, now: Time) -> bool {
        now.since(self.heard) < LOST_AFTER
    }

    /// Returns whether it is in the given data centre, as far as known.
    pub(super) fn is_in(&self, data_centre: &DataCentreId) -> bool {
        let contact = self.contact.as_ref();
        contact.is_some_and(|c| c.data_centre == *data_centre)
    }

    /// Returns whether it gets heartbeats without being a hub.
    pub(super) fn gets_first_heartbeats(&self, now: Time) -> bool {
        let may_start = now.since(self.heard) < START_PEER_TIME;
        self.contact.is_none() || (self.is_start_peer && may_start)
    }

    /// Returns the time to the next heartbeat: `usual`, unless it does not answer.
    pub(super) fn heartbeat_interval(&self, usual: Millis, now: Time) -> Millis {
        let is_seed = self.contact.is_none() || self.is_start_peer;
        if is_seed && self.unanswered < FIRST_RETRIES {
            return Millis(FIRST_RETRY_INTERVAL.0 << self.unanswered);
        }
        let is_silent = |since: Time| now.since(since) >= LOST_AFTER;
        if self.silent_since.is_some_and(is_silent) {
            return SILENT_INTERVAL;
        }
        usual
    }

    /// Returns whether it is not in the avoidance period after failing to
    /// answer.
    pub(super) fn may_answer(&self, now: Time) -> bool {
        let Some(since) = self.silent_since else {
            return true;
        };
        let silent_for = now.since(since);
        silent_for < LOST_AFTER || silent_for >= LOST_AFTER + AVOID_TIME
    }
}
