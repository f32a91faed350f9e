//! Known backend servers and their fitness for new flows.

use hashbrown::HashMap;

mod claims;
mod export;
mod passed_over;
mod resolution;

use claims::{
    NamedServices,
    Rivals,
    is_named, //
};
pub use passed_over::{
    PassedOver,
    PassedOverReason, //
};

use super::{
    directory_entry::{
        Entry,
        Presence, //
    },
    evacuations::Evacuations,
    store::{
        BackendServer,
        Change,
        Object,
        Position, //
    },
    tag::Tag,
};
use crate::{
    core::names::ServiceId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Time that a backend server whose object vanished during a store outage has
/// to write it again after the store's return.
pub const REREGISTER_TIME: Millis = Millis(2_500);

/// How long the tag of a removed backend server is remembered.
const GONE_RETENTION: Millis = Millis::from_secs(120);

/// Fitness of a backend server for new flows, in order of preference.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fitness {
    /// Takes new flows.
    Ready,
    /// In cold start: gets a limited number of new flows if no ready backend
    /// server is left.
    Cold,
    /// Missing from the store, suspected, or with failing handshakes: gets new
    /// flows only if nothing better is left.
    Doubtful,
    /// Gets no new flows.
    Unfit,
}

/// A backend server whose open flows have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndedBackend {
    /// It is gone, and all its flows have ended.
    Gone(Tag),
    /// It restarted; flows from before the restart have ended.
    Restarted(Tag),
}

/// Backend servers and evacuated data centres.
#[derive(Debug, Default)]
pub struct Directory {
    /// Invariant: the key is the tag of the entry's backend key.
    entries: HashMap<Tag, Entry>,
    tags: HashMap<String, Tag>,
    pools: HashMap<ServiceId, Vec<Tag>>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    ended: Vec<EndedBackend>,
    /// States of a restored store that were doubted since the last call of
    /// [`Directory::take_doubted`].
    doubted: usize,
    /// Objects that claim the tag of an entry but do not count.
    ///
    /// Invariant: each has the tag of an entry that may hold flows.
    rivals: Rivals,
    /// Services of the active configuration, which [`Entry::is_service_named`] follows.
    named_services: NamedServices,
    /// Objects that were passed over since the last call of
    /// [`Directory::take_passed_over`].
    passed_over: Vec<PassedOver>,
    /// Removals up to this position may be missing from exports.
    compacted: Position,
}

impl Directory {
    /// Finds a backend server by its tag.
    pub fn entry(&self, tag: Tag) -> Option<&Entry> {
        self.entries.get(&tag)
    }

    /// Backend servers of a service, present or gone, in a stable order.
    pub fn pool(&self, service: &ServiceId) -> &[Tag] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the backend servers of each service in arbitrary order of the
    /// services.
    pub fn pools(&self) -> impl Iterator<Item = &[Tag]> {
        self.pools.values().map(Vec::as_slice)
    }

