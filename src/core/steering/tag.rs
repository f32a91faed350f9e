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

impl BackendKey {
    /// Returns the key of the backend server whose object has the given name. Such a name
    /// is a prefix without a hyphen, a hyphen and the hexadecimal digits of the key, and
    /// nothing else: a name that merely ends like one belongs to an object of another
    /// program.
    pub fn of_name(name: &str) -> Option<BackendKey> {
        let (prefix, digits) = name.split_once('-')?;
        let is_key = digits.bytes().all(|b| b.is_ascii_hexdigit());
        if prefix.is_empty() || !is_key {
            return None;
        }
        u64::from_str_radix(digits, 16).ok().map(BackendKey)
    }
}

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
