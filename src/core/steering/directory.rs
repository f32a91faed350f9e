//! Known backend servers and their fitness for new flows.

use hashbrown::HashMap;

use super::{
    evacuations::Evacuations,
    store::{
        BackendServer,
        Change,
        Object,
        Revision,
        Value, //
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

/// Extends a cold start to cover the delay between a backend server's write to
/// the store and this VM's read.
const COLD_MARGIN: Millis = Millis(400);

/// Time that a backend server whose object vanished during a store outage has
/// to write it again after the store's return.
pub const REREGISTER_TIME: Millis = Millis(2_500);

/// How long the tag of a removed backend server is remembered.
const GONE_RETENTION: Millis = Millis::from_secs(120);

/// Whether the store lists a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The store lists it.
    Listed,
    /// The store does not list it, possibly because of an outage.
    Missing {
        /// When it counts as gone.
        gone_at: Time,
    },
    /// It has left or died.
    Gone {
        /// When it was found to be gone.
        since: Time,
    },
}

/// A backend server and the state derived from its object.
#[derive(Debug)]
pub struct Entry {
    /// Last object of the backend server.
    pub server: BackendServer,
    /// Whether the store lists it.
    pub presence: Presence,
    /// End of its cold start.
    pub cold_until: Time,
    name: String,
    revision: Revision,
}

impl Entry {
    /// Returns whether it may still hold flows.
    pub fn may_hold_flows(&self) -> bool {
        !matches!(self.presence, Presence::Gone { .. })
    }
}

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
    /// Removals up to this revision may be missing from exports.
    compacted: Revision,
}

/// Objects of one kind, exported for another VM.
#[derive(Debug, Default)]
pub struct Exported {
    /// Whether `objects` is the full list rather than a delta.
    pub is_full: bool,
    /// Existing objects.
    pub objects: Vec<Object>,
    /// Removed objects.
    pub removed: Vec<Object>,
}

impl Exported {
    /// Creates a full export of a kind.
    pub fn full(objects: Vec<Object>) -> Exported {
        Exported {
            is_full: true,
            objects,
            removed: Vec::new(),
        }
    }
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