    /// Iterates over all backend servers in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (Tag, &Entry)> {
        self.entries.iter().map(|(tag, entry)| (*tag, entry))
    }

    /// Returns the fitness of a backend server for new flows.
    pub fn fitness(&self, entry: &Entry, now: Time) -> Fitness {
        let data_centre = &entry.server.data_centre;
        let is_closed = !entry.is_service_named || entry.server.draining;
        if is_closed || self.evacuations.is_evacuated(data_centre) {
            return Fitness::Unfit;
        }
        match entry.presence {
            Presence::Gone { .. } => Fitness::Unfit,
            Presence::Missing { .. } if now < entry.cold_until => Fitness::Unfit,
            Presence::Missing { .. } => Fitness::Doubtful,
            Presence::Listed | Presence::NotRestored { .. }
                if now < entry.cold_until || self.evacuations.is_returning(data_centre, now) =>
            {
                Fitness::Cold
            }
            Presence::Listed | Presence::NotRestored { .. } => Fitness::Ready,
        }
    }

    /// Takes the number of backend servers whose state in a restored store was
    /// doubted since the last call.
    pub fn take_doubted(&mut self) -> usize {
        std::mem::take(&mut self.doubted)
    }

    /// Takes the objects that were passed over since the last call.
    pub fn take_passed_over(&mut self) -> Vec<PassedOver> {
        std::mem::take(&mut self.passed_over)
    }

    /// Takes the backend servers whose flows ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedBackend> {
        std::mem::take(&mut self.ended)
    }

    /// Replaces the backend servers with the full list as of `position`. Those
    /// not listed are missing until `gone_at`, or gone if that has passed.
    pub fn replace(&mut self, objects: &[Object], position: Position, gone_at: Time, now: Time) {
        for object in objects {
            self.upsert(object, now);
        }
        let listed: hashbrown::HashSet<&str> = objects.iter().map(|o| o.name.as_str()).collect();
        let unlisted_rivals: Vec<String> = self
            .rivals
            .iter()
            .filter(|o| o.position <= position && !listed.contains(o.name.as_str()))
            .map(|o| o.name.clone())
            .collect();
        for name in unlisted_rivals {
            self.remove_rival(&name, position);
        }
        let unlisted: Vec<Tag> = self
            .entries
            .iter()
            .filter(|(_, e)| e.position <= position && !listed.contains(e.name.as_str()))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in unlisted {
            self.mark_unlisted(tag, position, gone_at, now);
        }
    }

    /// Applies one change of a backend server.
    pub fn change(&mut self, change: &Change, gone_at: Time, now: Time) {
        if !change.removed {
            self.upsert(&change.object, now);
            return;
        }
        let name = change.object.name.as_str();
        if let Some(known) = self.rivals.position(name) {
            if known <= change.object.position {
                self.remove_rival(name, change.object.position);
            }
            return;
        }
        let Some(tag) = self.tags.get(name).copied() else {
            return;
        };
        let is_newer = self
            .entries
            .get(&tag)
            .is_some_and(|e| e.position > change.object.position);
        if !is_newer {
            self.mark_unlisted(tag, change.object.position, gone_at, now);
        }
    }

    /// Records that the store does not list the object of a backend server as of
    /// `position`.
    fn mark_unlisted(&mut self, tag: Tag, position: Position, gone_at: Time, now: Time) {
        if self.pass_on(tag, position, now) {
            return;
        }
        match self.entries.get_mut(&tag) {
            Some(entry) if entry.position.era < position.era && gone_at > now => {
                entry.mark_not_restored(position, gone_at);
            }
            _ => self.mark_missing(tag, position, gone_at, now),
        }
    }

    fn upsert(&mut self, object: &Object, now: Time) {
        let Some(server) = object.backend_server() else {
            self.mark_unusable(object, now);
            return;
        };
        let tag = Tag::of(server.key);
        match self.entries.get(&tag) {
            Some(entry) if entry.name == object.name => self.update(tag, server, object, now),
            Some(entry) if entry.may_hold_flows() => self.add_rival(tag, object, now),
            _ => {
                self.remove_entry(tag);
                self.insert(tag, server, object, now);
            }
        }
        self.settle(tag, now);
    }

    /// Applies another state of the object that counts for a backend server.
    fn update(&mut self, tag: Tag, server: &BackendServer, object: &Object, now: Time) {
        let Some(entry) = self.entries.get_mut(&tag) else {
            return;
        };
        if entry.position >= object.position {
            // An object may be listed again after it was missing.
            if entry.position == object.position && entry.may_hold_flows() {
                entry.presence = Presence::Listed;
            }
            return;
        }
        if entry.contradicts(server, object.position) {
            entry.doubt(server, object.position, now);
            self.doubted += 1;
            return;
        }
        if entry.is_restart(server) {
            self.ended.push(EndedBackend::Restarted(tag));
        }
        let service = entry.server.service.clone();
        entry.update(server, object.position, now);
        self.follow_service(tag, Some(&service));
    }

    fn insert(&mut self, tag: Tag, server: &BackendServer, object: &Object, now: Time) {
        let entry = Entry::open(server, object, now);
        self.entries.insert(tag, entry);
        self.tags.insert(object.name.clone(), tag);
        self.follow_service(tag, None);
    }

    /// Follows a new state of a backend server, which had the service `before`.
    fn follow_service(&mut self, tag: Tag, before: Option<&ServiceId>) {
        let Some(entry) = self.entries.get_mut(&tag) else {
            return;
        };
        let service = entry.server.service.clone();
        entry.is_service_named = is_named(&self.named_services, &service);
        if !entry.is_service_named {
            self.passed_over.push(PassedOver::unnamed(entry));
        }
        if before == Some(&service) {
            return;
        }
        if let Some(before) = before {
            self.remove_from_pool(tag, before);
        }
        let pool = self.pools.entry(service).or_default();
        pool.push(tag);
        pool.sort_unstable();
    }

    fn remove_from_pool(&mut self, tag: Tag, service: &ServiceId) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.retain(|t| *t != tag);
        }
    }

    /// Handles that an object does not describe a backend server. Stops new flows to
    /// the one that it described before, unless another object claims that, too.
    fn mark_unusable(&mut self, object: &Object, now: Time) {
        let name = object.name.as_str();
        if let Some(known) = self.rivals.position(name) {
            if known < object.position {
                self.remove_rival(name, object.position);
            }
            return;
        }
        let Some(tag) = self.tags.get(name).copied() else {
            return;
        };
        let is_newer = |e: &Entry| e.position < object.position;
        if !self.entries.get(&tag).is_some_and(is_newer) || self.pass_on(tag, object.position, now)
        {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&tag) {
            entry.mark_unreadable(object.position);
        }
    }

    fn mark_missing(&mut self, tag: Tag, position: Position, gone_at: Time, now: Time) {
        let Some(entry) = self.entries.get_mut(&tag) else {
            return;
        };
        entry.position = entry.position.max(position);
        entry.doubted = None;
        if entry.presence != Presence::Listed {
            return;
        }
        if gone_at > now {
            entry.presence = Presence::Missing { gone_at };
            return;
        }
        entry.presence = Presence::Gone { since: now };
        self.ended.push(EndedBackend::Gone(tag));
        self.settle(tag, now);
    }

    /// Marks backend servers that were missing for too long as gone and drops
    /// those that were gone for long. The deadline for missing ones extends to
    /// `outage_settled_at`.
    pub fn tick(&mut self, outage_settled_at: Time, now: Time) {
        let mut expired = Vec::new();
        let mut gone = Vec::new();
        let mut moved = Vec::new();
        for (tag, entry) in &mut self.entries {
            moved.extend(entry.settle_doubt(now).map(|service| (*tag, service)));
            match entry.presence {
                Presence::Missing { gone_at } | Presence::NotRestored { gone_at }
                    if now >= gone_at.max(outage_settled_at) =>
                {
                    entry.presence = Presence::Gone { since: now };
                    gone.push(*tag);
                }
                Presence::Gone { since } if now.since(since) > GONE_RETENTION => expired.push(*tag),
                _ => {}
            }
        }
        for (tag, service) in moved {
            self.follow_service(tag, Some(&service));
        }
        for tag in expired {
            self.remove_entry(tag);
        }
        for tag in gone {
            self.ended.push(EndedBackend::Gone(tag));
            self.settle(tag, now);
        }
    }

    fn remove_entry(&mut self, tag: Tag) {
        let Some(entry) = self.entries.remove(&tag) else {
            return;
        };
        self.compacted = self.compacted.max(entry.position);
        self.tags.remove(&entry.name);
        self.remove_from_pool(tag, &entry.server.service);
    }
}
