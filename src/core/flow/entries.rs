//! The flows that the lookup table alone does not place.

use hashbrown::{
    HashMap,
    hash_map::Entry as MapEntry, //
};

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a copied answer is used without a packet.
const CACHE_IDLE: Millis = Millis::from_secs(60);

/// How long a pin is kept without a packet.
const PIN_IDLE: Millis = Millis::from_secs(2 * 3_600);

/// How long a flow is kept after its FIN or RST.
const CLOSED_IDLE: Millis = Millis::from_secs(30);

/// The most flows that are kept.
pub const MAX_ENTRIES: usize = 1 << 20;

/// The unit of [`Entry::seen`].
const TICKS_PER_ENTRY_TIME: u64 = 100;

/// How an entry came about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// This VM is or was a home of the flow.
    Pin,
    /// A home has answered.
    Cache,
}

/// Where a flow lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The backend server, among the targets of the service.
    pub target: u16,
    /// The service, among the services of this VM.
    pub service: u16,
    /// The time of the last packet in tenths of a second.
    seen: u32,
    /// How the entry came about.
    pub kind: EntryKind,
    /// Whether a FIN or RST has passed.
    pub closed: bool,
}

/// The flows by their hash.
#[derive(Debug, Default)]
pub struct Entries {
    map: HashMap<u64, Entry>,
}

/// The table is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

impl Entry {
    /// Creates an entry that was used at `now`.
    pub fn new(service: u16, target: u16, kind: EntryKind, now: Time) -> Entry {
        Entry {
            target,
            service,
            seen: entry_time(now),
            kind,
            closed: false,
        }
    }

    /// Returns how long the flow has had no packet here.
    pub fn idle(&self, now: Time) -> Millis {
        let span = entry_time(now).saturating_sub(self.seen);
        Millis(u64::from(span) * TICKS_PER_ENTRY_TIME)
    }

    /// Notes a packet of the flow.
    pub fn touch(&mut self, now: Time, closing: bool) {
        self.seen = entry_time(now);
        self.closed |= closing;
    }

    fn is_expired(&self, now: Time) -> bool {
        let limit = match (self.closed, self.kind) {
            (true, _) => CLOSED_IDLE,
            (false, EntryKind::Pin) => PIN_IDLE,
            (false, EntryKind::Cache) => CACHE_IDLE,
        };
        self.idle(now) >= limit
    }
}

impl Entries {
    /// Returns the unexpired entry of `flow`.
    pub fn get_mut(&mut self, flow: u64, now: Time) -> Option<&mut Entry> {
        self.map.get_mut(&flow).filter(|e| !e.is_expired(now))
    }

    /// Stores `entry`. A pin is never weakened to a cached answer.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn insert(&mut self, flow: u64, entry: Entry) -> Result<(), Full> {
        let full = self.map.len() >= MAX_ENTRIES;
        match self.map.entry(flow) {
            MapEntry::Occupied(mut place) => {
                let kind = match place.get().kind {
                    EntryKind::Pin => EntryKind::Pin,
                    EntryKind::Cache => entry.kind,
                };
                place.insert(Entry { kind, ..entry });
            }
            MapEntry::Vacant(_) if full => return Err(Full),
            MapEntry::Vacant(place) => {
                place.insert(entry);
            }
        }
        Ok(())
    }

    /// Forgets `flow`. Returns whether it was known.
    pub fn remove(&mut self, flow: u64) -> bool {
        self.map.remove(&flow).is_some()
    }

    /// Forgets `flow` unless it is pinned.
    pub fn remove_cached(&mut self, flow: u64) {
        if self
            .map
            .get(&flow)
            .is_some_and(|e| e.kind == EntryKind::Cache)
        {
            self.map.remove(&flow);
        }
    }

    /// Forgets the entries that have expired.
    pub fn sweep(&mut self, now: Time) {
        self.map.retain(|_, e| !e.is_expired(now));
    }

    /// Returns all entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.map.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns the memory of the table in bytes.
    pub fn memory(&self) -> usize {
        self.map.allocation_size()
    }
}

fn entry_time(now: Time) -> u32 {
    (now.0 / TICKS_PER_ENTRY_TIME) as u32
}
