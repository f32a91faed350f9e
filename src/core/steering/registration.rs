//! Peer discovery through the store when the configured seeds are not
//! reachable.
//!
//! The VM that reads the store registers its contact there, one per data
//! centre. A VM that hears no peer looks the registered contacts up.

use super::{
    peers::Contact,
    store::{
        StoreAnswer,
        StoreCall, //
    },
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a VM must have been the reader before it registers.
const MIN_READER_TIME: Millis = Millis(2_000);

/// How long a VM must be without peers before each lookup.
const LOOKUP_INTERVAL: Millis = Millis(2_000);

/// Pause after a failed registration.
const RETRY_INTERVAL: Millis = Millis(1_000);

/// Inputs for deciding about registration and lookup.
#[derive(Clone, Copy, Debug)]
pub struct ReaderStatus {
    /// Whether any peer is heard.
    pub has_peers: bool,
    /// Whether this VM reads the store.
    pub is_reader: bool,
}

/// Registration and lookup state of one VM.
#[derive(Debug, Default)]
pub struct Registration {
    reader_since: Option<Time>,
    isolated_since: Option<Time>,
    is_registered: bool,
    replaces: bool,
    next: Time,
}

impl Registration {
    /// Returns the next call to the store, if one is due.
    pub fn next(&mut self, status: ReaderStatus, me: &Contact, now: Time) -> Option<StoreCall> {
        track_since(&mut self.reader_since, status.is_reader, now);
        track_since(&mut self.isolated_since, !status.has_peers, now);
        if !status.is_reader {
            self.is_registered = false;
        }
        if now < self.next {
            return None;
        }
        if self
            .isolated_since
            .is_some_and(|at| now.since(at) >= LOOKUP_INTERVAL)
        {
            self.isolated_since = Some(now);
            return Some(StoreCall::Lookup);
        }
        let is_settled = self
            .reader_since
            .is_some_and(|at| now.since(at) >= MIN_READER_TIME);
        if self.is_registered || !is_settled {
            return None;
        }
        self.next = now + RETRY_INTERVAL;
        Some(StoreCall::Register {
            contact: me.clone(),
            replaces: self.replaces,
        })
    }

    /// Registers again, because the store may have lost the registration.
    pub fn repeat(&mut self, now: Time) {
        self.is_registered = false;
        self.next = now;
    }

    /// Processes an answer. Returns the contacts it contains.
    pub fn on_answer(&mut self, answer: StoreAnswer, now: Time) -> Vec<Contact> {
        match answer {
            StoreAnswer::Contacts(contacts) => return contacts,
            StoreAnswer::Registered => self.is_registered = true,
            StoreAnswer::RegistrationConflict => {
                self.replaces = !self.replaces;
                self.next = now;
            }
            // Retried after the pause.
            _ => {}
        }
        Vec::new()
    }
}

/// Tracks since when a condition holds.
fn track_since(since: &mut Option<Time>, holds: bool, now: Time) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}
