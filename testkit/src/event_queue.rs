//! A queue of events scheduled in virtual time.

use std::{
    cmp::{
        Ordering,
        Reverse, //
    },
    collections::BinaryHeap,
};

use dragonflytrack::kernel::clock::Time;

/// A scheduled event.
struct Entry<T> {
    at: Time,
    order: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Scheduled events, ordered by time. Events of the same time keep the order in
/// which they were added.
pub struct EventQueue<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    order: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue {
            entries: BinaryHeap::new(),
            order: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Schedules `event` for `at`.
    pub fn push(&mut self, at: Time, event: T) {
        self.order += 1;
        let order = self.order;
        self.entries.push(Reverse(Entry { at, order, event }));
    }

    /// Returns the time of the next event.
    pub fn next_time(&self) -> Option<Time> {
        self.entries.peek().map(|e| e.0.at)
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<T> {
        self.entries.pop().map(|e| e.0.event)
    }

    /// Replaces the time of each event by the result of `f`.
    pub fn reschedule(&mut self, f: impl Fn(Time, &T) -> Time) {
        for Reverse(mut entry) in std::mem::take(&mut self.entries) {
            entry.at = f(entry.at, &entry.event);
            self.entries.push(Reverse(entry));
        }
    }
}
