//! Messages that VMs exchange about flows.
//!
//! They are encoded with postcard, so the order of fields and variants is part
//! of the wire format.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    flow::{
        buckets::BucketSet,
        relay::VmTag, //
    },
    names::{
        BackendId,
        Generation,
        ServiceId, //
    },
};

/// A flow hash in big-endian order. As an array it takes eight bytes on the
/// wire, without a variable-length encoding.
pub type FlowBytes = [u8; 8];

/// A backend server that flows may be assigned to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Name of the backend server.
    pub name: BackendId,
    /// Destination address of forwarded packets.
    pub address: SocketAddr,
}

/// The buckets of a service in which flows may be assigned to other backend
/// servers than the base table says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// Name of the service.
    pub service: ServiceId,
    /// All buckets that have ever differed from the base table.
    pub changed: BucketSet,
    /// All backend servers that flows of the service may be assigned to.
    pub targets: Vec<TargetInfo>,
}

/// The flow placement state of a service, for a VM that has joined or resumed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// The changed buckets and the backend servers.
    pub change: ServiceChange,
    /// The backend server of unpinned flows for each bucket, as an index into
    /// the targets of `change`.
    pub base: Vec<u16>,
    /// The configuration generation that `base` was computed from.
    pub base_generation: Generation,
}

/// Flows that are assigned to the same backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pins {
    /// Name of the service.
    pub service: ServiceId,
    /// Name of the backend server.
    pub backend: BackendId,
    /// Hashes of the flows.
    pub flows: Vec<FlowBytes>,
}

/// A message about the placement of flows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Proposes changed buckets before new flows use them.
    Prepare {
        /// Identifies the proposal at its sender.
        proposal_id: u64,
        /// The changed services.
        services: Vec<ServiceChange>,
    },
    /// Confirms that the sender has marked the proposed buckets as changed.
    Prepared {
        /// The `proposal_id` of the confirmed proposal.
        proposal_id: u64,
    },
    /// Requests the histories of all services.
    HistoryRequest {
        /// Identifies the request at its sender.
        request_id: u64,
    },
    /// Replies to [`FlowMessage::HistoryRequest`] with the histories that the
    /// sender knows.
    History {
        /// The `request_id` of the request.
        request_id: u64,
        /// The known histories, one for each service.
        services: Vec<ServiceHistory>,
    },
    /// Sorted tags of the VMs that are alive in the sender's view, itself
    /// included.
    AliveVms(Vec<VmTag>),
    /// Tells the receiver that the sender had lost contact with it, so that it
    /// may have missed pinned flows.
    ContactLost,
    /// The backend servers of flows whose packets the receiver had relayed.
    Answers(Vec<Pins>),
    /// Requests the pinned flows of buckets that the sender has become a home
    /// of.
    PinsRequest {
        /// Identifies the request at its sender.
        request_id: u32,
        /// Name of the service.
        service: ServiceId,
        /// The buckets whose pinned flows are missing.
        buckets: BucketSet,
    },
    /// One part of the reply to [`FlowMessage::PinsRequest`].
    PinsPart {
        /// The `request_id` of the request.
        request_id: u32,
        /// Zero-based sequence number of the part.
        part: u32,
        /// Some of the pinned flows.
        pins: Vec<Pins>,
        /// Set only in the last part: those of the requested buckets for which
        /// the sender has all pinned flows.
        complete: Option<BucketSet>,
    },
}
