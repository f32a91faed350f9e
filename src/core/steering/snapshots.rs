//! Snapshots of a VM's state for other VMs: serving, requesting and applying.

use std::net::SocketAddrV4;

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use super::{
    Action,
    Steering,
    decision::{
        Decision,
        Source, //
    },
    exchange::{
        SNAPSHOT_REQUEST_INTERVAL,
        TRANSIT_TIME, //
    },
    exported::Exported,
    peers::{
        Heartbeat,
        KindQuery,
        KindReport,
        Referral,
        Snapshot,
        SnapshotAnswer,
        SnapshotPart,
        SnapshotRequest, //
    },
    store::{
        Change,
        Kind,
        Malformed,
        Object,
        Position,
        Value, //
    },
    store_reader::Update,
    tag::BackendKey, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Pause after a referral that names no VM: about the time that a VM takes to serve
/// a snapshot.
const REFERRAL_PAUSE: Millis = Millis(25);

/// Number of VMs to which a requester is referred.
const MAX_REFERRALS: usize = 3;

impl Steering {
    /// Admits a snapshot request. Returns VMs to ask instead if too many full
    /// snapshots are being served. Each admitted request must end with
    /// [`Steering::end_snapshot`].
    pub fn admit_snapshot(&mut self, request: &SnapshotRequest, now: Time) -> Result<(), Referral> {
        if !request.is_full() || self.admission.admit(self.me.millicores) {
            return Ok(());
        }
        Err(Referral {
            holders: self.snapshot_holders(request.requester, now),
            contacts: self.peers.start_contacts(now, &mut self.rng),
        })
    }

    /// Ends an admitted snapshot request. `was_sent` tells whether the requester
    /// got the snapshot.
    pub fn end_snapshot(&mut self, request: &SnapshotRequest, was_sent: bool) {
        if request.is_full() {
            let has_all = was_sent && self.is_synced();
            self.admission.finish(has_all.then_some(request.requester));
        }
    }

    /// Returns a few VMs that should have a full snapshot.
    fn snapshot_holders(&mut self, requester: SocketAddrV4, now: Time) -> Vec<SocketAddrV4> {
        let is_synced = |h: &Heartbeat| h.kind_reports.iter().all(|r| r.position > Position::NONE);
        let live = self.peers.live(now).map(|m| &m.heartbeat);
        let synced = live
            .filter(|h| is_synced(h) && !h.is_stopping)
            .map(|h| h.address);
        let holders = synced.chain(self.admission.holders());
        let others = holders.filter(|at| *at != requester);
        let mut sample = [requester; MAX_REFERRALS];
        let found = others.choose_multiple_fill(&mut self.rng, &mut sample);
        sample[..found].to_vec()
    }

    /// Answers a snapshot request.
    pub fn snapshot(&mut self, request: &SnapshotRequest, now: Time) -> Snapshot {
        // A VM without state may not know its peers either.
        let contacts = match request.is_full() {
            true => self.peers.start_contacts(now, &mut self.rng),
            false => Vec::new(),
        };
        let known = request
            .queries
            .iter()
            .filter(|w| self.sync.is_known(w.kind));
        Snapshot {
            parts: known.map(|query| self.snapshot_part(query, now)).collect(),
            contacts,
        }
    }

    fn export_backends(&self, since: Position, now: Time) -> Exported {
        let as_of = self.sync.get(Kind::BackendServers).position;
        self.directory.export(since, as_of, now)
    }

    /// Processes the answer of another VM to a snapshot request. `made_at` is
    /// when the other VM made it.
    pub fn on_snapshot_answer(&mut self, answer: SnapshotAnswer, made_at: Time, now: Time) {
        match answer {
            SnapshotAnswer::Snapshot(snapshot) => self.on_snapshot(snapshot, made_at, now),
            SnapshotAnswer::Referral(referral) => self.follow_referral(&referral, now),
        }
    }

    /// Requests the kinds that are still unknown from one of the VMs named.
    fn follow_referral(&mut self, referral: &Referral, now: Time) {
        for contact in &referral.contacts {
            self.peers.add_contact(contact, now);
        }
        let unknown = Kind::ALL
            .into_iter()
            .filter(|kind| !self.sync.is_known(*kind));
        let queries: Vec<KindQuery> = unknown.map(KindQuery::full).collect();
        if queries.is_empty() {
            return;
        }
        let from = referral.holders.iter().copied().choose(&mut self.rng);
        let pause = match from {
            Some(_) => SNAPSHOT_REQUEST_INTERVAL,
            None => REFERRAL_PAUSE,
        };
        for query in &queries {
            self.next_request[query.kind as usize] = now + pause;
        }
        if let Some(from) = from {
            self.actions.push(Action::RequestSnapshot { from, queries });
        }
    }

    /// Requests the kinds that are still unknown from a live VM that knows them,
    /// without waiting for its next heartbeat.
    pub(super) fn request_unknown(&mut self, now: Time) {
        let is_due =
            |kind: &Kind| !self.sync.is_known(*kind) && now >= self.next_request[*kind as usize];
        let due: SmallVec<[Kind; 3]> = Kind::ALL.into_iter().filter(is_due).collect();
        if due.is_empty() {
            return;
        }
        let knows =
            |h: &Heartbeat, kind: Kind| h.kind_reports[kind as usize].position > Position::NONE;
        let live = self.peers.live(now).map(|m| &m.heartbeat);
        let holders = live.filter(|h| due.iter().all(|kind| knows(h, *kind)));
        let Some(from) = holders.map(|h| h.address).choose(&mut self.rng) else {
            return;
        };
        let queries = self.new_queries(&due, now);
        self.actions.push(Action::RequestSnapshot { from, queries });
    }

    fn snapshot_part(&self, query: &KindQuery, now: Time) -> SnapshotPart {
        let exported = match query.kind {
            Kind::Configuration => Exported::full(vec![Object {
                name: String::new(),
                position: self.routing.position(),
                value: Some(Value::Configuration(self.routing.configuration().clone())),
            }]),
            Kind::BackendServers => self.export_backends(query.since, now),
            Kind::Evacuations => Exported::full(self.directory.evacuations.export()),
        };
        SnapshotPart {
            kind: query.kind,
            report: self.sync.kind_report(query.kind, now),
            is_full: exported.is_full,
            objects: exported.objects,
            removed: exported.removed,
        }
    }

    /// Returns whether a part of a snapshot can be used. An older build may take the
    /// object of another program for that of a backend server and leave out what the
    /// backend server has written, so this VM has to read the store itself.
    fn is_usable(&mut self, part: &SnapshotPart) -> bool {
        let Some(name) = find_misnamed(part) else {
            return true;
        };
        self.decisions.push(Decision::Malformed(Malformed::Object {
            subject: part.kind.subject(),
            name: name.to_owned(),
            error: "another VM takes it for a backend server; finish the roll-out".to_owned(),
        }));
        false
    }

    /// Processes a snapshot that another VM made at `made_at`.
    fn on_snapshot(&mut self, snapshot: Snapshot, made_at: Time, now: Time) {
        for contact in &snapshot.contacts {
            self.peers.add_contact(contact, now);
        }
        let reports: SmallVec<[KindReport; 3]> = snapshot.parts.iter().map(|p| p.report).collect();
        self.observe_peer_era(&reports, now);
        for part in snapshot.parts {
            self.next_request[part.kind as usize] = now;
            let (kind, report) = (part.kind, part.report);
            if report.position <= self.sync.get(kind).position || !self.is_usable(&part) {
                continue;
            }
            let as_of = made_at - report.age - TRANSIT_TIME;
            let update = into_update(part);
            self.apply(kind, update, report.position, as_of, Source::Peer, now);
            self.sync.set_changed(kind, report.changed);
        }
    }
}

/// Returns the name of an object that cannot be that of the backend server it describes.
fn find_misnamed(part: &SnapshotPart) -> Option<&str> {
    let is_misnamed = |o: &&Object| {
        let server = o.backend_server();
        server.is_some_and(|s| BackendKey::of_name(&o.name) != Some(s.key))
    };
    let mut objects = part.objects.iter().chain(&part.removed);
    objects.find(is_misnamed).map(|o| o.name.as_str())
}

/// Converts a part of a snapshot into an update.
fn into_update(part: SnapshotPart) -> Update {
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
