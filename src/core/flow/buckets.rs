//! Sets of hash buckets.

use serde::{
    Deserialize,
    Serialize, //
};

/// How many buckets the flows of one service hash into. A prime, as the
/// lookup table's permutations require.
pub const BUCKETS: usize = 1_021;

const WORDS: usize = BUCKETS.div_ceil(64);

/// A set of buckets of one service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BucketSet {
    words: [u64; WORDS],
}

/// Returns the bucket of the flow whose hash is `flow`.
pub fn bucket_of(flow: u64) -> usize {
    (flow % BUCKETS as u64) as usize
}

impl BucketSet {
    /// Creates the set of all buckets.
    pub fn all() -> BucketSet {
        BucketSet {
            words: [u64::MAX; WORDS],
        }
    }

    /// Tells whether `bucket` is in the set.
    pub fn contains(&self, bucket: usize) -> bool {
        self.words[bucket / 64] >> (bucket % 64) & 1 == 1
    }

    /// Adds `bucket`.
    pub fn insert(&mut self, bucket: usize) {
        self.words[bucket / 64] |= 1 << (bucket % 64);
    }

    /// Removes `bucket`.
    pub fn remove(&mut self, bucket: usize) {
        self.words[bucket / 64] &= !(1 << (bucket % 64));
    }

    /// Adds the buckets of `other`.
    pub fn union(&mut self, other: &BucketSet) {
        for (word, more) in self.words.iter_mut().zip(other.words) {
            *word |= more;
        }
    }

    /// Removes the buckets of `other`.
    pub fn subtract(&mut self, other: &BucketSet) {
        for (word, less) in self.words.iter_mut().zip(other.words) {
            *word &= !less;
        }
    }

    /// Returns the buckets that are also in `other`.
    pub fn intersection(&self, other: &BucketSet) -> BucketSet {
        let mut both = self.clone();
        for (word, mask) in both.words.iter_mut().zip(other.words) {
            *word &= mask;
        }
        both
    }

    /// Tells whether the set has no bucket.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Returns the number of buckets in the set.
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Returns the buckets in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..BUCKETS).filter(|b| self.contains(*b))
    }
}
