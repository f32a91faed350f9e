//! The configuration of the load balancer: the services, backend servers and
//! data centres of one generation.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::names::{
    BackendId,
    DataCentreId,
    Generation,
    ServiceId, //
};

/// The transport protocol of a service.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// TCP.
    #[display("tcp")]
    Tcp,
    /// UDP.
    #[display("udp")]
    Udp,
}

/// A service that callers reach under one address.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The unique name. HTTP requests carry it in their `Host` header.
    pub name: ServiceId,
    /// The destination address and port of the service's packets.
    pub address: SocketAddr,
    /// The transport protocol of the service's packets.
    pub protocol: Protocol,
}

/// The administrative state of a backend server.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// Takes new work.
    #[default]
    #[display("active")]
    Active,
    /// Keeps its established flows and takes no new work.
    #[display("draining")]
    Draining,
}

/// A backend server of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The unique name.
    pub name: BackendId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The data centre that hosts it.
    pub data_centre: DataCentreId,
    /// The UDP address that takes encapsulated packets.
    pub packets: SocketAddr,
    /// The HTTP address that takes requests, health and load queries.
    pub requests: SocketAddr,
    /// The number of concurrent requests that it can run when warm.
    pub slots: u32,
    /// The number of open connections that it can hold when warm.
    pub connections: u32,
    /// The state set by operators.
    #[serde(default)]
    pub state: BackendState,
}

/// The administrative state of a data centre.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DataCentreState {
    /// Takes its full share of new work.
    #[default]
    #[display("in")]
    In,
    /// Receives no packets. Flows to its backend servers are abandoned.
    #[display("out")]
    Out,
    /// Takes a share of new work that grows step by step.
    #[display("returning")]
    Returning,
}

/// A data centre with its own entry VMs and backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The unique name.
    pub name: DataCentreId,
    /// The state set by operators.
    #[serde(default)]
    pub state: DataCentreState,
    /// The share of its weight that counts for new work, in percent.
    ///
    /// Invariant: 100 when `state` is `In`, 0 when it is `Out`.
    #[serde(default = "full_share")]
    pub share: u8,
}

fn full_share() -> u8 {
    100
}

/// All objects of one generation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The generation. Zero means that no configuration is in force.
    pub generation: Generation,
    /// The services, sorted by name.
    pub services: Vec<Service>,
    /// The backend servers, sorted by name.
    pub backends: Vec<Backend>,
    /// The data centres, sorted by name.
    pub data_centres: Vec<DataCentre>,
}

impl Configuration {
    /// Returns the service called `name`.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the backend server called `name`.
    pub fn backend(&self, name: &BackendId) -> Option<&Backend> {
        self.backends.iter().find(|b| b.name == *name)
    }

    /// Returns the data centre called `name`.
    pub fn data_centre(&self, name: &DataCentreId) -> Option<&DataCentre> {
        self.data_centres.iter().find(|d| d.name == *name)
    }

    /// Returns the backend servers of `service`, whatever their state.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Backend> + 'a {
        self.backends.iter().filter(move |b| b.service == *service)
    }

    /// Returns whether the data centre of `backend` is out and receives no
    /// packets.
    pub fn is_out(&self, backend: &Backend) -> bool {
        self.data_centre(&backend.data_centre)
            .is_some_and(|d| d.state == DataCentreState::Out)
    }

    /// Returns the share of the weight of `backend` that counts for new work,
    /// in percent.
    pub fn new_work_share(&self, backend: &Backend) -> u8 {
        if backend.state == BackendState::Draining {
            return 0;
        }
        self.data_centre(&backend.data_centre)
            .map_or(0, |d| d.share)
    }
}
