//! Messages between VMs.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    capability::ServiceTime,
    cold_grants::ColdGrants,
    loads::message::{
        DataCentreLoads,
        FleetLoads,
        RouteDemand, //
    },
    packet::FlowId,
    paths::PathReport,
    store::{
        Kind,
        Object,
        Position, //
    },
    tag::Tag,
};
use crate::{
    core::names::{
        DataCentreId,
        Incarnation,
        VmId, //
    },
    kernel::clock::Millis,
};

/// State of one kind of object at a VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Position up to which all changes are known; zero if none.
    pub position: Position,
    /// Position of the last change.
    pub changed: Position,
    /// Time since the store was known to have nothing newer.
    pub age: Millis,
}

/// A datagram between VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[expect(clippy::large_enum_variant, reason = "messages are short-lived")]
pub enum PeerMessage {
    /// Periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Load of the fleet, for a VM of the hub's data centre.
    FleetLoads(FleetLoads),
    /// Load of a data centre, for the hubs of another one.
    DataCentreLoads(DataCentreLoads),
    /// Flow records for the VM that holds replicas.
    Replicas(ReplicaBatch),
    /// Acknowledges a batch.
    ReplicasAcked {
        /// VM that received the batch.
        holder: SocketAddrV4,
        /// Number of the batch.
        number: u64,
    },
    /// Flow records of an earlier run, returned to the restarted VM.
    ReplicasRestored {
        /// Flows that were open.
        flows: Vec<FlowRecord>,
    },
}

/// A batch of flow records from the VM that forwards the flows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaBatch {
    /// Address of the sender for messages.
    pub owner: SocketAddrV4,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Increases with each batch. A resent batch keeps its number.
    pub number: u64,
    /// Changed flows.
    pub flows: Vec<FlowRecord>,
}

/// Data required to reset a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// Flow.
    pub flow: FlowId,
    /// Backend server that holds it; `None` if the flow has ended.
    pub tag: Option<Tag>,
    /// Next sequence number that the client expects.
    pub ack: u32,
}

/// Periodic message with the state of a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub vm: VmId,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Address for heartbeats and snapshot requests.
    pub address: SocketAddrV4,
    /// CPU capacity in thousandths of a core.
    pub millicores: u32,
    /// Whether the sender wants heartbeats in return.
    pub wants_reply: bool,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Whether the store answered the sender's last calls.
    pub reaches_store: bool,
    /// State of each kind, in the order of [`Kind::ALL`].
    pub kind_reports: [KindReport; Kind::ALL.len()],
    /// Time since the last store outage known to the sender.
    pub outage_age: Option<Millis>,
    /// Load of the sender's flows on the backend servers.
    pub loads: Vec<TagLoad>,
    /// Demand of the sender's clients by route.
    pub routes: Vec<RouteDemand>,
    /// The sender's handshakes with the backend servers of other data centres.
    pub paths: Vec<PathReport>,
    /// Backend servers that the sender found dead and that nothing has confirmed
    /// since.
    pub dead: Vec<Tag>,
    /// Backend servers that answer no request, as far as the sender knows.
    pub stalled: Vec<Tag>,
    /// Whether the sender reaches enough backend servers for new flows of its clients.
    /// `None` if it has not tried.
    pub reaches_backends: Option<bool>,
    /// Data centres whose clients the routers send to the sender.
    pub takeovers: Vec<DataCentreId>,
    /// Backend servers in cold start to which the recipient may send new flows.
    /// `None` unless the sender is the granter of the recipient's data centre.
    pub cold_grants: Option<ColdGrants>,
    /// Some of the VMs that the sender hears.
    pub contacts: Vec<Contact>,
}

/// Load of flows on one backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TagLoad {
    /// Backend server.
    pub tag: Tag,
    /// Number of flows, including those that are opening.
    pub flows: u32,
    /// Number of these flows whose client waits for an answer.
    pub waiting: u32,
    /// Number of these flows whose client has waited far longer than usual.
    pub stalled: u32,
    /// Whether the backend server has answered the sender recently.
    pub is_answering: bool,
    /// Service time that the sender measured.
    pub service_time: ServiceTime,
}

/// Address and selection criteria of a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Contact {
    /// Name.
    pub vm: VmId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address for heartbeats and snapshot requests.
    pub address: SocketAddrV4,
    /// CPU capacity in thousandths of a core.
    pub millicores: u32,
}

/// What the reader registers at the store for VMs that start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Contact of the reader.
    #[serde(flatten)]
    pub contact: Contact,
    /// Number of VMs that the reader knows; zero in the record of a build that did
    /// not count them.
    #[serde(default)]
    pub vms: usize,
    /// VMs that read the store at their start, besides the seeds.
    #[serde(default)]
    pub early_readers: Vec<Contact>,
}

impl Heartbeat {
    /// Returns the contact of the sender.
    pub fn contact(&self) -> Contact {
        Contact {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            millicores: self.millicores,
        }
    }
}

/// Request for a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Address of the requester for messages.
    pub requester: SocketAddrV4,
    /// Kinds to include.
    pub queries: Vec<KindQuery>,
}

impl SnapshotRequest {
    /// Returns whether the requester lacks all objects of a kind.
    pub fn is_full(&self) -> bool {
        self.queries.iter().any(|q| q.since == Position::NONE)
    }
}

impl KindQuery {
    /// Creates a query for all objects of a kind.
    pub fn full(kind: Kind) -> KindQuery {
        KindQuery {
            kind,
            since: Position::NONE,
        }
    }
}

/// Answer to a snapshot request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SnapshotAnswer {
    /// The requested objects.
    Snapshot(Snapshot),
    /// Too many full snapshots are being served.
    Referral(Referral),
}

/// Where else to request a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Referral {
    /// VMs that should have a full snapshot.
    pub holders: Vec<SocketAddrV4>,
    /// Contacts of other VMs.
    pub contacts: Vec<Contact>,
}

/// Request for the objects of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindQuery {
    /// Kind.
    pub kind: Kind,
    /// Position up to which the requester knows all changes; zero if none.
    pub since: Position,
}

/// Objects of several kinds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// One part per requested kind that the sender knows.
    pub parts: Vec<SnapshotPart>,
    /// Contacts of other VMs.
    pub contacts: Vec<Contact>,
}

/// Objects of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Kind.
    pub kind: Kind,
    /// Position and age of the objects.
    pub report: KindReport,
    /// Whether `objects` is the full list, rather than the changes since the
    /// requested position.
    pub is_full: bool,
    /// Existing objects.
    pub objects: Vec<Object>,
    /// Removed objects; empty in a full list.
    pub removed: Vec<Object>,
}
