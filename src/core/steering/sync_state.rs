//! Revisions and age of the view of the store.

use super::{
    directory::REREGISTER_TIME,
    peers::KindReport,
    position::EraView,
    store::{
        Era,
        Kind,
        Position, //
    },
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// State of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindState {
    /// Position up to which all changes are known; zero if none.
    pub position: Position,
    /// Position of the last change.
    pub changed: Position,
    /// When the store was known to have nothing newer.
    pub as_of: Time,
}

/// State of all kinds.
#[derive(Debug, Default)]
pub struct SyncState {
    /// Invariant: in the order of [`Kind::ALL`]. Revisions never decrease.
    known: [KindState; Kind::ALL.len()],
    /// Newest era of the store that this VM or another one has seen. `None`
    /// before the first answer.
    era: Option<EraView>,
    /// When the store last failed to answer any VM, as far as known.
    last_outage: Option<Time>,
}

impl SyncState {
    /// Returns the newest era seen.
    pub fn era(&self) -> Option<Era> {
        self.era.map(|view| view.era)
    }

    /// Returns what is known of the newest era seen.
    pub fn era_view(&self) -> EraView {
        self.era.unwrap_or_default()
    }

    /// Records that `era` was seen. Returns the era before if the store was
    /// restored since.
    pub fn observe_era(&mut self, era: Era, now: Time) -> Option<Era> {
        let before = self.era();
        if before.is_none_or(|b| b < era) {
            self.era = Some(EraView::begin(era, now));
        }
        before.filter(|b| *b < era)
    }

    /// Records that the store was at `position`, as far as that tells when the
    /// newest era began.
    pub fn observe_position(&mut self, position: Position) {
        if let Some(view) = &mut self.era {
            view.observe(position);
        }
    }

    /// Returns the state of a kind.
    pub fn get(&self, kind: Kind) -> &KindState {
        &self.known[kind as usize]
    }

    /// Returns whether a kind was ever received.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.get(kind).position > Position::NONE
    }

    /// Returns the age of the view of a kind. `None` if the kind is unknown.
    pub fn age(&self, kind: Kind, now: Time) -> Option<Millis> {
        self.is_known(kind).then(|| now.since(self.get(kind).as_of))
    }

    /// Records that all changes up to `position` are known. `changed` tells
    /// whether there were any.
    pub fn advance(&mut self, kind: Kind, position: Position, changed: bool, as_of: Time) {
        let known = &mut self.known[kind as usize];
        if changed {
            known.changed = known.changed.max(position);
        }
        self.confirm(kind, position, as_of);
    }

    /// Records that the view matched the store at `position`.
    pub fn confirm(&mut self, kind: Kind, position: Position, as_of: Time) {
        let known = &mut self.known[kind as usize];
        if position >= known.position {
            known.as_of = known.as_of.max(as_of);
        }
        known.position = known.position.max(position);
    }

    /// Sets the position of the last change to that of a VM whose objects were
    /// adopted.
    pub fn set_changed(&mut self, kind: Kind, changed: Position) {
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
            position: known.position,
            changed: known.changed,
            age: now.since(known.as_of),
        }
    }
}
