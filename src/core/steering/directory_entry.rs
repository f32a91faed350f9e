//! State of one known backend server.

use std::cmp::Ordering;

use super::{
    position::RESTORE_GRACE,
    store::{
        BackendServer,
        Object,
        Position,
        Value, //
    },
};
use crate::{
    core::names::ServiceId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Extends a cold start to cover the delay between a backend server's write to
/// the store and this VM's read.
const COLD_MARGIN: Millis = Millis(400);

/// Whether the store lists a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The store lists it.
    Listed,
    /// The store does not list it, possibly because of an outage.
    Missing {
        /// When it counts as gone.
        gone_at: Time,
    },
    /// The copy that the store was restored from does not list it. It has had no
    /// time to write itself again.
    NotRestored {
        /// When it counts as gone.
        gone_at: Time,
    },
    /// It has left or died.
    Gone {
        /// When it was found to be gone.
        since: Time,
    },
}

/// A backend server and the state derived from its object.
#[derive(Debug)]
pub struct Entry {
    /// Last object of the backend server.
    pub server: BackendServer,
    /// Whether the store lists it.
    pub presence: Presence,
    /// End of its cold start.
    pub cold_until: Time,
    /// State in the copy that the store was restored from, if it contradicts
    /// what was known before.
    pub(super) doubted: Option<Doubted>,
    /// Name of its object.
    pub(super) name: String,
    /// Position of its object, or of the list that does not name it.
    pub(super) position: Position,
    /// Whether the active configuration names its service.
    pub(super) is_service_named: bool,
    /// Whether the last state of its object could be read.
    pub(super) is_readable: bool,
    /// Latest known start, in milliseconds since the Unix epoch. An object may lack its
    /// own; 0 if none was known.
    latest_start: u64,
}

/// State of a backend server in a copy that the store was restored from.
#[derive(Debug)]
pub(super) struct Doubted {
    server: BackendServer,
    /// When it takes effect unless the backend server writes itself again.
    until: Time,
}

impl Entry {
    /// Returns whether it may still hold flows.
    pub fn may_hold_flows(&self) -> bool {
        !matches!(self.presence, Presence::Gone { .. })
    }

    /// Creates the entry of a backend server that the store lists.
    pub(super) fn open(server: &BackendServer, object: &Object, now: Time) -> Entry {
        Entry {
            server: server.clone(),
            presence: Presence::Listed,
            cold_until: cold_until(server, now),
            doubted: None,
            name: object.name.clone(),
            position: object.position,
            is_service_named: true,
            is_readable: true,
            latest_start: server.started_unix_ms,
        }
    }

    /// Replaces the object that counts for the backend server by another one with its
    /// key. That alone ends no flow: only its own object tells that it started again.
    pub(super) fn replace(&mut self, server: &BackendServer, object: &Object, now: Time) {
        *self = Entry {
            latest_start: self.latest_start.max(server.started_unix_ms),
            ..Entry::open(server, object, now)
        };
    }

    /// Returns whether an object is of a later run than any known one.
    pub(super) fn is_restart(&self, server: &BackendServer) -> bool {
        self.latest_start > 0 && server.started_unix_ms > self.latest_start
    }

    /// Keeps the known state although the copy that the store was restored from
    /// has another one.
    pub(super) fn doubt(&mut self, server: &BackendServer, position: Position, now: Time) {
        self.position = position;
        self.doubted = Some(Doubted {
            server: server.clone(),
            until: now + RESTORE_GRACE,
        });
    }

    /// Returns whether the copy that the store was restored from would use the
    /// backend server although it is known to drain, to have left or to have
    /// started again since.
    pub(super) fn contradicts(&self, server: &BackendServer, position: Position) -> bool {
        if position.era <= self.position.era {
            return false;
        }
        let was_draining = self.server.draining && !server.draining;
        match server.started_unix_ms.cmp(&self.server.started_unix_ms) {
            Ordering::Less => true,
            Ordering::Equal => was_draining || !self.may_hold_flows(),
            Ordering::Greater => false,
        }
    }

    /// Applies a doubted state that was not written again in time. Returns the service
    /// before, if that happened.
    pub(super) fn settle_doubt(&mut self, now: Time) -> Option<ServiceId> {
        let doubted = self.doubted.take_if(|d| now >= d.until)?;
        let service = self.server.service.clone();
        self.update(&doubted.server, self.position, now);
        Some(service)
    }

    pub(super) fn mark_not_restored(&mut self, position: Position, gone_at: Time) {
        self.position = position;
        if matches!(self.presence, Presence::Listed | Presence::Missing { .. }) {
            self.presence = Presence::NotRestored { gone_at };
        }
    }

    pub(super) fn update(&mut self, server: &BackendServer, position: Position, now: Time) {
        self.doubted = None;
        let reported = cold_until(server, now);
        let is_same_run = server.started_unix_ms == self.server.started_unix_ms;
        // The copy that a store was restored from may repeat an old state.
        self.cold_until = match position.era > self.position.era && is_same_run {
            true => self.cold_until.max(reported),
            false => reported,
        };
        self.server = server.clone();
        self.presence = Presence::Listed;
        self.position = position;
        self.is_readable = true;
        self.latest_start = self.latest_start.max(server.started_unix_ms);
    }

    /// Stops new flows because the object cannot be read any more. Flows go on.
    pub(super) fn mark_unreadable(&mut self, position: Position) {
        self.position = position;
        self.is_readable = false;
        self.server.draining = true;
    }

    /// Returns the object as it was read.
    pub(super) fn object(&self) -> Object {
        Object {
            name: self.name.clone(),
            position: self.position,
            value: Some(Value::BackendServer(self.server.clone())),
        }
    }

    pub(super) fn export(&self, now: Time) -> Object {
        let mut server = self.server.clone();
        server.cold_for = self.cold_until.since(now);
        Object {
            value: Some(Value::BackendServer(server)),
            ..self.object()
        }
    }
}

fn cold_until(server: &BackendServer, now: Time) -> Time {
    if server.cold_for == Millis(0) {
        return now;
    }
    now + server.cold_for + COLD_MARGIN
}
