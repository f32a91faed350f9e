//! How much this VM knows of the store, and how old that is.

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

/// What is known of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// The version up to which all changes are known. Zero if none.
    pub revision: Revision,
    /// The version at which something changed last.
    pub changed: Revision,
    /// When the store was known to have nothing newer.
    pub as_of: Time,
}

/// What is known of all kinds.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// Invariant: by the order of [`Kind::ALL`]. Revisions never decrease.
    known: [Known; Kind::ALL.len()],
    /// When the store last failed to answer this VM or another one.
    trouble: Option<Time>,
}

impl Beliefs {
    /// What is known of a kind.
    pub fn get(&self, kind: Kind) -> &Known {
        &self.known[kind as usize]
    }

    /// Tells whether a kind was read at all.
    pub fn knows(&self, kind: Kind) -> bool {
        self.get(kind).revision > Revision(0)
    }

    /// How old the knowledge of a kind is. `None` if there is none.
    pub fn age(&self, kind: Kind, now: Time) -> Option<Millis> {
        self.knows(kind).then(|| now.since(self.get(kind).as_of))
    }

    /// Notes that all changes up to `revision` are known, and whether there was
    /// any.
    pub fn advance(&mut self, kind: Kind, revision: Revision, changed: bool, as_of: Time) {
        let known = &mut self.known[kind as usize];
        if changed {
            known.changed = known.changed.max(revision);
        }
        self.confirm(kind, revision, as_of);
    }

    /// Notes that what is known is what the store had at `revision`.
    pub fn confirm(&mut self, kind: Kind, revision: Revision, as_of: Time) {
        let known = &mut self.known[kind as usize];
        if revision >= known.revision {
            known.as_of = known.as_of.max(as_of);
        }
        known.revision = known.revision.max(revision);
    }

    /// Notes at which version something changed last, as another VM tells it
    /// whose knowledge was taken over whole.
    pub fn adopt_changed(&mut self, kind: Kind, changed: Revision) {
        self.known[kind as usize].changed = changed;
    }

    /// Notes that all knowledge is older than the clock says.
    pub fn age_by(&mut self, span: Millis) {
        for known in &mut self.known {
            known.as_of = known.as_of - span;
        }
    }

    /// Notes that the store failed to answer.
    pub fn note_trouble(&mut self, at: Time) {
        self.trouble = self.trouble.max(Some(at));
    }

    /// When the store last failed to answer.
    pub fn trouble(&self) -> Option<Time> {
        self.trouble
    }

    /// From when on an object that is missing was removed for good.
    pub fn trouble_over(&self) -> Time {
        self.trouble
            .map_or(Time::default(), |at| at + REREGISTER_TIME)
    }

    /// Returns what other VMs are told.
    pub fn export(&self, now: Time) -> [KindReport; Kind::ALL.len()] {
        Kind::ALL.map(|kind| self.export_kind(kind, now))
    }

    /// Returns what other VMs are told of one kind.
    pub fn export_kind(&self, kind: Kind, now: Time) -> KindReport {
        let known = self.get(kind);
        KindReport {
            revision: known.revision,
            changed: known.changed,
            age: now.since(known.as_of),
        }
    }
}
