//! Tags that name no backend server this VM knows.
//!
//! Such a tag may belong to a backend server that another VM has learnt of
//! first, so its flows are not over at once. They are when the store, asked
//! later than the tag was seen, still lists no such backend server.

use hashbrown::HashMap;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// The most tags that are remembered. Packets may carry any number.
const MAX_TAGS: usize = 1_024;

/// A tag that no packet carried for longer is forgotten.
const KEPT_FOR: Millis = Millis::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Time,
    last: Time,
}

/// The tags of unknown backend servers that packets carried.
#[derive(Debug, Default)]
pub struct UnlistedTags {
    /// Invariant: at most [`MAX_TAGS`].
    seen: HashMap<Tag, Seen>,
}

impl UnlistedTags {
    /// Notes that a packet carried a tag.
    pub fn note(&mut self, tag: Tag, now: Time) {
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

    /// Tells whether a tag was seen before `as_of`.
    pub fn was_seen_before(&self, tag: Tag, as_of: Time) -> bool {
        self.seen.get(&tag).is_some_and(|seen| seen.first < as_of)
    }

    /// The tags that were seen before `as_of`.
    pub fn seen_before(&self, as_of: Time) -> impl Iterator<Item = Tag> {
        let before = self.seen.iter().filter(move |(_, s)| s.first < as_of);
        before.map(|(tag, _)| *tag)
    }

    /// Forgets the tags that are known by now or no longer seen.
    pub fn sweep(&mut self, is_known: impl Fn(Tag) -> bool, now: Time) {
        self.seen
            .retain(|tag, seen| !is_known(*tag) && now.since(seen.last) < KEPT_FOR);
    }
}
