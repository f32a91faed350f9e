//! The lookup table from buckets to backend servers: weighted Maglev hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{
    flow::buckets::BUCKETS,
    names::BackendId, //
};

/// The entry of a bucket that no backend server serves.
pub const NO_TARGET: u16 = u16::MAX;

/// One candidate for the buckets of a table.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The backend server.
    pub name: &'a BackendId,
    /// What the table's entries call it.
    pub target: u16,
    /// Its share of the buckets, relative to the other candidates.
    pub weight: u64,
}

/// Maps each bucket to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    /// Invariant: one entry for each bucket.
    entries: Vec<u16>,
}

struct Turn {
    target: u16,
    next: usize,
    skip: usize,
    weight: u64,
    credit: u64,
}

impl Table {
    /// Creates a table without any backend server.
    pub fn empty() -> Table {
        Table {
            entries: vec![NO_TARGET; BUCKETS],
        }
    }

    /// Wraps entries that another VM has computed. Returns `None` if their
    /// number is wrong.
    pub fn from_entries(entries: Vec<u16>) -> Option<Table> {
        (entries.len() == BUCKETS).then_some(Table { entries })
    }

    /// Computes the table of `candidates`. VMs that pass the same candidates
    /// in any order get the same table.
    pub fn compile(candidates: &[Candidate<'_>]) -> Table {
        let mut table = Table::empty();
        let mut turns = turns(candidates);
        let Some(most) = turns.iter().map(|t| t.weight).max() else {
            return table;
        };
        let mut left = BUCKETS;
        while left > 0 {
            for turn in &mut turns {
                turn.credit += turn.weight;
                if turn.credit < most || left == 0 {
                    continue;
                }
                turn.credit -= most;
                table.take(turn);
                left -= 1;
            }
        }
        table
    }

    fn take(&mut self, turn: &mut Turn) {
        while self.entries[turn.next] != NO_TARGET {
            turn.next = (turn.next + turn.skip) % BUCKETS;
        }
        self.entries[turn.next] = turn.target;
    }

    /// Returns the entry of `bucket`.
    pub fn get(&self, bucket: usize) -> u16 {
        self.entries[bucket]
    }

    /// Returns all entries in the order of their buckets.
    pub fn entries(&self) -> &[u16] {
        &self.entries
    }
}

fn turns(candidates: &[Candidate<'_>]) -> Vec<Turn> {
    const OFFSET_SEED: u64 = 1;
    const SKIP_SEED: u64 = 2;
    let mut sorted: Vec<_> = candidates.iter().filter(|c| c.weight > 0).collect();
    sorted.sort_by_key(|c| c.name);
    let hash = |c: &Candidate<'_>, seed| xxh3_64_with_seed(c.name.as_str().as_bytes(), seed);
    sorted
        .into_iter()
        .map(|c| Turn {
            target: c.target,
            next: (hash(c, OFFSET_SEED) % BUCKETS as u64) as usize,
            skip: (hash(c, SKIP_SEED) % (BUCKETS as u64 - 1)) as usize + 1,
            weight: c.weight,
            credit: 0,
        })
        .collect()
}
