//! Messages between the flow state machines of VMs.

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

/// The hash of a flow, eight bytes on the wire.
pub type FlowBytes = [u8; 8];

/// A backend server that flows may live on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Its name.
    pub name: BackendId,
    /// Its address for packets.
    pub address: SocketAddr,
}

/// The buckets of a service whose flows may live on other backend servers
/// than the base.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// The service.
    pub service: ServiceId,
    /// All buckets that have ever differed from the base.
    pub changed: BucketSet,
    /// The backend servers of the service.
    pub targets: Vec<TargetInfo>,
}

/// What a VM that has just joined needs to know about a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// The changed buckets and the backend servers.
    pub change: ServiceChange,
    /// For each bucket the backend server on which unregistered flows live,
    /// as an index into the change's targets.
    pub base: Vec<u16>,
    /// The generation that the base was computed from.
    pub origin: Generation,
}

/// Flows that live on one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pins {
    /// The service.
    pub service: ServiceId,
    /// The backend server.
    pub backend: BackendId,
    /// The flows.
    pub flows: Vec<FlowBytes>,
}

/// A message about flows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Announces changed buckets before new flows use them.
    Prepare {
        /// Identifies the announcement at its sender.
        number: u64,
        /// The changed services.
        services: Vec<ServiceChange>,
    },
    /// The sender treats the announced buckets as changed.
    Prepared {
        /// The announcement.
        number: u64,
    },
    /// Asks for the history of all services.
    HistoryWanted {
        /// Identifies the question at its sender.
        number: u64,
    },
    /// Answers with the histories of all services that the sender is sure of.
    History {
        /// The question.
        number: u64,
        /// The histories.
        services: Vec<ServiceHistory>,
    },
    /// The VMs that are alive in the sender's view, itself included, sorted.
    Reach(Vec<VmTag>),
    /// The sender had lost sight of the receiver, which may have missed pins.
    LostSight,
    /// Answers where relayed packets went.
    Answers(Vec<Pins>),
    /// Asks for the pins of buckets that the sender has become a home of.
    PinsWanted {
        /// Identifies the question at its sender.
        number: u32,
        /// The service.
        service: ServiceId,
        /// The buckets.
        buckets: BucketSet,
    },
    /// A part of the answer to [`FlowMessage::PinsWanted`].
    PinsPart {
        /// The question.
        number: u32,
        /// Counts the parts of the answer.
        part: u32,
        /// Some of the pins.
        pins: Vec<Pins>,
        /// Set in the last part: the asked buckets all of whose pins the
        /// sender has.
        complete: Option<BucketSet>,
    },
}
