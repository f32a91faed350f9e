//! Positions in the history of the platform's store.
//!
//! A store that was restored from an older copy has lost its last changes and
//! assigns their revisions again. Each restore begins a new era, so a position
//! is ordered by its era first: whatever is known from an earlier era is older.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::names::number_type,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Time that operators and backend servers have after a restore of the store to
/// write again what it lost.
pub const RESTORE_GRACE: Millis = Millis::from_secs(10);

number_type! {
    /// Number of restores of the store.
    Era
}

number_type! {
    /// Number of a change of the store. A single counter covers all objects. Unique
    /// within an era only.
    Revision
}

/// A point in the history of the store.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{revision} of era {era}")]
pub struct Position {
    /// Era of the store.
    pub era: Era,
    /// Change within the era; at least 1 if anything is known.
    pub revision: Revision,
}

impl Position {
    /// Before any change: nothing is known.
    pub const NONE: Position = Position {
        era: Era(0),
        revision: Revision(0),
    };

    /// Creates a position.
    pub fn new(era: Era, revision: Revision) -> Position {
        Position { era, revision }
    }
}

/// What a VM knows of an era of the store.
///
/// The copy that an era begins with keeps the revisions that its objects had, and
/// the changes that the copy lacks are followed by others with the same revisions.
/// So an equal revision in two eras does not tell whether a change is the same one.
/// What tells is when the era began: a change after a position that the store had
/// in the era was made within it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraView {
    /// Era.
    pub era: Era,
    /// When this VM learned of the era.
    pub learned_at: Time,
    /// Lowest position of the store within the era that any answer has shown.
    ///
    /// Invariant: of `era`; the copy that the era began with holds no later change.
    first: Option<Position>,
}

impl EraView {
    /// Creates the view of an era of which nothing else is known.
    pub fn begin(era: Era, learned_at: Time) -> EraView {
        EraView {
            era,
            learned_at,
            first: None,
        }
    }

    /// Records that the store was at `position`.
    pub fn observe(&mut self, position: Position) {
        if position.era != self.era {
            return;
        }
        let first = self.first.map_or(position, |first| first.min(position));
        self.first = Some(first);
    }

    /// Returns whether the change at `position` may be older than the era, because
    /// the copy that the era began with may hold it.
    pub fn may_be_copied(&self, position: Position) -> bool {
        position.era != self.era || self.first.is_none_or(|first| position <= first)
    }
}
