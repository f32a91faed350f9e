//! How VMs find each other when the seeds of the settings do not help.
//!
//! The VM that reads the store notes there where it may be found, one note for
//! each data centre. A VM that hears no other looks the notes up.

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

/// How long a VM must have been the one that reads before it says so.
const SETTLED_AFTER: Millis = Millis(2_000);

/// How long a VM waits for others before it looks them up, and again.
const LOOKUP_INTERVAL: Millis = Millis(2_000);

/// The pause after a note that was not taken.
const RETRY_INTERVAL: Millis = Millis(1_000);

/// What the other VMs look like from here.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Whether any other VM is heard.
    pub hears_others: bool,
    /// Whether this VM is the one that reads the store.
    pub reads: bool,
}

/// The notes and look-ups of one VM.
#[derive(Debug, Default)]
pub struct Registration {
    reads_since: Option<Time>,
    alone_since: Option<Time>,
    is_registered: bool,
    replaces: bool,
    next: Time,
}

impl Registration {
    /// Returns what to ask or tell the store now.
    pub fn next(&mut self, situation: Situation, me: &Contact, now: Time) -> Option<StoreCall> {
        note(&mut self.reads_since, situation.reads, now);
        note(&mut self.alone_since, !situation.hears_others, now);
        if !situation.reads {
            self.is_registered = false;
        }
        if now < self.next {
            return None;
        }
        if self
            .alone_since
            .is_some_and(|at| now.since(at) >= LOOKUP_INTERVAL)
        {
            self.alone_since = Some(now);
            return Some(StoreCall::Lookup);
        }
        let is_settled = self
            .reads_since
            .is_some_and(|at| now.since(at) >= SETTLED_AFTER);
        if self.is_registered || !is_settled {
            return None;
        }
        self.next = now + RETRY_INTERVAL;
        Some(StoreCall::Register {
            contact: me.clone(),
            replaces: self.replaces,
        })
    }

    /// Takes in an answer. Returns where other VMs may be found.
    pub fn on_answer(&mut self, answer: StoreAnswer, now: Time) -> Vec<Contact> {
        match answer {
            StoreAnswer::Contacts(contacts) => return contacts,
            StoreAnswer::Registered => self.is_registered = true,
            StoreAnswer::RegistrationConflict => {
                self.replaces = !self.replaces;
                self.next = now;
            }
            // It is tried again after the pause.
            _ => {}
        }
        Vec::new()
    }
}

/// Notes since when something holds.
fn note(since: &mut Option<Time>, holds: bool, now: Time) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}
