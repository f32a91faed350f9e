//! Choice of the object that counts where several claim the tag of a backend server.

use super::{
    Directory,
    EndedBackend,
    PassedOver,
    PassedOverReason,
    claims::{
        Claim,
        NamedServices,
        is_named,
        preferred, //
    }, //
};
use crate::{
    core::{
        names::ServiceId,
        steering::{
            directory_entry::{
                Entry,
                Presence, //
            },
            store::{
                Object,
                Position, //
            },
            tag::Tag, //
        },
    },
    kernel::clock::Time,
};

impl Directory {
    /// Sets the services that the active configuration names.
    pub fn set_services(&mut self, services: impl Iterator<Item = ServiceId>, now: Time) {
        let named: NamedServices = services.collect();
        if named == self.named_services {
            return;
        }
        self.named_services = named;
        for entry in self.entries.values_mut() {
            let was_named = entry.is_service_named;
            entry.is_service_named = is_named(&self.named_services, &entry.server.service);
            if was_named && !entry.is_service_named {
                self.passed_over.push(PassedOver::unnamed(entry));
            }
        }
        for tag in self.rivals.tags() {
            self.settle(tag, now);
        }
    }

    /// Keeps an object whose tag belongs to another one, and chooses between them.
    pub(super) fn add_rival(&mut self, tag: Tag, object: &Object, now: Time) {
        let known = self.rivals.position(&object.name);
        if known.is_some_and(|position| position >= object.position) {
            return;
        }
        self.rivals.insert(tag, object.clone());
        self.settle(tag, now);
        if self.rivals.position(&object.name).is_some()
            && let Some(entry) = self.entries.get(&tag)
        {
            let winner = entry.name.clone();
            self.report_rival(&object.name, &winner);
        }
    }

    fn report_rival(&mut self, name: &str, winner: &str) {
        self.passed_over.push(PassedOver {
            name: name.to_owned(),
            reason: PassedOverReason::Rival(winner.to_owned()),
        });
    }

    /// Forgets a rival that the store does not list as of `position`.
    pub(super) fn remove_rival(&mut self, name: &str, position: Position) {
        if self.rivals.remove(name).is_some() {
            self.compacted = self.compacted.max(position);
        }
    }

    /// Chooses the object that counts among those that claim a tag.
    pub(super) fn settle(&mut self, tag: Tag, now: Time) {
        if self.rivals.of(tag).is_empty() {
            return;
        }
        let Some(entry) = self.entries.get(&tag).filter(|e| e.may_hold_flows()) else {
            self.replace_ended(tag, now);
            return;
        };
        let key = entry.server.key;
        if entry.presence != Presence::Listed || !entry.is_readable {
            self.pass_on(tag, entry.position, now);
            return;
        }
        let own = Claim {
            name: &entry.name,
            server: &entry.server,
        };
        let claims = self.rivals.of(tag).iter().filter_map(Claim::of);
        let best = preferred(claims.chain([own]), &self.named_services);
        let Some(best) = best.filter(|b| b.name != own.name) else {
            return;
        };
        let (name, has_same_key) = (best.name.to_owned(), best.server.key == key);
        let before = match has_same_key {
            true => self.take_over(tag, &name, now),
            false => {
                self.ended.push(EndedBackend::Gone(tag));
                let before = self.entries.get(&tag).map(Entry::object);
                self.replace_ended(tag, now);
                before
            }
        };
        if let Some(before) = before {
            self.report_rival(&before.name, &name);
            self.rivals.insert(tag, before);
        }
    }

    /// Gives the tag of a backend server whose flows have ended to the rival that
    /// counts, if there is one.
    fn replace_ended(&mut self, tag: Tag, now: Time) {
        let claims = self.rivals.of(tag).iter().filter_map(Claim::of);
        let best = preferred(claims, &self.named_services);
        let Some(name) = best.map(|b| b.name.to_owned()) else {
            return;
        };
        self.remove_entry(tag);
        if let Some(object) = self.rivals.remove(&name)
            && let Some(server) = object.backend_server()
        {
            self.insert(tag, server, &object, now);
        }
    }

    /// Passes a backend server whose object no longer counts on to another object with
    /// its key, so that its flows go on. Returns whether there is one.
    pub(super) fn pass_on(&mut self, tag: Tag, position: Position, now: Time) -> bool {
        let Some(entry) = self.entries.get(&tag).filter(|e| e.may_hold_flows()) else {
            return false;
        };
        let claims = self.rivals.with_key(tag, entry.server.key);
        let Some(best) = preferred(claims, &self.named_services) else {
            return false;
        };
        let name = best.name.to_owned();
        // The export of the entry will not tell that the former object is gone.
        self.compacted = self.compacted.max(position);
        self.take_over(tag, &name, now);
        true
    }

    /// Makes a rival the object that counts for the backend server of its tag. Returns
    /// the object that counted before.
    fn take_over(&mut self, tag: Tag, name: &str, now: Time) -> Option<Object> {
        let object = self.rivals.remove(name)?;
        let server = object.backend_server()?;
        let entry = self.entries.get_mut(&tag)?;
        let before = entry.object();
        self.tags.remove(&before.name);
        self.tags.insert(object.name.clone(), tag);
        let service = entry.server.service.clone();
        entry.replace(server, &object, now);
        self.follow_service(tag, Some(&service));
        Some(before)
    }
}
