//! Packet steering by tag, for transports whose return traffic bypasses this
//! VM.
//!
//! A tag in each packet of a flow identifies its backend server. All VMs map
//! tags to backend servers in the same way, so a flow survives changes of the
//! VMs without shared state. VMs only share their view of the platform's store:
//! a few of them read it, and all compare revisions with each other.
//!
//! [`Steering`] is the state machine of one VM. It performs no I/O.

use std::net::SocketAddrV4;

use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

pub mod action;
pub mod capability;
pub mod cold;
pub mod cold_grants;
pub mod decision;
pub mod directory;
pub mod directory_entry;
pub mod evacuations;
pub mod evidence;
pub mod failure_detector;
pub mod flow;
pub mod flows;
pub mod handshakes;
pub mod identity;
pub mod loads;
pub mod members;
pub mod packet;
pub mod paths;
pub mod peers;
pub mod placement;
pub mod position;
pub mod reachability;
pub mod readiness;
pub mod registration;
pub mod replicas;
pub mod replication;
pub mod replication_queue;
pub mod response_times;
pub mod routing;
pub mod snapshot_admission;
pub mod stalls;
pub mod stats;
pub mod store;
pub mod store_reader;
pub mod tag;
pub mod unlisted;

mod dark_data_centre;
mod exchange;
mod exported;
mod first_read;
mod flow_resets;
mod hubs;
mod known_peer;
mod probing;
mod reader_election;
mod snapshots;
mod steer;
mod sync_state;
mod takeover;

pub use action::Action;
use capability::Capability;
use cold::ColdBudget;
use cold_grants::{
    ColdAssignments,
    HeldGrants, //
};
use decision::Decision;
use directory::Directory;
use failure_detector::FailureDetector;
use flows::FlowTable;
use handshakes::Handshakes;
pub use identity::Identity;
use known_peer::HEARTBEAT_INTERVAL;
use loads::{
    LoadSender,
    RemoteLoads,
    RouteArrivals, //
};
use members::Members;
use paths::Paths;
use peers::{
    Contact,
    FleetRecord, //
};
use reachability::Reachability;
use readiness::Readiness;
use registration::{
    ReaderStatus,
    Registration, //
};
use replicas::Replicas;
use replication::Replication;
use response_times::ResponseTimes;
use routing::Routing;
use snapshot_admission::SnapshotAdmission;
use stalls::Stalls;
pub use stats::Stats;
use store::{
    Kind,
    Malformed,
    StoreAnswer,
    StoreCall, //
};
use store_reader::StoreReader;
use sync_state::SyncState;
use takeover::Takeovers;
use unlisted::UnlistedTags;

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Interval at which [`Steering::tick`] must be called.
pub const TICK: Millis = Millis(25);

/// Interval between removals of expired state.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Steering state machine of one VM.
#[derive(Debug)]
pub struct Steering {
    started_at: Time,
    me: Identity,
    routing: Routing,
    directory: Directory,
    flows: FlowTable,
    detector: FailureDetector,
    cold_budget: ColdBudget,
    cold_assignments: ColdAssignments,
    cold_grants: HeldGrants,
    response_times: ResponseTimes,
    capability: Capability,
    stalls: Stalls,
    handshakes: Handshakes,
    paths: Paths,
    unlisted: UnlistedTags,
    peers: Members,
    /// VM that holds replicas of this VM's flows.
    replica_holder: Option<SocketAddrV4>,
    replication: Replication,
    replicas: Replicas,
    takeovers: Takeovers,
    registration: Registration,
    admission: SnapshotAdmission,
    remote_loads: RemoteLoads,
    load_sender: LoadSender,
    route_arrivals: RouteArrivals,
    sync: SyncState,
    /// Invariant: one per kind, in the order of [`Kind::ALL`].
    readers: [StoreReader; Kind::ALL.len()],
    rng: SmallRng,
    is_stopping: bool,
    next_sweep: Time,
    /// Whether this VM can place new flows, and since when it cannot.
    readiness: Readiness,
    reachability: Reachability,
    /// Earliest time of the next request to a peer for each kind.
    ///
    /// Invariant: in the order of [`Kind::ALL`].
    next_request: [Time; Kind::ALL.len()],
    /// Invariant: in the order they were issued.
    actions: Vec<Action>,
    /// Invariant: in the order they were made.
    decisions: Vec<Decision>,
    /// Response times of backend servers, for the metrics.
    response_samples: Vec<Millis>,
}

impl Steering {
    /// Creates a state machine without any configuration or known backend
    /// servers.
    pub fn open(me: Identity, seeds: &[SocketAddrV4], rng_seed: u64, now: Time) -> Steering {
        Steering {
            started_at: now,
            peers: Members::open(me.contact(), seeds),
            replica_holder: None,
            replication: Replication::default(),
            replicas: Replicas::default(),
            takeovers: Takeovers::default(),
            registration: Registration::default(),
            admission: SnapshotAdmission::default(),
            routing: Routing::default(),
            directory: Directory::default(),
            flows: FlowTable::default(),
            detector: FailureDetector::default(),
            cold_budget: ColdBudget::default(),
            cold_assignments: ColdAssignments::default(),
            cold_grants: HeldGrants::default(),
            response_times: ResponseTimes::default(),
            capability: Capability::default(),
            stalls: Stalls::default(),
            handshakes: Handshakes::default(),
            paths: Paths::open(me.data_centre.clone()),
            unlisted: UnlistedTags::default(),
            remote_loads: RemoteLoads::default(),
            load_sender: LoadSender::default(),
            route_arrivals: RouteArrivals::default(),
            sync: SyncState::default(),
            readers: Kind::ALL.map(StoreReader::open),
            rng: SmallRng::seed_from_u64(rng_seed),
            is_stopping: false,
            next_sweep: Time::default(),
            readiness: Readiness::default(),
            reachability: Reachability::default(),
            next_request: [Time::default(); Kind::ALL.len()],
            actions: Vec::new(),
            decisions: Vec::new(),
            response_samples: Vec::new(),
            me,
        }
    }

