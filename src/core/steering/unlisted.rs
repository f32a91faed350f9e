//! Tags of packets that match no known backend server.
//!
//! Another VM may have learned of the backend server first, so the flows are
//! not reset at once. They are reset if a read of the store after the tag was
//! first seen still does not list the backend server.

use hashbrown::HashMap;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Maximum number of tags. Packets may carry arbitrary ones.
const MAX_TAGS: usize = 1_024;

/// How long a tag is kept after its last packet.
const RETENTION: Millis = Millis::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Time,
    last: Time,
}

/// Unknown tags seen in packets.
#[derive(Debug, Default)]
pub struct UnlistedTags {
    /// Invariant: at most [`MAX_TAGS`].
    seen: HashMap<Tag, Seen>,
}

impl UnlistedTags {
    /// Records the tag of a packet.
    pub fn record(&mut self, tag: Tag, now: Time) {
        if let Some(seen) = self.seen.get_mut(&tag) {
            seen.last = now;
        } else if self.seen.len() < MAX_TAGS {
            let seen = Seen {
                first: now,
                last: now,
            };
            self.seen.insert(tag, seen);
        }
    }

    /// Returns whether a tag was first seen before `as_of`.
    pub fn was_seen_before(&self, tag: Tag, as_of: Time) -> bool {
        self.seen.get(&tag).is_some_and(|seen| seen.first < as_of)
    }

    /// Iterates over the tags first seen before `as_of`.
    pub fn seen_before(&self, as_of: Time) -> impl Iterator<Item = Tag> {
        let before = self.seen.iter().filter(move |(_, s)| s.first < as_of);
        before.map(|(tag, _)| *tag)
    }

    /// Removes tags that are known by now or no longer seen.
    pub fn sweep(&mut self, is_known: impl Fn(Tag) -> bool, now: Time) {
        self.seen
            .retain(|tag, seen| !is_known(*tag) && now.since(seen.last) < RETENTION);
    }
}
