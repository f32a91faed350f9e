//! What VMs learn from the store and from each other.

use std::net::SocketAddrV4;

use super::{
    Action,
    Steering,
    decision::{
        Decision,
        Source, //
    },
    directory::Exported,
    peers::{
        Heartbeat,
        KindQuery,
        KindReport,
        Snapshot,
        SnapshotPart,
        SnapshotRequest,
        TagLoad, //
    },
    store::{
        Change,
        Kind,
        Object,
        Revision,
        Value, //
    },
    store_reader::Update, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Taken off the age that another VM tells, for the time on the way.
const TRANSIT: Millis = Millis(20);

/// A kind that was asked for is not asked for again sooner, unless the answer
/// has come.
const PULL_INTERVAL: Millis = Millis(300);

impl Steering {
    /// Takes in what was read of a kind, which the store had at `as_of` or
    /// later.
    pub(super) fn apply(
        &mut self,
        kind: Kind,
        update: Update,
        revision: Revision,
        as_of: Time,
        source: Source,
        now: Time,
    ) {
        let has_changes = match &update {
            Update::All(_) => revision > self.beliefs.get(kind).revision,
            Update::Changes(changes) => !changes.is_empty(),
        };
        if has_changes {
            match update {
                Update::All(objects) => self.apply_all(kind, objects, revision, now),
                Update::Changes(changes) => self.apply_changes(kind, changes, now),
            }
            self.peers.hurry(now);
        }
        self.beliefs.advance(kind, revision, has_changes, as_of);
        if has_changes {
            self.decisions.push(Decision::Learnt {
                kind,
                revision,
                version: self.routing.configuration().version,
                source,
                age: now.since(as_of),
            });
        }
        self.end_flows(now);
        self.review_readiness(now);
    }

    fn apply_all(&mut self, kind: Kind, objects: Vec<Object>, revision: Revision, now: Time) {
        let gone_at = self.beliefs.trouble_over();
        match kind {
            Kind::Configuration => objects.into_iter().for_each(|o| self.configure(o)),
            Kind::BackendServers => self.directory.replace(&objects, revision, gone_at, now),
            Kind::Evacuations => self.directory.evacuations.replace(&objects, revision, now),
        }
    }

    fn apply_changes(&mut self, kind: Kind, changes: Vec<Change>, now: Time) {
        let gone_at = self.beliefs.trouble_over();
        for change in changes {
            match kind {
                Kind::Configuration if change.removed => {}
                Kind::Configuration => self.configure(change.object),
                Kind::BackendServers => self.directory.change(&change, gone_at, now),
                Kind::Evacuations => self.directory.evacuations.change(&change, now),
            }
        }
    }

    fn configure(&mut self, object: Object) {
        if let Some(Value::Configuration(cfg)) = object.value {
            self.routing.apply(object.revision, cfg);
        }
    }

    /// Returns what this VM tells the one at `to`.
    pub fn heartbeat(&mut self, to: SocketAddrV4, now: Time) -> Heartbeat {
        let load = |(tag, load): (_, super::flows::Load)| TagLoad {
            tag,
            flows: load.flows,
            waiting: load.waiting,
        };
        Heartbeat {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            address: self.me.address,
            millicores: self.me.millicores,
            wants_reply: self.peers.is_neighbour(to),
            is_stopping: self.is_stopping,
            reaches_store: self.has_store(),
            kind_reports: self.beliefs.export(now),
            outage_age: self.beliefs.trouble().map(|at| now.since(at)),
            loads: self.flows.loads().map(load).collect(),
            dead: self.suspicion.dead().collect(),
            taken_over: self.taken_over.export(),
            contacts: self.peers.some_contacts(now, &mut self.rng),
        }
    }

    /// Takes in a heartbeat of another VM.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) {
        if let Some(age) = heartbeat.outage_age {
            self.beliefs.note_trouble(now - age);
        }
        for contact in &heartbeat.contacts {
            self.peers.add_contact(contact, now);
        }
        let is_beside = heartbeat.data_centre == self.me.data_centre;
        for tag in &heartbeat.dead {
            self.suspicion
                .report(*tag, heartbeat.address, is_beside, now);
        }
        for place in &heartbeat.taken_over {
            self.note_taken_over(place, false, now);
        }
        self.replicas.hear(heartbeat.address, now);
        let (from, loads) = (heartbeat.address, heartbeat.loads.clone());
        let wanted = self.compare(&heartbeat.kind_reports, now);
        let sender = heartbeat.contact();
        let before = self.peers.hear(heartbeat, now);
        if before.is_none() && from != self.me.address {
            self.note_peer(true, sender);
        }
        let before = before.map_or(Vec::new(), |h| h.loads);
        self.remote.replace(&before, &loads);
        let queries = self.take_wants(&wanted, now);
        if !queries.is_empty() {
            self.actions.push(Action::Pull { from, queries });
        }
    }

    /// Returns what to ask for of the kinds that another VM knows more of. What
    /// was just asked for is left out.
    fn take_wants(&mut self, kinds: &[Kind], now: Time) -> Vec<KindQuery> {
        let mut queries = Vec::new();
        for kind in kinds {
            let pulled = &mut self.pulled[*kind as usize];
            if pulled.is_some_and(|at| now.since(at) < PULL_INTERVAL) {
                continue;
            }
            *pulled = Some(now);
            queries.push(KindQuery {
                kind: *kind,
                since: self.beliefs.get(*kind).revision,
            });
        }
        queries
    }

    /// Compares what another VM knows with what this one does. Returns the
    /// kinds of which the other one knows more.
    fn compare(&mut self, theirs: &[KindReport], now: Time) -> Vec<Kind> {
        let mut wanted = Vec::new();
        for (kind, report) in Kind::ALL.into_iter().zip(theirs) {
            let mine = *self.beliefs.get(kind);
            if report.revision <= Revision(0) || report.revision < mine.revision {
                continue;
            }
            if report.changed == mine.changed && mine.revision > Revision(0) {
                let as_of = now - report.age - TRANSIT;
                self.beliefs.confirm(kind, report.revision, as_of);
            } else if report.revision > mine.revision {
                wanted.push(kind);
            }
        }
        wanted
    }

    /// Returns what another VM asked for.
    pub fn snapshot(&self, request: &SnapshotRequest, now: Time) -> Snapshot {
        let known = request
            .queries
            .iter()
            .filter(|w| self.beliefs.knows(w.kind));
        // Whoever knows nothing may know nobody, too.
        let is_new = request.queries.iter().any(|w| w.since == Revision(0));
        let contacts = match is_new {
            true => self.peers.contacts().cloned().collect(),
            false => Vec::new(),
        };
        Snapshot {
            parts: known.map(|want| self.snapshot_part(want, now)).collect(),
            contacts,
        }
    }

    fn snapshot_part(&self, want: &KindQuery, now: Time) -> SnapshotPart {
        let exported = match want.kind {
            Kind::Configuration => Exported::whole(vec![Object {
                name: String::new(),
                revision: self.routing.revision(),
                value: Some(Value::Configuration(self.routing.configuration().clone())),
            }]),
            Kind::BackendServers => self.directory.export(want.since, now),
            Kind::Evacuations => Exported::whole(self.directory.evacuations.export()),
        };
        SnapshotPart {
            kind: want.kind,
            report: self.beliefs.export_kind(want.kind, now),
            is_full: exported.is_full,
            objects: exported.objects,
            removed: exported.removed,
        }
    }

    /// Takes in what another VM knows.
    pub fn on_snapshot(&mut self, snapshot: Snapshot, now: Time) {
        for contact in &snapshot.contacts {
            self.peers.add_contact(contact, now);
        }
        for part in snapshot.parts {
            self.pulled[part.kind as usize] = None;
            let (kind, report) = (part.kind, part.report);
            if report.revision <= self.beliefs.get(kind).revision {
                continue;
            }
            let as_of = now - report.age - TRANSIT;
            let update = update_of(part);
            self.apply(kind, update, report.revision, as_of, Source::Peer, now);
            self.beliefs.adopt_changed(kind, report.changed);
        }
    }
}

/// Returns what a part of a snapshot changes.
fn update_of(part: SnapshotPart) -> Update {
    if part.is_full {
        return Update::All(part.objects);
    }
    let change = |removed: bool| move |object: Object| Change { object, removed };
    let gone = part.removed.into_iter().map(change(true));
    Update::Changes(
        part.objects
            .into_iter()
            .map(change(false))
            .chain(gone)
            .collect(),
    )
}