    /// Iterates over all backend servers in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (Tag, &Entry)> {
        self.entries.iter().map(|(tag, entry)| (*tag, entry))
    }

    /// Returns the fitness of a backend server for new flows.
    pub fn fitness(&self, entry: &Entry, now: Time) -> Fitness {
        let data_centre = &entry.server.data_centre;
        if entry.server.draining || self.evacuations.is_evacuated(data_centre) {
            return Fitness::Unfit;
        }
        match entry.presence {
            Presence::Gone { .. } => Fitness::Unfit,
            Presence::Missing { .. } if now < entry.cold_until => Fitness::Unfit,
            Presence::Missing { .. } => Fitness::Doubtful,
            Presence::Listed
                if now < entry.cold_until || self.evacuations.is_returning(data_centre, now) =>
            {
                Fitness::Cold
            }
            Presence::Listed => Fitness::Ready,
        }
    }

    /// Takes the backend servers whose flows ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedBackend> {
        std::mem::take(&mut self.ended)
    }

    /// Replaces the backend servers with the full list as of `revision`. Those
    /// not listed are missing until `gone_at`, or gone if that has passed.
    pub fn replace(&mut self, objects: &[Object], revision: Revision, gone_at: Time, now: Time) {
        for object in objects {
            self.upsert(object, now);
        }
        let listed: hashbrown::HashSet<&str> = objects.iter().map(|o| o.name.as_str()).collect();
        let unlisted: Vec<Tag> = self
            .entries
            .iter()
            .filter(|(_, e)| e.revision <= revision && !listed.contains(e.name.as_str()))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in unlisted {
            self.mark_missing(tag, revision, gone_at, now);
        }
    }

    /// Applies one change of a backend server.
    pub fn change(&mut self, change: &Change, gone_at: Time, now: Time) {
        if !change.removed {
            self.upsert(&change.object, now);
            return;
        }
        let Some(tag) = self.tags.get(change.object.name.as_str()).copied() else {
            return;
        };
        let is_newer = self
            .entries
            .get(&tag)
            .is_some_and(|e| e.revision > change.object.revision);
        if !is_newer {
            self.mark_missing(tag, change.object.revision, gone_at, now);
        }
    }

    fn upsert(&mut self, object: &Object, now: Time) {
        let Some(Value::BackendServer(server)) = &object.value else {
            self.mark_unusable(object);
            return;
        };
        let tag = Tag::of(server.key);
        if self.is_tag_taken(tag, server) {
            return;
        }
        if self.is_reassigned(tag, server) {
            self.ended.push(EndedBackend::Gone(tag));
            self.remove_entry(tag);
        }
        match self.entries.get_mut(&tag) {
            Some(entry) if entry.revision >= object.revision => {
                // An object may be listed again after it was missing.
                if entry.revision == object.revision && entry.may_hold_flows() {
                    entry.presence = Presence::Listed;
                }
            }
            Some(entry) => {
                if server.started_unix_ms > entry.server.started_unix_ms {
                    self.ended.push(EndedBackend::Restarted(tag));
                }
                entry.update(server, object.revision, now);
            }
            None => self.insert(tag, server, object, now),
        }
    }

    /// Two keys may hash to the same tag. The first known key keeps the tag
    /// while its backend server lives; the other one gets no flows.
    fn is_tag_taken(&self, tag: Tag, server: &BackendServer) -> bool {
        self.entries
            .get(&tag)
            .is_some_and(|e| e.server.key != server.key && e.may_hold_flows())
    }

    /// Returns whether the tag belonged to another backend server, or to the
    /// same one with another service.
    fn is_reassigned(&self, tag: Tag, server: &BackendServer) -> bool {
        self.entries
            .get(&tag)
            .is_some_and(|e| e.server.key != server.key || e.server.service != server.service)
    }

    fn insert(&mut self, tag: Tag, server: &BackendServer, object: &Object, now: Time) {
        let entry = Entry {
            server: server.clone(),
            presence: Presence::Listed,
            cold_until: cold_until(server, now),
            name: object.name.clone(),
            revision: object.revision,
        };
        self.entries.insert(tag, entry);
        self.tags.insert(object.name.clone(), tag);
        let pool = self.pools.entry(server.service.clone()).or_default();
        pool.push(tag);
        pool.sort_unstable();
    }

    /// Stops new flows to a backend server whose object cannot be parsed.
    fn mark_unusable(&mut self, object: &Object) {
        let Some(entry) = self
            .tags
            .get(object.name.as_str())
            .and_then(|tag| self.entries.get_mut(tag))
        else {
            return;
        };
        if entry.revision < object.revision {
            entry.revision = object.revision;
            entry.server.draining = true;
        }
    }

    fn mark_missing(&mut self, tag: Tag, revision: Revision, gone_at: Time, now: Time) {
        let Some(entry) = self.entries.get_mut(&tag) else {
            return;
        };
        entry.revision = entry.revision.max(revision);
        if entry.presence != Presence::Listed {
            return;
        }
        if gone_at > now {
            entry.presence = Presence::Missing { gone_at };
            return;
        }
        entry.presence = Presence::Gone { since: now };
        self.ended.push(EndedBackend::Gone(tag));
    }

    /// Marks backend servers that were missing for too long as gone and drops
    /// those that were gone for long. The deadline for missing ones extends to
    /// `outage_settled_at`.
    pub fn tick(&mut self, outage_settled_at: Time, now: Time) {
        let mut expired = Vec::new();
        for (tag, entry) in &mut self.entries {
            match entry.presence {
                Presence::Missing { gone_at } if now >= gone_at.max(outage_settled_at) => {
                    entry.presence = Presence::Gone { since: now };
                    self.ended.push(EndedBackend::Gone(*tag));
                }
                Presence::Gone { since } if now.since(since) > GONE_RETENTION => expired.push(*tag),
                _ => {}
            }
        }
        for tag in expired {
            self.remove_entry(tag);
        }
    }

    fn remove_entry(&mut self, tag: Tag) {
        let Some(entry) = self.entries.remove(&tag) else {
            return;
        };
        self.compacted = self.compacted.max(entry.revision);
        self.tags.remove(&entry.name);
        if let Some(pool) = self.pools.get_mut(&entry.server.service) {
            pool.retain(|t| *t != tag);
        }
    }

    /// Exports the backend servers that changed after `since`, or all of them
    /// if some of the changes are no longer known.
    pub fn export(&self, since: Revision, now: Time) -> Exported {
        let is_full = since < self.compacted || since == Revision(0);
        let mut exported = Exported {
            is_full,
            ..Exported::default()
        };
        for entry in self.entries.values() {
            let is_listed = entry.presence == Presence::Listed;
            if !is_full && entry.revision <= since {
                continue;
            }
            match is_listed {
                true => exported.objects.push(entry.export(now)),
                false => exported.removed.push(entry.export(now)),
            }
        }
        exported
    }
}

impl Entry {
    fn update(&mut self, server: &BackendServer, revision: Revision, now: Time) {
        self.cold_until = cold_until(server, now);
        self.server = server.clone();
        self.presence = Presence::Listed;
        self.revision = revision;
    }

    fn export(&self, now: Time) -> Object {
        let mut server = self.server.clone();
        server.cold_for = self.cold_until.since(now);
        Object {
            name: self.name.clone(),
            revision: self.revision,
            value: Some(Value::BackendServer(server)),
        }
    }
}

fn cold_until(server: &BackendServer, now: Time) -> Time {
    if server.cold_for == Millis(0) {
        return now;
    }
    now + server.cold_for + COLD_MARGIN
}
