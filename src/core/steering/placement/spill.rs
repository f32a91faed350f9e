//! How much of a data centre's demand is served in other data centres.
//!
//! Every 500 ms the plan of a service is computed from the demand by origin, the
//! capacity of each data centre and the cost of the path. All VMs of a data centre
//! compute it from the same sums, so they agree without a message. Between two
//! computations a deterministic counter distributes new flows by the plan.
//!
//! Designed for sums that are up to 1.25 s old and for flows of any lifetime. Three
//! rules keep it from oscillating:
//!
//! - Demand is counted by origin, in busy slots and without queues, so that sending
//!   it elsewhere does not change it. It is smoothed.
//! - Load that is missing in a data centre is made up for over `CORRECTION_TIME`,
//!   which exceeds the age of the sums. The limit `MAX_GAIN` is stable even if all
//!   flows end at once.
//! - After data centre a has sent to b, b sends nothing to a for `REVERSAL_TIME`, so
//!   that VMs with sums of different age never send to each other.

use hashbrown::HashMap;

use super::{
    super::loads::message::ServiceDemand,
    spill_service::ServicePlan, //
};
use crate::{
    core::names::{
        DataCentreId,
        ServiceId, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Interval at which plans are computed: that of the sums.
const UPDATE_INTERVAL: Millis = Millis(500);

/// Age of the sums from which no plan is computed from them.
pub const MAX_AGE: Millis = Millis(1_500);

/// Age of the sums from which their plan is no longer followed. A single lost message
/// does not interrupt the plan: the next sums come 500 ms later.
pub const MAX_PLAN_AGE: Millis = Millis(2_000);

/// Capacity of a service in one data centre.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Slots of the backend servers that take new flows.
    pub slots: u32,
    /// Mean speed of these slots relative to the service's mean, above zero.
    pub speed: f64,
    /// Additional delay from this VM's data centre, in both directions. `None` if
    /// it is not known.
    pub extra_delay: Option<Millis>,
    /// Whether it cannot be reached from this VM's data centre.
    pub is_lost: bool,
}

/// What the plan of a service is computed from.
#[derive(Clone, Copy, Debug)]
pub struct SpillInputs<'a> {
    /// Data centre of this VM and its clients.
    pub me: &'a DataCentreId,
    /// Service.
    pub service: &'a ServiceId,
    /// Capacity of the service.
    ///
    /// Invariant: ordered by data centre, each at most once.
    pub capacity: &'a [Capacity],
    /// Demand by origin and destination; that for other services is ignored.
    pub demand: &'a [ServiceDemand],
    /// Age of the demand.
    pub age: Millis,
    /// Time for one request without waiting.
    pub service_time: Millis,
    /// Flows of this VM to the service.
    pub own_flows: u32,
    /// Additional time that a client should wait rather than have a request cross
    /// between data centres.
    pub cost: Millis,
}

impl<'a> SpillInputs<'a> {
    /// Returns the capacity in a data centre; `None` without any.
    pub(super) fn capacity_of(&self, data_centre: &DataCentreId) -> Option<&'a Capacity> {
        let mut capacity = self.capacity.iter();
        capacity.find(|c| c.data_centre == *data_centre)
    }
}

/// A change of the share that leaves this VM's data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillChange {
    /// Share that was reported before.
    pub before: f64,
    /// Share of the demand that other data centres should serve.
    pub share: f64,
    /// Load of the data centre's clients, smoothed, in busy slots of mean speed.
    pub demand: f64,
    /// Slots of the data centre, in the same unit.
    pub slots: f64,
}

/// Plans of all services.
#[derive(Debug, Default)]
pub struct SpillPlan {
    /// When the plans are computed again.
    next_update: Time,
    services: HashMap<ServiceId, ServicePlan>,
}

impl SpillPlan {
    /// Returns whether the plans should be computed, and schedules the next time.
    pub fn is_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_update;
        if is_due {
            self.next_update = now + UPDATE_INTERVAL;
        }
        is_due
    }

    /// Computes the plan of a service. Returns the change of the share that leaves
    /// this VM's data centre if it should be reported.
    ///
    /// Does nothing if the demand is too old or no data centre has capacity.
    pub fn compute(&mut self, inputs: &SpillInputs, now: Time) -> Option<SpillChange> {
        let has_slots = inputs.capacity.iter().any(|c| c.slots > 0 && !c.is_lost);
        if inputs.age >= MAX_AGE || !has_slots {
            return None;
        }
        let plan = self.services.entry(inputs.service.clone()).or_default();
        plan.compute(inputs, now);
        plan.take_change(now)
    }

    /// Returns the data centre that should get the next new flow of a service, and
    /// counts that flow. `None` if there is no plan from sums that are young enough.
    pub fn next_data_centre(&mut self, service: &ServiceId, now: Time) -> Option<DataCentreId> {
        let plan = self.services.get_mut(service)?;
        plan.opened += 1;
        if !plan.is_valid(now) {
            return None;
        }
        plan.next()
    }

    /// Iterates over the services with a valid plan and the share of their demand
    /// that should leave this VM's data centre, in arbitrary order.
    pub fn shares(&self, now: Time) -> impl Iterator<Item = (&ServiceId, f64)> {
        let valid = self.services.iter().filter(move |(_, p)| p.is_valid(now));
        valid.map(|(service, plan)| (service, plan.share()))
    }
}
