//! Objects that a VM exports for another one.

use super::store::Object;

/// Objects of one kind, exported for another VM.
#[derive(Debug, Default)]
pub struct Exported {
    /// Whether `objects` is the full list rather than a delta.
    pub is_full: bool,
    /// Existing objects.
    pub objects: Vec<Object>,
    /// Removed objects; empty in a full list.
    pub removed: Vec<Object>,
}

impl Exported {
    /// Creates a full export of a kind.
    pub fn full(objects: Vec<Object>) -> Exported {
        Exported {
            is_full: true,
            objects,
            removed: Vec::new(),
        }
    }
}
