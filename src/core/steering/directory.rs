//! The backend servers that this VM knows, and which of them may get new flows.

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

/// Added to a cold start, for the time between what a backend server wrote and
/// when this VM read it.
const COLD_MARGIN: Millis = Millis(400);

/// How long a backend server whose object vanished during trouble of the store
/// may take to write it again after the store's return.
pub const REREGISTER_TIME: Millis = Millis(2_500);

/// How long the tag of a backend server that is gone is remembered.
const FORGET_GONE: Millis = Millis::from_secs(120);

/// Whether the store lists a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It is listed.
    Listed,
    /// It is not, but that may be the store's trouble.
    Missing {
        /// When it counts as gone.
        gone_at: Time,
    },
    /// It has left or died.
    Gone {
        /// Since when.
        since: Time,
    },
}

/// A backend server and what follows from its object.
#[derive(Debug)]
pub struct Entry {
    /// What it said last.
    pub server: BackendServer,
    /// Whether it is listed.
    pub presence: Presence,
    /// Until when it is in cold start.
    pub cold_until: Time,
    name: String,
    revision: Revision,
}

impl Entry {
    /// Tells whether it may still hold flows.
    pub fn may_hold_flows(&self) -> bool {
        !matches!(self.presence, Presence::Gone { .. })
    }
}

/// How far a backend server is from getting new flows. The order is that of
/// preference.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fitness {
    /// It takes new flows.
    Ready,
    /// It is in cold start: a limited number of new flows, if nothing else is
    /// left.
    Cold,
    /// Its object is missing, or something speaks against it: new flows only if
    /// nothing else is left.
    Doubtful,
    /// It gets no new flows.
    Unfit,
}

/// What a change of the directory means for open flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndedBackend {
    /// The backend server is gone; all its flows are over.
    Gone(Tag),
    /// It started again; flows from before the start are over.
    Restarted(Tag),
}

/// The backend servers and the data centres that were taken out.
#[derive(Debug, Default)]
pub struct Directory {
    /// Invariant: the key is the tag of the entry's own key.
    entries: HashMap<Tag, Entry>,
    tags: HashMap<String, Tag>,
    pools: HashMap<ServiceId, Vec<Tag>>,
    /// The data centres that were taken out.
    pub evacuations: Evacuations,
    ended: Vec<EndedBackend>,
    /// Removals up to this version may be forgotten.
    forgotten: Revision,
}

/// What another VM is told of one kind.
#[derive(Debug, Default)]
pub struct Exported {
    /// Whether these are all objects.
    pub is_full: bool,
    /// The objects that there are.
    pub objects: Vec<Object>,
    /// Objects that were removed.
    pub removed: Vec<Object>,
}

impl Exported {
    /// All objects of a kind.
    pub fn whole(objects: Vec<Object>) -> Exported {
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

    /// The backend servers of a service, known or gone, in a fixed order.
    pub fn pool(&self, service: &ServiceId) -> &[Tag] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// All backend servers, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Tag, &Entry)> {
        self.entries.iter().map(|(tag, entry)| (*tag, entry))
    }

    /// Tells how far a backend server is from getting new flows.
    pub fn fitness(&self, entry: &Entry, now: Time) -> Fitness {
        let place = &entry.server.data_centre;
        if entry.server.draining || self.evacuations.is_out(place) {
            return Fitness::Unfit;
        }
        match entry.presence {
            Presence::Gone { .. } => Fitness::Unfit,
            Presence::Missing { .. } if now < entry.cold_until => Fitness::Unfit,
            Presence::Missing { .. } => Fitness::Doubtful,
            Presence::Listed
                if now < entry.cold_until || self.evacuations.is_returning(place, now) =>
            {
                Fitness::Cold
            }
            Presence::Listed => Fitness::Ready,
        }
    }

