//! Computation of the spill plans from the state of a VM.

use std::collections::BTreeMap;

use super::{
    super::{
        Steering,
        decision::Decision,
        directory::Fitness,
        directory_entry::Entry,
        failure_detector::HealthState,
        tag::Tag, //
    },
    spill::{
        Capacity,
        SpillInputs, //
    },
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

/// Service time while none is measured, in the range of the services that this
/// was designed for (40 to 60 ms).
const DEFAULT_SERVICE_TIME: Millis = Millis(50);

/// Slots of a service in one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    count: u32,
    /// Sum of their speeds relative to the median of the service.
    speed: f64,
}

impl Slots {
    fn mean_speed(&self) -> f64 {
        match self.count {
            0 => 1.0,
            count => self.speed / f64::from(count),
        }
    }
}

/// Settings of the placement of new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlacementOptions {
    /// Additional time that a client should wait rather than have a request cross
    /// between data centres. `None` if flows leave by the ratio of loads only.
    pub cross_data_centre: Option<Millis>,
    /// Whether new flows of less urgent routes are refused while a service has too
    /// little capacity.
    pub refuses_by_priority: bool,
}

impl Steering {
    /// Sets the options for the placement of new flows.
    pub fn set_placement_options(&mut self, options: PlacementOptions) {
        self.placement_options = options;
    }

    /// Returns the share of the demand of each service that should be served in
    /// other data centres, ordered by service. Empty without a plan in force.
    pub fn spill_shares(&self, now: Time) -> Vec<(ServiceId, f64)> {
        let shares = self.spill.shares(now);
        let mut shares: Vec<_> = shares.map(|(s, share)| (s.clone(), share)).collect();
        shares.sort_by(|a, b| a.0.cmp(&b.0));
        shares
    }

    /// Computes the spill plans from the demand of all VMs, if that is due.
    pub(in super::super) fn update_spill(&mut self, now: Time) {
        let Some(cost) = self.placement_options.cross_data_centre else {
            return;
        };
        let Some(age) = self
            .remote_loads
            .age(now)
            .filter(|_| self.spill.is_due(now))
        else {
            return;
        };
        let services = self.routing.configuration().services.iter();
        let services: Vec<ServiceId> = services.map(|s| s.name.clone()).collect();
        for service in services {
            let pool = self.directory.pool(&service);
            let service_time = self.capability.median(pool);
            let inputs = SpillInputs {
                me: &self.me.data_centre,
                service: &service,
                capacity: &self.capacity(&service, now),
                demand: self.remote_loads.demand(&service),
                age,
                service_time: service_time.unwrap_or(DEFAULT_SERVICE_TIME),
                own_flows: self.own_flows(&service),
                cost,
            };
            if let Some(change) = self.spill.compute(&inputs, now) {
                self.decisions.push(Decision::SpillChanged {
                    service,
                    change,
                    age,
                });
            }
        }
    }

    /// Returns the capacity of a service in each data centre with backend servers.
    fn capacity(&self, service: &ServiceId, now: Time) -> Vec<Capacity> {
        let mut slots: BTreeMap<&DataCentreId, Slots> = BTreeMap::new();
        for tag in self.directory.pool(service) {
            let Some(entry) = self.directory.entry(*tag) else {
                continue;
            };
            let sum = slots.entry(&entry.server.data_centre).or_default();
            if self.takes_new_flows(*tag, entry, now) {
                sum.count += entry.server.slots;
                sum.speed += f64::from(entry.server.slots) / self.capability.factor(*tag);
            }
        }
        let capacity = |(data_centre, slots): (&DataCentreId, Slots)| Capacity {
            data_centre: data_centre.clone(),
            slots: slots.count,
            speed: slots.mean_speed(),
            extra_delay: self.paths.extra_delay(data_centre),
            is_lost: self.paths.is_lost(data_centre, now),
        };
        slots.into_iter().map(capacity).collect()
    }

    fn takes_new_flows(&self, tag: Tag, entry: &Entry, now: Time) -> bool {
        let is_ready = self.directory.fitness(entry, now) == Fitness::Ready;
        is_ready && self.detector.health(tag) == HealthState::Healthy
    }

    fn own_flows(&self, service: &ServiceId) -> u32 {
        let pool = self.directory.pool(service).iter();
        pool.map(|tag| self.flows.load(*tag).flows).sum()
    }
}