    /// Returns whether this VM can serve new flows and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping && self.readiness.is_ready
    }

    /// Returns whether the configuration and the backend servers are known, so
    /// that packets can be steered.
    pub fn is_synced(&self) -> bool {
        self.routing.is_known() && self.sync.is_known(Kind::BackendServers)
    }

    /// Starts a graceful shutdown: routers should send new flows to other VMs.
    pub fn stop(&mut self, now: Time) {
        self.is_stopping = true;
        self.peers.send_soon(now);
    }

    /// Returns the next lookup or registration call to the store, if one is
    /// due.
    pub fn next_registration(&mut self, now: Time) -> Option<StoreCall> {
        let status = ReaderStatus {
            has_peers: self.peers.live(now).next().is_some(),
            is_reader: self.peers.is_hub() && self.rank(now) == 0 && self.store_answers(),
        };
        let record = || FleetRecord {
            contact: self.me.contact(),
            vms: self.peers.known() + 1,
            early_readers: self.peers.early_readers(),
        };
        self.registration.next(status, record, now)
    }

    /// Processes the answer to a call of [`Steering::next_registration`].
    pub fn on_registration(&mut self, answer: StoreAnswer, now: Time) {
        for record in self.registration.on_answer(answer, now) {
            for contact in record.early_readers.iter().chain([&record.contact]) {
                self.peers.add_start_peer(contact, now);
            }
        }
        self.send_heartbeats(now);
    }

    /// Records what answers of the store contain that cannot be used.
    pub fn on_malformed(&mut self, malformed: Vec<Malformed>) {
        self.decisions
            .extend(malformed.into_iter().map(Decision::Malformed));
    }

    /// Accounts for a suspension of this VM that its clock did not count.
    pub fn on_suspension(&mut self, span: Millis) {
        self.sync.add_age(span);
    }

    /// Adds addresses at which peers may be reachable.
    pub fn add_seeds(&mut self, seeds: &[SocketAddrV4], now: Time) {
        for seed in seeds {
            self.peers.add_seed(*seed, now);
        }
    }

    /// Runs all periodic work that is due.
    pub fn tick(&mut self, now: Time) {
        self.directory.tick(self.sync.outage_settled_at(), now);
        self.directory.evacuations.tick(now);
        self.record_evacuations();
        self.reset_ended_backends(now);
        self.reset_unlisted(now);
        self.remove_lost_peers(now);
        self.update_paths(now);
        self.probe_unopened(now);
        self.send_probes(now);
        self.reset_lost_flows(now);
        self.update_readiness(now);
        self.replicate(now);
        self.request_unknown(now);
        self.update_loads(now);
        self.update_stalls(now);
        self.update_capability(now);
        if self.cold_assignments.is_due(now) {
            self.assign_cold(now);
        }
        self.send_heartbeats(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// Sends the heartbeats that are due.
    fn send_heartbeats(&mut self, now: Time) {
        for to in self.peers.take_due(now) {
            self.actions.push(Action::Heartbeat { to });
        }
    }

    /// Removes expired state.
    fn sweep(&mut self, now: Time) {
        self.flows.sweep(self.idle_timeout(), now);
        self.replicas.sweep(self.idle_timeout(), now);
        self.choose_holder(now);
        self.sweep_detector(now);
        self.cold_budget.sweep(now);
        self.response_times.sweep(now);
        self.handshakes.sweep(now);
        let is_known = |tag| self.directory.entry(tag).is_some();
        self.unlisted.sweep(is_known, now);
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the decisions since the last call, for the log.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the response times measured since the last call.
    pub fn take_response_times(&mut self) -> Vec<Millis> {
        std::mem::take(&mut self.response_samples)
    }

    /// Returns a snapshot of the gauges for the metrics.
    pub fn stats(&self, now: Time) -> Stats {
        Stats {
            is_ready: self.is_ready(),
            flows: self.flows.len(),
            waiting: self.flows.waiting(),
            backends: self.open_backends(now),
            dead: self.detector.dead().count(),
            estimated: self.capability.estimated(),
            too_fast: self.capability.doubtful(now),
            replicas: self.replicas.len(),
            peers: self.peers.live(now).count(),
            era: self.sync.era().unwrap_or_default(),
            version: self.routing.configuration().version,
            ages: Kind::ALL.map(|kind| self.sync.age(kind, now)),
        }
    }

    fn record_peer(&mut self, is_heard: bool, peer: Contact) {
        self.decisions.push(Decision::PeerHeard {
            is_heard,
            vm: peer.vm,
            data_centre: peer.data_centre,
            address: peer.address,
        });
    }

    fn idle_timeout(&self) -> Millis {
        /// Used until the configuration is known.
        const DEFAULT: Millis = Millis::from_secs(15);
        match self.routing.idle_timeout() {
            Millis(0) => DEFAULT,
            timeout => timeout + HEARTBEAT_INTERVAL,
        }
    }
}
