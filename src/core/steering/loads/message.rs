//! Load sums that hubs send to other VMs.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::peers::TagLoad,
    wire, //
};
use crate::{
    core::names::{
        DataCentreId,
        Incarnation,
        ServiceId, //
    },
    kernel::clock::Millis,
};

/// Identifies a message of a hub among its other ones, so that a late one does not
/// replace a newer one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadsOrigin {
    /// Address of the hub for messages.
    pub hub: SocketAddrV4,
    /// Run of the hub.
    pub incarnation: Incarnation,
    /// Increases with each message of the run.
    pub number: u64,
}

/// Load of the whole fleet but the recipient, from a hub of its data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FleetLoads {
    /// Sender and number.
    pub origin: LoadsOrigin,
    /// Age of the oldest part of the sums.
    pub age: Millis,
    /// Sums for the backend servers of the recipient's data centre, and for others
    /// as far as there is room.
    ///
    /// Invariant: at most `MAX_ENTRIES`, in the order of their tags.
    #[serde(with = "wire::tag_loads")]
    pub backends: Vec<TagLoad>,
    /// Demand of the whole fleet, the recipient included.
    ///
    /// Invariant: in the order of service, origin and destination.
    #[serde(with = "wire::services")]
    pub services: Vec<ServiceDemand>,
    /// Demand of the whole fleet, the recipient included.
    pub routes: Vec<RouteDemand>,
    /// Data centres that cannot be reached from the recipient's.
    pub lost_paths: Vec<DataCentreId>,
}

/// Load of the VMs of one data centre, for the hubs of another one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DataCentreLoads {
    /// Sender and number.
    pub origin: LoadsOrigin,
    /// Data centre of the VMs.
    pub data_centre: DataCentreId,
    /// Sums for the backend servers of the recipient's data centre, and for others
    /// as far as there is room.
    ///
    /// Invariant: at most `MAX_ENTRIES`, in the order of their tags.
    #[serde(with = "wire::tag_loads")]
    pub backends: Vec<TagLoad>,
    /// Demand of the clients of `data_centre`.
    #[serde(with = "wire::services")]
    pub services: Vec<ServiceDemand>,
    /// Demand of the clients of `data_centre`.
    pub routes: Vec<RouteDemand>,
}

/// Demand for a service from the clients of one data centre, as far as it is
/// served in another one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Service.
    pub service: ServiceId,
    /// Data centre of the clients.
    pub origin: DataCentreId,
    /// Data centre of the backend servers.
    pub destination: DataCentreId,
    /// Requests that are outstanding.
    pub outstanding: u32,
    /// Flows, including those that are opening.
    pub flows: u32,
}

/// Demand on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteDemand {
    /// Address and port of the route.
    pub route: SocketAddrV4,
    /// Requests that are outstanding.
    pub outstanding: u32,
    /// Flows, including those that are opening.
    pub flows: u32,
    /// New flows per second. Retries of flows that a backend server has just rejected do
    /// not count.
    pub arrivals_per_s: u32,
}
