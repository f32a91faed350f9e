//! Per-flow state for flows whose backend server cannot be derived from the
//! lookup table alone.

use hashbrown::{
    HashMap,
    hash_map::Entry as MapEntry, //
};

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Idle time after which a cached answer expires.
const CACHED_IDLE_TIMEOUT: Millis = Millis::from_secs(60);

/// Idle time after which a pinned flow expires.
const PINNED_IDLE_TIMEOUT: Millis = Millis::from_secs(2 * 3_600);

/// Idle time after which a flow expires once a FIN or RST was seen.
const CLOSED_IDLE_TIMEOUT: Millis = Millis::from_secs(30);

/// Maximum number of entries in the table.
pub const MAX_ENTRIES: usize = 1 << 20;

/// Length of one tick of [`FlowEntry::last_seen_ticks`].
const MILLIS_PER_TICK: u64 = 100;

/// Where an entry comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// This VM is or was a home of the flow's bucket and stores its backend
    /// server.
    Pinned,
    /// The backend server was learned from a home.
    Cached,
}

/// The backend server of one flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowEntry {
    /// Index of the backend server among the targets of the service.
    pub target: u16,
    /// Index of the service on this VM.
    pub service: u16,
    /// Time of the last packet, in ticks of 100 ms.
    last_seen_ticks: u32,
    /// Whether the entry is pinned or cached.
    pub kind: EntryKind,
    /// Whether a FIN or RST was seen.
    pub closed: bool,
}

/// The flow entries, keyed by flow hash.
#[derive(Debug, Default)]
pub struct FlowEntries {
    map: HashMap<u64, FlowEntry>,
}

/// Error returned when the table has reached [`MAX_ENTRIES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableFull;

impl FlowEntry {
    /// Creates an entry whose last packet was seen at `now`.
    pub fn new(service: u16, target: u16, kind: EntryKind, now: Time) -> FlowEntry {
        FlowEntry {
            target,
            service,
            last_seen_ticks: to_ticks(now),
            kind,
            closed: false,
        }
    }

    /// Returns the time since this VM last saw a packet of the flow.
    pub fn idle_time(&self, now: Time) -> Millis {
        let elapsed_ticks = to_ticks(now).saturating_sub(self.last_seen_ticks);
        Millis(u64::from(elapsed_ticks) * MILLIS_PER_TICK)
    }

    /// Records a packet of the flow at `now`. `closing` is set for a FIN or
    /// RST.
    pub fn touch(&mut self, now: Time, closing: bool) {
        self.last_seen_ticks = to_ticks(now);
        self.closed |= closing;
    }

    fn is_expired(&self, now: Time) -> bool {
        let limit = match (self.closed, self.kind) {
            (true, _) => CLOSED_IDLE_TIMEOUT,
            (false, EntryKind::Pinned) => PINNED_IDLE_TIMEOUT,
            (false, EntryKind::Cached) => CACHED_IDLE_TIMEOUT,
        };
        self.idle_time(now) >= limit
    }
}

impl FlowEntries {
    /// Returns the entry of `flow` unless it has expired.
    pub fn get_mut(&mut self, flow: u64, now: Time) -> Option<&mut FlowEntry> {
        self.map.get_mut(&flow).filter(|e| !e.is_expired(now))
    }

    /// Stores `entry`. A pinned flow stays pinned even if `entry` is cached.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn insert(&mut self, flow: u64, entry: FlowEntry) -> Result<(), TableFull> {
        let full = self.map.len() >= MAX_ENTRIES;
        match self.map.entry(flow) {
            MapEntry::Occupied(mut slot) => {
                let kind = match slot.get().kind {
                    EntryKind::Pinned => EntryKind::Pinned,
                    EntryKind::Cached => entry.kind,
                };
                slot.insert(FlowEntry { kind, ..entry });
            }
            MapEntry::Vacant(_) if full => return Err(TableFull),
            MapEntry::Vacant(slot) => {
                slot.insert(entry);
            }
        }
        Ok(())
    }

    /// Removes `flow` and returns whether it was present.
    pub fn remove(&mut self, flow: u64) -> bool {
        self.map.remove(&flow).is_some()
    }

    /// Removes `flow` unless it is pinned.
    pub fn remove_cached(&mut self, flow: u64) {
        if self
            .map
            .get(&flow)
            .is_some_and(|e| e.kind == EntryKind::Cached)
        {
            self.map.remove(&flow);
        }
    }

    /// Removes all expired entries.
    pub fn remove_expired(&mut self, now: Time) {
        self.map.retain(|_, e| !e.is_expired(now));
    }

    /// Returns all entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &FlowEntry)> {
        self.map.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns the allocated size of the table in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.map.allocation_size()
    }
}

fn to_ticks(now: Time) -> u32 {
    (now.0 / MILLIS_PER_TICK) as u32
}
