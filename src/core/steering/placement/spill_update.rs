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

/// Speed of a data centre's slots relative to the service's mean while none is
/// measured.
const DEFAULT_SPEED: f64 = 1.0;

/// Settings of the placement of new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlacementOptions {
    /// Additional time that a client should wait rather than have a request cross
    /// between data centres. `None` if flows leave by the ratio of loads only.
    pub cross_data_centre: Option<Millis>,
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
            let inputs = SpillInputs {
                me: &self.me.data_centre,
                service: &service,
                capacity: &self.capacity(&service, now),
                demand: self.remote_loads.demand(&service),
                age,
                service_time: DEFAULT_SERVICE_TIME,
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
        let lost_paths = self.remote_loads.lost_paths();
        let mut slots: BTreeMap<&DataCentreId, u32> = BTreeMap::new();
        for tag in self.directory.pool(service) {
            let Some(entry) = self.directory.entry(*tag) else {
                continue;
            };
            let sum = slots.entry(&entry.server.data_centre).or_default();
            if self.takes_new_flows(*tag, entry, now) {
                *sum += entry.server.slots;
            }
        }
        let capacity = |(data_centre, slots): (&DataCentreId, u32)| Capacity {
            data_centre: data_centre.clone(),
            slots,
            speed: DEFAULT_SPEED,
            extra_delay: None,
            is_lost: lost_paths.contains(data_centre),
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
