//! Counts of what happens at the sockets, outside the engine.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use crate::core::counter::Counter;

/// Counts that services and threads share.
#[derive(Clone, Debug)]
pub struct EdgeCounts {
    /// Invariant: one entry for each variant, indexed by its discriminant.
    counts: Arc<[AtomicU64]>,
}

impl Default for EdgeCounts {
    fn default() -> EdgeCounts {
        EdgeCounts {
            counts: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl EdgeCounts {
    /// Adds one to `counter`.
    pub fn add(&self, counter: Counter) {
        self.counts[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }
}
