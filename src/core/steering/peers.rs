//! What VMs tell each other.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    packet::FlowId,
    store::{
        Kind,
        Object,
        Revision, //
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

/// What a VM knows of one kind of object.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// The version up to which all changes are known. Zero if none.
    pub revision: Revision,
    /// The version at which something changed last.
    pub changed: Revision,
    /// How long ago the store was known to have nothing newer.
    pub age: Millis,
}

/// A datagram from one VM to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What VMs tell each other a few times a second.
    Heartbeat(Heartbeat),
    /// Records of flows, for the VM that keeps replicas of them.
    Replicas(ReplicaBatch),
    /// The batch with this number was taken.
    ReplicasAcked {
        /// The VM that took it.
        holder: SocketAddrV4,
        /// The number of the batch.
        number: u64,
    },
    /// Replicas of an earlier run, for the VM that started again.
    ReplicasRestored {
        /// The flows that were open.
        flows: Vec<FlowRecord>,
    },
}

/// Records of flows that the sender carries.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaBatch {
    /// Where the sender takes messages.
    pub owner: SocketAddrV4,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Grows with each batch. A batch that is sent again keeps its number.
    pub number: u64,
    /// What has changed of its flows.
    pub flows: Vec<FlowRecord>,
}

/// What it takes to reset a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// The flow.
    pub flow: FlowId,
    /// The backend server that holds it; `None` if the flow has ended.
    pub tag: Option<Tag>,
    /// The number of the next byte that the client expects.
    pub ack: u32,
}

/// What VMs tell each other a few times a second.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes heartbeats and gives snapshots.
    pub address: SocketAddrV4,
    /// How much it can do for others, in thousandths of a core.
    pub millicores: u32,
    /// Whether it wants heartbeats back.
    pub wants_reply: bool,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// Whether the store answered its last calls.
    pub reaches_store: bool,
    /// What it knows, by the order of [`Kind::ALL`].
    pub kind_reports: [KindReport; Kind::ALL.len()],
    /// How long ago the store was last in trouble, as seen by the sender.
    pub outage_age: Option<Millis>,
    /// What its flows ask of the backend servers.
    pub loads: Vec<TagLoad>,
    /// The backend servers that it holds for dead.
    pub dead: Vec<Tag>,
    /// The data centres whose clients the routers send to the sender's.
    pub taken_over: Vec<DataCentreId>,
    /// Some of the VMs that it hears.
    pub contacts: Vec<Contact>,
}

/// What flows ask of one backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TagLoad {
    /// The backend server.
    pub tag: Tag,
    /// The open flows.
    pub flows: u32,
    /// Those whose client waits for an answer.
    pub waiting: u32,
}

/// Where a VM may be found, and what speaks for asking it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name.
    pub vm: VmId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes heartbeats and gives snapshots.
    pub address: SocketAddrV4,
    /// How much it can do for others, in thousandths of a core.
    pub millicores: u32,
}

impl Heartbeat {
    /// Where the sender may be found.
    pub fn contact(&self) -> Contact {
        Contact {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            millicores: self.millicores,
        }
    }
}

/// Asks a VM for what it knows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// What is wanted.
    pub queries: Vec<KindQuery>,
}

/// Asks for what a VM knows of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindQuery {
    /// The kind.
    pub kind: Kind,
    /// The version up to which all changes are known; zero if none.
    pub since: Revision,
}

/// What a VM knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// One part for each kind that was asked for and is known.
    pub parts: Vec<SnapshotPart>,
    /// Where other VMs may be found.
    pub contacts: Vec<Contact>,
}

/// What a VM knows of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The kind.
    pub kind: Kind,
    /// Up to which version, and how old that is.
    pub report: KindReport,
    /// Whether these are all objects of the kind, or those that changed since
    /// the version that was asked for.
    pub is_full: bool,
    /// The objects.
    pub objects: Vec<Object>,
    /// The objects that were removed, unless these are all.
    pub removed: Vec<Object>,
}
