//! Steering tags: short numbers in the packets that name a backend server.

use std::num::NonZeroU32;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Names one backend server to the transport. The platform chose it; a
/// backend server that starts again may keep it.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct BackendKey(pub u64);

/// Names a backend server in the packets of a flow. It is derived from the
/// key, so that every VM computes the same tag without asking another.
///
/// Invariant: not zero, which stands for "no tag yet".
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct Tag(NonZeroU32);

impl Tag {
    /// Returns the tag of the backend server `key`.
    pub fn of(key: BackendKey) -> Tag {
        let hash = xxh3_64(&key.0.to_be_bytes()) as u32;
        Tag(NonZeroU32::new(hash).unwrap_or(NonZeroU32::MIN))
    }

    /// Reads a tag from a packet. Returns `None` for zero.
    pub fn from_wire(value: u32) -> Option<Tag> {
        NonZeroU32::new(value).map(Tag)
    }

    /// Returns the number that packets carry.
    pub fn to_wire(self) -> u32 {
        self.0.get()
    }
}
