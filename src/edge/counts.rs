//! Counters for events outside the engine, such as overflows and parse errors.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use crate::core::counter::Counter;

/// Counters shared between actors and threads.
#[derive(Clone, Debug)]
pub struct EdgeCounts {
    /// Invariant: one entry per variant of [`Counter`], indexed by its discriminant.
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
    /// Increments `counter` by one.
    pub fn add(&self, counter: Counter) {
        self.counts[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }
}
