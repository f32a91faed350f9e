//! Lookup table from buckets to backend servers, built by weighted Maglev
//! hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{
    flow::buckets::BUCKET_COUNT,
    names::BackendId, //
};

/// Entry of a bucket without a backend server.
pub const NO_TARGET: u16 = u16::MAX;

/// A backend server that may be given buckets of a table.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the backend server.
    pub name: &'a BackendId,
    /// Value of the table entries that refer to it.
    pub target: u16,
    /// Share of the buckets, relative to the weights of the other candidates.
    pub weight: u64,
}

/// Maps each bucket to the index of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupTable {
    /// Invariant: one entry for each bucket.
    entries: Vec<u16>,
}

/// The order in which a candidate claims buckets: from `next` in steps of
/// `skip`.
struct Permutation {
    target: u16,
    next: usize,
    skip: usize,
    weight: u64,
    credit: u64,
}

impl LookupTable {
    /// Creates a table in which no bucket has a backend server.
    pub fn empty() -> LookupTable {
        LookupTable {
            entries: vec![NO_TARGET; BUCKET_COUNT],
        }
    }

    /// Creates a table from entries that another VM has computed. Returns
    /// `None` unless there is one entry for each bucket.
    pub fn from_entries(entries: Vec<u16>) -> Option<LookupTable> {
        (entries.len() == BUCKET_COUNT).then_some(LookupTable { entries })
    }

    /// Builds the table of `candidates`. The result does not depend on their
    /// order, so that all VMs build the same table.
    pub fn build(candidates: &[Candidate<'_>]) -> LookupTable {
        let mut table = LookupTable::empty();
        let mut permutations = build_permutations(candidates);
        let Some(max_weight) = permutations.iter().map(|p| p.weight).max() else {
            return table;
        };
        let mut remaining = BUCKET_COUNT;
        while remaining > 0 {
            for permutation in &mut permutations {
                permutation.credit += permutation.weight;
                if permutation.credit < max_weight || remaining == 0 {
                    continue;
                }
                permutation.credit -= max_weight;
                table.claim_bucket(permutation);
                remaining -= 1;
            }
        }
        table
    }

    fn claim_bucket(&mut self, permutation: &mut Permutation) {
        while self.entries[permutation.next] != NO_TARGET {
            permutation.next = (permutation.next + permutation.skip) % BUCKET_COUNT;
        }
        self.entries[permutation.next] = permutation.target;
    }

    /// Returns the entry of `bucket`.
    pub fn get(&self, bucket: usize) -> u16 {
        self.entries[bucket]
    }

    /// Returns all entries in bucket order.
    pub fn entries(&self) -> &[u16] {
        &self.entries
    }
}

fn build_permutations(candidates: &[Candidate<'_>]) -> Vec<Permutation> {
    const OFFSET_SEED: u64 = 1;
    const SKIP_SEED: u64 = 2;
    let mut sorted: Vec<_> = candidates.iter().filter(|c| c.weight > 0).collect();
    sorted.sort_by_key(|c| c.name);
    let hash = |c: &Candidate<'_>, seed| xxh3_64_with_seed(c.name.as_str().as_bytes(), seed);
    sorted
        .into_iter()
        .map(|c| Permutation {
            target: c.target,
            next: (hash(c, OFFSET_SEED) % BUCKET_COUNT as u64) as usize,
            skip: (hash(c, SKIP_SEED) % (BUCKET_COUNT as u64 - 1)) as usize + 1,
            weight: c.weight,
            credit: 0,
        })
        .collect()
}
