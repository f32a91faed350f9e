//! Peer discovery through the store, for VMs that start and for those whose
//! configured seeds are not reachable.
//!
//! The VM that reads the store registers a record of the fleet there, one per
//! data centre. Each VM looks the records up at its start, and again while it
//! hears no peer.

use super::{
    peers::FleetRecord,
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
    has_looked_up: bool,
    fleet_size: Option<usize>,
}

impl Registration {
    /// Returns the number of VMs of the fleet according to the records; `None`
    /// before the first answer or without any record.
    pub fn fleet_size(&self) -> Option<usize> {
        self.fleet_size
    }

    /// Returns the next call to the store, if one is due. `record` creates the
    /// record of this VM.
    pub fn next(
        &mut self,
        status: ReaderStatus,
        record: impl FnOnce() -> FleetRecord,
        now: Time,
    ) -> Option<StoreCall> {
        if !self.has_looked_up {
            self.has_looked_up = true;
            return Some(StoreCall::Lookup);
        }
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
            record: record(),
            replaces: self.replaces,
        })
    }

    /// Registers again, because the store may have lost the registration.
    pub fn repeat(&mut self, now: Time) {
        self.is_registered = false;
        self.next = now;
    }

    /// Processes an answer. Returns the records it contains.
    pub fn on_answer(&mut self, answer: StoreAnswer, now: Time) -> Vec<FleetRecord> {
        match answer {
            StoreAnswer::Records(records) => {
                self.fleet_size = records.iter().map(|r| r.vms).max();
                return records;
            }
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
