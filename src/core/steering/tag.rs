//! Steering tags: short numbers in packets that identify a backend server.

use std::num::NonZeroU32;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a backend server in the transport. Assigned by the platform; a
/// restarted backend server may keep it.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct BackendKey(pub u64);

/// Identifies a backend server in the packets of a flow. It is a hash of the
/// key, so every VM computes the same tag without coordination.
///
/// Invariant: not zero, which stands for "no tag yet".
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct Tag(NonZeroU32);

impl Tag {
    /// Returns the tag of a backend server.
    pub fn of(key: BackendKey) -> Tag {
        let hash = xxh3_64(&key.0.to_be_bytes()) as u32;
        Tag(NonZeroU32::new(hash).unwrap_or(NonZeroU32::MIN))
    }

    /// Parses the tag of a packet. Returns `None` for zero.
    pub fn from_wire(value: u32) -> Option<Tag> {
        NonZeroU32::new(value).map(Tag)
    }

    /// Returns the tag as carried in packets.
    pub fn to_wire(self) -> u32 {
        self.0.get()
    }
}
