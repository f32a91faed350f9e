//! Application of what the store and the heartbeats of other VMs say.

use std::net::SocketAddrV4;

use super::{
    Action,
    Steering,
    decision::{
        Decision,
        Source, //
    },
    flows::Load,
    loads::Report,
    peers::{
        Heartbeat,
        KindQuery,
        KindReport,
        TagLoad, //
    },
    routing::Activation,
    store::{
        Change,
        Era,
        Kind,
        Malformed,
        Object,
        Position,
        Value, //
    },
    store_reader::Update,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Message delay, added to the age that another VM reports.
pub(super) const TRANSIT_TIME: Millis = Millis(20);

/// Minimum interval between two requests for a kind, unless the answer arrived.
pub(super) const SNAPSHOT_REQUEST_INTERVAL: Millis = Millis(300);

impl Steering {
    /// Applies objects of a kind that the store had at `as_of` or later.
    pub(super) fn apply(
        &mut self,
        kind: Kind,
        update: Update,
        position: Position,
        as_of: Time,
        source: Source,
        now: Time,
    ) {
        let has_changes = match &update {
            Update::All(_) => position > self.sync.get(kind).position,
            Update::Changes(changes) => !changes.is_empty(),
        };
        if has_changes {
            match update {
                Update::All(objects) => self.apply_all(kind, objects, position, now),
                Update::Changes(changes) => self.apply_changes(kind, changes, now),
            }
        }
        self.record_doubts();
        self.record_passed_over();
        self.record_evacuations();
        self.sync.advance(kind, position, has_changes, as_of);
        if has_changes {
            self.assign_cold(now);
            self.peers.send_soon(now);
            self.send_heartbeats(now);
            self.decisions.push(Decision::StoreUpdateApplied {
                kind,
                position,
                version: self.routing.configuration().version,
                source,
                age: now.since(as_of),
            });
        }
        self.reset_ended_backends(now);
        self.update_readiness(now);
    }

    /// Records what began, ended or is in doubt since the last call.
    pub(super) fn record_evacuations(&mut self) {
        let changes = self.directory.evacuations.take_changes();
        self.decisions
            .extend(changes.into_iter().map(Decision::Evacuation));
    }

    fn record_passed_over(&mut self) {
        let passed_over = self.directory.take_passed_over().into_iter();
        let malformed = passed_over.map(|object| Malformed::Object {
            subject: Kind::BackendServers.subject(),
            name: object.name,
            error: object.reason.to_string(),
        });
        self.on_malformed(malformed.collect());
    }

    fn record_doubts(&mut self) {
        let backends = self.directory.take_doubted();
        if backends > 0 {
            self.decisions.push(Decision::BackendsDoubted { backends });
        }
    }

    fn apply_all(&mut self, kind: Kind, objects: Vec<Object>, position: Position, now: Time) {
        let gone_at = self.sync.outage_settled_at();
        match kind {
            Kind::Configuration => objects.into_iter().for_each(|o| self.configure(o, now)),
            Kind::BackendServers => self.directory.replace(&objects, position, gone_at, now),
            Kind::Evacuations => {
                let era = self.sync.era_view();
                let evacuations = &mut self.directory.evacuations;
                evacuations.replace(&objects, position, era, now);
            }
        }
    }

    fn apply_changes(&mut self, kind: Kind, changes: Vec<Change>, now: Time) {
        let gone_at = self.sync.outage_settled_at();
        let era = self.sync.era_view();
        for change in changes {
            match kind {
                Kind::Configuration if change.removed => {}
                Kind::Configuration => self.configure(change.object, now),
                Kind::BackendServers => self.directory.change(&change, gone_at, now),
                Kind::Evacuations => self.directory.evacuations.change(&change, era, now),
            }
        }
    }

    fn configure(&mut self, object: Object, now: Time) {
        let Some(Value::Configuration(cfg)) = object.value else {
            return;
        };
        let version = cfg.version;
        match self.routing.apply(object.position, cfg) {
            Activation::Activated => {
                let services = self.routing.configuration().named_services();
                self.directory.set_services(services.cloned(), now);
            }
            Activation::HeldBack => self.decisions.push(Decision::ConfigurationHeldBack {
                version,
                active: self.routing.configuration().version,
                position: object.position,
            }),
            Activation::Known => {}
        }
    }

    /// Handles that the store was restored from an older copy. The next answers
    /// show what it lost; it may not list what was written since the copy.
    pub(super) fn on_restore(&mut self, before: Era, era: Era, now: Time) {
        self.sync.record_outage(now);
        self.registration.repeat(now);
        self.peers.send_soon(now);
        self.decisions.push(Decision::StoreRestored { before, era });
    }

    /// Returns the load of this VM's flows on the backend servers.
    pub(super) fn own_loads(&self, now: Time) -> Vec<TagLoad> {
        let is_shared = self.remote_loads.are_shared();
        let load = |(tag, load): (Tag, Load)| TagLoad {
            tag,
            flows: load.flows,
            waiting: match is_shared {
                true => self.flows.outstanding(tag),
                false => load.waiting,
            },
            stalled: self.stalls.stalled_flows(tag),
            is_answering: self.stalls.is_answering(tag, now),
            service_time: self.capability.report(tag, now),
        };
        let loads = self.flows.loads().chain(self.sampled_idle());
        loads.map(load).collect()
    }

    /// Creates the heartbeat for the VM at `to`.
    pub fn heartbeat(&mut self, to: SocketAddrV4, now: Time) -> Heartbeat {
        Heartbeat {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            address: self.me.address,
            millicores: self.me.millicores,
            wants_reply: self.peers.is_neighbour(to),
            is_stopping: self.is_stopping,
            reaches_store: self.store_answers(),
            kind_reports: self.sync.reports(now),
            outage_age: self.sync.last_outage().map(|at| now.since(at)),
            loads: self.loads_for(to, now),
            routes: self.route_arrivals.demand().to_vec(),
            paths: self.paths.report(now),
            dead: self.detector.dead_or_unconfirmed().collect(),
            stalled: self.stalls.found().collect(),
            reaches_backends: self.reachability.report(self.readiness.is_ready),
            takeovers: self.takeovers.export(),
            cold_grants: self.cold_grants_for(to, now),
            contacts: self.peers.sample_contacts(now, &mut self.rng),
        }
    }

    /// Processes a heartbeat of another VM.
    pub fn on_heartbeat(&mut self, mut heartbeat: Heartbeat, now: Time) {
        if let Some(age) = heartbeat.outage_age {
            self.sync.record_outage(now - age);
        }
        for contact in &heartbeat.contacts {
            self.peers.add_contact(contact, now);
            self.paths
                .record_heard(&contact.data_centre, &heartbeat.data_centre, now);
        }
        self.observe_peer_era(&heartbeat.kind_reports, now);
        let is_local = heartbeat.data_centre == self.me.data_centre;
        for tag in &heartbeat.dead {
            self.detector
                .record_report(*tag, heartbeat.address, is_local, now);
        }
        for data_centre in &heartbeat.takeovers {
            self.record_takeover(data_centre, false, now);
        }
        if is_local && self.peers.is_neighbour(heartbeat.address) {
            self.stalls.record_report(&heartbeat.stalled, now);
        }
        if let Some(grants) = heartbeat.cold_grants.clone().filter(|_| is_local) {
            self.cold_grants.replace(grants, now);
        }
        self.replicas.mark_heard(heartbeat.address, now);
        let from = heartbeat.address;
        let report = Report::take(&mut heartbeat, now);
        let kinds = self.compare(&heartbeat.kind_reports, now);
        let sender = heartbeat.contact();
        let before = self.peers.record_heartbeat(heartbeat, now);
        if before.is_none() && from != self.me.address {
            self.record_peer(true, sender);
            // A VM that has just started waits for the answer.
            self.send_heartbeats(now);
        }
        if from != self.me.address {
            self.remote_loads.record(from, report);
        }
        let queries = self.new_queries(&kinds, now);
        if !queries.is_empty() {
            self.actions.push(Action::RequestSnapshot { from, queries });
        }
    }

    /// Learns the era of the store from what another VM reports.
    pub(super) fn observe_peer_era(&mut self, reports: &[KindReport], now: Time) {
        let known = reports.iter().filter(|r| r.position > Position::NONE);
        let Some(era) = known.clone().map(|r| r.position.era).max() else {
            return;
        };
        if let Some(before) = self.sync.observe_era(era, now) {
            self.on_restore(before, era, now);
        }
        for report in known {
            self.sync.observe_position(report.position);
        }
    }

    /// Creates queries for kinds of which another VM knows more, except those
    /// that were requested recently.
    pub(super) fn new_queries(&mut self, kinds: &[Kind], now: Time) -> Vec<KindQuery> {
        let mut queries = Vec::new();
        for kind in kinds {
            let next_request = &mut self.next_request[*kind as usize];
            if now < *next_request {
                continue;
            }
            *next_request = now + SNAPSHOT_REQUEST_INTERVAL;
            queries.push(KindQuery {
                kind: *kind,
                since: self.sync.get(*kind).position,
            });
        }
        queries
    }

    /// Compares another VM's reports with the local state. Returns the kinds of
    /// which the other VM knows more.
    fn compare(&mut self, reports: &[KindReport], now: Time) -> Vec<Kind> {
        let mut kinds = Vec::new();
        for (kind, report) in Kind::ALL.into_iter().zip(reports) {
            let own = *self.sync.get(kind);
            if report.position <= Position::NONE || report.position < own.position {
                continue;
            }
            if report.changed == own.changed && own.position > Position::NONE {
                let as_of = now - report.age - TRANSIT_TIME;
                self.sync.confirm(kind, report.position, as_of);
            } else if report.position > own.position {
                kinds.push(kind);
            }
        }
        kinds
    }
}
