//! Revisions and age of the view of the store.

use super::{
    directory::REREGISTER_TIME,
    peers::KindReport,
    store::{
        Kind,
        Revision, //
    },
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// State of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindState {
    /// Revision up to which all changes are known; zero if none.
    pub revision: Revision,
    /// Revision of the last change.
    pub changed: Revision,
    /// When the store was known to have nothing newer.
    pub as_of: Time,
}

/// State of all kinds.
#[derive(Debug, Default)]
pub struct SyncState {
    /// Invariant: in the order of [`Kind::ALL`]. Revisions never decrease.
    known: [KindState; Kind::ALL.len()],
    /// When the store last failed to answer any VM, as far as known.
    last_outage: Option<Time>,
}

impl SyncState {
    /// Returns the state of a kind.
    pub fn get(&self, kind: Kind) -> &KindState {
        &self.known[kind as usize]
    }

    /// Returns whether a kind was ever received.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.get(kind).revision > Revision(0)
    }

    /// Returns the age of the view of a kind. `None` if the kind is unknown.
    pub fn age(&self, kind: Kind, now: Time) -> Option<Millis> {
        self.is_known(kind).then(|| now.since(self.get(kind).as_of))
    }

    /// Records that all changes up to `revision` are known. `changed` tells
    /// whether there were any.
    pub fn advance(&mut self, kind: Kind, revision: Revision, changed: bool, as_of: Time) {
        let known = &mut self.known[kind as usize];
        if changed {
            known.changed = known.changed.max(revision);
        }
        self.confirm(kind, revision, as_of);
    }

    /// Records that the view matched the store at `revision`.
    pub fn confirm(&mut self, kind: Kind, revision: Revision, as_of: Time) {
        let known = &mut self.known[kind as usize];
        if revision >= known.revision {
            known.as_of = known.as_of.max(as_of);
        }
        known.revision = known.revision.max(revision);
    }

    /// Sets the revision of the last change to that of a VM whose objects were
    /// adopted.
    pub fn set_changed(&mut self, kind: Kind, changed: Revision) {
        self.known[kind as usize].changed = changed;
    }

    /// Ages all kinds by a span that the clock did not count.
    pub fn add_age(&mut self, span: Millis) {
        for known in &mut self.known {
            known.as_of = known.as_of - span;
        }
    }

    /// Records that the store failed to answer.
    pub fn record_outage(&mut self, at: Time) {
        self.last_outage = self.last_outage.max(Some(at));
    }

    /// Returns when the store last failed to answer.
    pub fn last_outage(&self) -> Option<Time> {
        self.last_outage
    }

    /// Returns when a missing object counts as removed rather than lost in an
    /// outage.
    pub fn outage_settled_at(&self) -> Time {
        self.last_outage
            .map_or(Time::default(), |at| at + REREGISTER_TIME)
    }

    /// Returns the reports of all kinds for other VMs.
    pub fn reports(&self, now: Time) -> [KindReport; Kind::ALL.len()] {
        Kind::ALL.map(|kind| self.kind_report(kind, now))
    }

    /// Returns the report of one kind for other VMs.
    pub fn kind_report(&self, kind: Kind, now: Time) -> KindReport {
        let known = self.get(kind);
        KindReport {
            revision: known.revision,
            changed: known.changed,
            age: now.since(known.as_of),
        }
    }
}
