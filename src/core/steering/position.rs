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
    kernel::clock::Millis, //
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