    /// Takes the flows that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedBackend> {
        std::mem::take(&mut self.ended)
    }

    /// Takes in all objects of the backend servers as of `revision`. What is
    /// not among them has left, or counts as missing until `gone_at`.
    pub fn replace(&mut self, objects: &[Object], revision: Revision, gone_at: Time, now: Time) {
        for object in objects {
            self.learn(object, now);
        }
        let listed: hashbrown::HashSet<&str> = objects.iter().map(|o| o.name.as_str()).collect();
        let left: Vec<Tag> = self
            .entries
            .iter()
            .filter(|(_, e)| e.revision <= revision && !listed.contains(e.name.as_str()))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in left {
            self.miss(tag, revision, gone_at, now);
        }
    }

    /// Takes in one change of a backend server.
    pub fn change(&mut self, change: &Change, gone_at: Time, now: Time) {
        if !change.removed {
            self.learn(&change.object, now);
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
            self.miss(tag, change.object.revision, gone_at, now);
        }
    }

    fn learn(&mut self, object: &Object, now: Time) {
        let Some(Value::BackendServer(server)) = &object.value else {
            self.distrust(object);
            return;
        };
        let tag = Tag::of(server.key);
        if self.is_taken(tag, server) {
            return;
        }
        if self.names_another(tag, server) {
            self.ended.push(EndedBackend::Gone(tag));
            self.forget(tag);
        }
        match self.entries.get_mut(&tag) {
            Some(entry) if entry.revision >= object.revision => {
                // The same object may be listed again after it was missing.
                if entry.revision == object.revision && entry.may_hold_flows() {
                    entry.presence = Presence::Listed;
                }
            }
            Some(entry) => {
                if server.started > entry.server.started {
                    self.ended.push(EndedBackend::Restarted(tag));
                }
                entry.update(server, object.revision, now);
            }
            None => self.insert(tag, server, object, now),
        }
    }

    /// Two keys may have the same tag. The tag belongs to the lower key while
    /// both live; the other backend server gets no flows.
    fn is_taken(&self, tag: Tag, server: &BackendServer) -> bool {
        self.entries
            .get(&tag)
            .is_some_and(|e| e.server.key != server.key && e.may_hold_flows())
    }

    /// Tells whether the tag stood for another backend server that has ended, or
    /// for the same one with another service.
    fn names_another(&self, tag: Tag, server: &BackendServer) -> bool {
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

    /// An object that cannot be read names no backend server to use.
    fn distrust(&mut self, object: &Object) {
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

    fn miss(&mut self, tag: Tag, revision: Revision, gone_at: Time, now: Time) {
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

    /// Notes what time brings: what was missing for too long is gone, and what
    /// is gone for long is forgotten. Missing backend servers wait longer while
    /// the store is in trouble.
    pub fn tick(&mut self, trouble_over: Time, now: Time) {
        let mut forgotten = Vec::new();
        for (tag, entry) in &mut self.entries {
            match entry.presence {
                Presence::Missing { gone_at } if now >= gone_at.max(trouble_over) => {
                    entry.presence = Presence::Gone { since: now };
                    self.ended.push(EndedBackend::Gone(*tag));
                }
                Presence::Gone { since } if now.since(since) > FORGET_GONE => forgotten.push(*tag),
                _ => {}
            }
        }
        for tag in forgotten {
            self.forget(tag);
        }
    }

    fn forget(&mut self, tag: Tag) {
        let Some(entry) = self.entries.remove(&tag) else {
            return;
        };
        self.forgotten = self.forgotten.max(entry.revision);
        self.tags.remove(&entry.name);
        if let Some(pool) = self.pools.get_mut(&entry.server.service) {
            pool.retain(|t| *t != tag);
        }
    }

    /// Returns the backend servers that changed since a version, for another VM;
    /// all of them if the changes are no longer known.
    pub fn export(&self, since: Revision, now: Time) -> Exported {
        let is_full = since < self.forgotten || since == Revision(0);
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
