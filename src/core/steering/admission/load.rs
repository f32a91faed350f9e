//! Measured load of a service: the input of admission control.

use smallvec::SmallVec;

use super::super::loads::message::RouteDemand;
use crate::{
    core::names::ServiceId,
    kernel::clock::Millis, //
};

/// Load of a service from all VMs.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// Service.
    pub service: ServiceId,
    /// Outstanding requests over the slots.
    pub utilization: f64,
    /// Slots of the backend servers that may get flows.
    ///
    /// Invariant: at least 1.
    pub slots: f64,
    /// Age of the oldest part of the measurement. `None` if it does not cover all
    /// VMs.
    pub age: Option<Millis>,
    /// Usual response time, if known.
    pub response_time: Option<Millis>,
    /// Routes that lead to the service.
    pub routes: SmallVec<[RouteLoad; 4]>,
}

/// Demand on a route and what its clients need.
#[derive(Clone, Copy, Debug)]
pub struct RouteLoad {
    /// Demand of all VMs.
    pub demand: RouteDemand,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Response time after which the client has given up. Zero if none is
    /// configured.
    pub timeout: Millis,
}

impl ServiceLoad {
    /// Returns whether the routes differ in priority. Only then flows are refused.
    pub fn has_priorities(&self) -> bool {
        let first = self.routes.first().map(|r| r.priority);
        self.routes.iter().any(|r| Some(r.priority) != first)
    }
}
