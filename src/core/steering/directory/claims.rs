//! Objects of the store that claim the tag of the same backend server.
//!
//! A backend server writes one object. Another program may write a second one with the
//! same key, and two keys may hash to the same tag. Which object counts follows from
//! the objects and the configuration alone, so VMs that read them in different orders,
//! or at different times, choose the same one.

use std::cmp::{
    Ordering,
    Reverse, //
};

use hashbrown::{
    HashMap,
    HashSet, //
};
use smallvec::SmallVec;

use crate::core::{
    names::ServiceId,
    steering::{
        store::{
            BackendServer,
            Object,
            Position, //
        },
        tag::{
            BackendKey,
            Tag, //
        },
    },
};

/// Services that the active configuration names. Empty before the first configuration.
pub(super) type NamedServices = HashSet<ServiceId>;

/// Returns whether the active configuration names a service, or there is none yet.
pub(super) fn is_named(named: &NamedServices, service: &ServiceId) -> bool {
    named.is_empty() || named.contains(service)
}

/// What an object says of a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim<'a> {
    /// Name of the object.
    pub(super) name: &'a str,
    /// What it says.
    pub(super) server: &'a BackendServer,
}

impl<'a> Claim<'a> {
    /// Returns the claim of an object. `None` if it describes no backend server.
    pub(super) fn of(object: &'a Object) -> Option<Claim<'a>> {
        let server = object.backend_server()?;
        Some(Claim {
            name: &object.name,
            server,
        })
    }

    /// Orders claims to the same key, the one that counts first.
    fn cmp_same_key(&self, other: &Claim<'_>, named: &NamedServices) -> Ordering {
        let order = |c: &Claim<'_>| {
            (
                Reverse(named.contains(&c.server.service)),
                // Of two runs, the later one is current.
                Reverse(c.server.started_unix_ms),
                // A run that drains does not return to service.
                Reverse(c.server.draining),
                // A name that holds another one is longer.
                c.name.len(),
            )
        };
        order(self)
            .cmp(&order(other))
            .then_with(|| self.name.cmp(other.name))
    }

    /// Orders claims of different keys to the same tag, the one that counts first. The
    /// run that started first keeps the tag, because its flows carry it already.
    fn cmp_other_key(&self, other: &Claim<'_>) -> Ordering {
        let order = |c: &Claim<'_>| {
            let started = c.server.started_unix_ms;
            (started == 0, started, c.server.key.0)
        };
        order(self).cmp(&order(other))
    }
}

/// Returns the claim that counts.
pub(super) fn preferred<'a>(
    claims: impl IntoIterator<Item = Claim<'a>>,
    named: &NamedServices,
) -> Option<Claim<'a>> {
    let mut by_key: SmallVec<[Claim<'a>; 2]> = SmallVec::new();
    for claim in claims {
        let same_key = by_key.iter_mut().find(|c| c.server.key == claim.server.key);
        match same_key {
            Some(best) if claim.cmp_same_key(best, named).is_lt() => *best = claim,
            Some(_) => {}
            None => by_key.push(claim),
        }
    }
    by_key.into_iter().min_by(Claim::cmp_other_key)
}

/// Objects that claim a tag but do not count, because another one does.
#[derive(Debug, Default)]
pub(super) struct Rivals {
    /// Invariant: no list is empty, and each object describes a backend server with
    /// that tag.
    by_tag: HashMap<Tag, Vec<Object>>,
    /// Invariant: one entry for each object of `by_tag`.
    tags: HashMap<String, Tag>,
}

impl Rivals {
    /// Returns the objects that claim a tag.
    pub(super) fn of(&self, tag: Tag) -> &[Object] {
        self.by_tag.get(&tag).map_or(&[], Vec::as_slice)
    }

    /// Returns the claims to a tag with the given key.
    pub(super) fn with_key(&self, tag: Tag, key: BackendKey) -> impl Iterator<Item = Claim<'_>> {
        let claims = self.of(tag).iter().filter_map(Claim::of);
        claims.filter(move |c| c.server.key == key)
    }

    /// Returns the tags with rivals, in a stable order.
    pub(super) fn tags(&self) -> Vec<Tag> {
        let mut tags: Vec<Tag> = self.by_tag.keys().copied().collect();
        tags.sort_unstable();
        tags
    }

    /// Iterates over all rivals in arbitrary order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Object> {
        self.by_tag.values().flatten()
    }

    /// Returns the position of a rival.
    pub(super) fn position(&self, name: &str) -> Option<Position> {
        let tag = self.tags.get(name)?;
        let rival = self.of(*tag).iter().find(|o| o.name == name);
        rival.map(|o| o.position)
    }

    /// Adds a rival, or replaces the one of the same name.
    pub(super) fn insert(&mut self, tag: Tag, object: Object) {
        self.remove(&object.name);
        self.tags.insert(object.name.clone(), tag);
        self.by_tag.entry(tag).or_default().push(object);
    }

    /// Removes a rival.
    pub(super) fn remove(&mut self, name: &str) -> Option<Object> {
        let tag = self.tags.remove(name)?;
        let rivals = self.by_tag.get_mut(&tag)?;
        let at = rivals.iter().position(|o| o.name == name)?;
        let object = rivals.swap_remove(at);
        if rivals.is_empty() {
            self.by_tag.remove(&tag);
        }
        Some(object)
    }
}
