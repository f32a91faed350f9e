//! Sets of hash buckets.

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of hash buckets of one service. It must be prime for the
/// permutations of the lookup table to visit every bucket.
pub const BUCKET_COUNT: usize = 1_021;

const WORD_COUNT: usize = BUCKET_COUNT.div_ceil(64);

/// A set of buckets of one service, stored as a bitmap.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BucketSet {
    words: [u64; WORD_COUNT],
}

/// Returns the bucket of the flow with the hash `flow`.
pub fn bucket_of(flow: u64) -> usize {
    (flow % BUCKET_COUNT as u64) as usize
}

impl BucketSet {
    /// Creates the set of all buckets.
    pub fn all() -> BucketSet {
        BucketSet {
            words: [u64::MAX; WORD_COUNT],
        }
    }

    /// Returns whether `bucket` is in the set.
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

    /// Adds all buckets of `other`.
    pub fn union_with(&mut self, other: &BucketSet) {
        for (word, other_word) in self.words.iter_mut().zip(other.words) {
            *word |= other_word;
        }
    }

    /// Removes all buckets of `other`.
    pub fn subtract(&mut self, other: &BucketSet) {
        for (word, other_word) in self.words.iter_mut().zip(other.words) {
            *word &= !other_word;
        }
    }

    /// Returns the buckets that are in both sets.
    pub fn intersection(&self, other: &BucketSet) -> BucketSet {
        let mut both = self.clone();
        for (word, mask) in both.words.iter_mut().zip(other.words) {
            *word &= mask;
        }
        both
    }

    /// Returns whether the set has no bucket.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Returns the number of buckets in the set.
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Returns the buckets in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..BUCKET_COUNT).filter(|b| self.contains(*b))
    }
}
