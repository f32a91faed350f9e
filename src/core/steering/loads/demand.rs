//! Demand of the whole fleet by service and by route.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4, //
};

use hashbrown::HashMap;

use super::{
    super::{
        directory::Directory,
        peers::TagLoad,
        tag::Tag, //
    },
    RemoteLoads,
    message::{
        RouteDemand,
        ServiceDemand, //
    },
};
use crate::core::names::{
    DataCentreId,
    ServiceId, //
};

/// Loads and demand of this VM.
pub(super) struct OwnLoads<'a> {
    pub(super) data_centre: &'a DataCentreId,
    pub(super) loads: &'a [TagLoad],
    pub(super) routes: &'a [RouteDemand],
}

/// Demand of the clients of one data centre.
#[derive(Debug, Default)]
pub(super) struct Demand {
    pub(super) services: Vec<ServiceDemand>,
    pub(super) routes: Vec<RouteDemand>,
}

impl RemoteLoads {
    /// Counts the demand of the whole fleet.
    pub(super) fn count_demand(&mut self, own: &OwnLoads<'_>, directory: &Directory) {
        let reported = self.reports.values().map(|r| &r.data_centre);
        let mut origins: Vec<&DataCentreId> = reported.chain([own.data_centre]).collect();
        origins.sort_unstable();
        origins.dedup();
        let mut services = Vec::new();
        let mut routes = RouteSums::default();
        for origin in origins {
            if self.counts_reports_of(origin) {
                let demand = self.demand_from(origin, own, directory);
                services.extend(demand.services);
                routes.add(&demand.routes);
            }
        }
        for received in self.data_centres.values() {
            services.extend(received.loads.services.iter().cloned());
            routes.add(&received.loads.routes);
        }
        sort_services(&mut services);
        self.services = services;
        self.routes = routes.into_demand();
    }

    /// Counts the demand of the clients of a data centre by the reports of its VMs.
    pub(super) fn demand_from(
        &self,
        origin: &DataCentreId,
        own: &OwnLoads<'_>,
        directory: &Directory,
    ) -> Demand {
        let mut sums: HashMap<Tag, (u32, u32)> = HashMap::new();
        let mut routes = RouteSums::default();
        let reports = self.reports.values();
        let reports = reports.filter(|r| r.data_centre == *origin);
        let reports = reports.map(|r| (&r.loads[..], &r.routes[..]));
        let own_report = (own.data_centre == origin).then_some((own.loads, own.routes));
        for (loads, demand) in reports.chain(own_report) {
            for load in loads {
                let (waiting, flows) = sums.entry(load.tag).or_default();
                *waiting = waiting.saturating_add(load.waiting);
                *flows = flows.saturating_add(load.flows);
            }
            routes.add(demand);
        }
        Demand {
            services: by_service(origin, &sums, directory),
            routes: routes.into_demand(),
        }
    }
}

fn by_service(
    origin: &DataCentreId,
    sums: &HashMap<Tag, (u32, u32)>,
    directory: &Directory,
) -> Vec<ServiceDemand> {
    let mut demand = BTreeMap::new();
    for (tag, (waiting, flows)) in sums {
        let Some(entry) = directory.entry(*tag) else {
            continue;
        };
        let key = (&entry.server.service, &entry.server.data_centre);
        let (outstanding, total): &mut (u32, u32) = demand.entry(key).or_default();
        *outstanding = outstanding.saturating_add(*waiting);
        *total = total.saturating_add(*flows);
    }
    let row = |((service, destination), (outstanding, flows))| ServiceDemand {
        service: Clone::clone(service),
        origin: origin.clone(),
        destination: Clone::clone(destination),
        outstanding,
        flows,
    };
    demand.into_iter().map(row).collect()
}

/// Sorts demand by service, origin and destination.
pub(super) fn sort_services(services: &mut [ServiceDemand]) {
    services.sort_unstable_by(|a, b| key(a).cmp(&key(b)));
}

/// Returns the key by which demand is ordered.
pub(super) fn key(demand: &ServiceDemand) -> (&ServiceId, &DataCentreId, &DataCentreId) {
    (&demand.service, &demand.origin, &demand.destination)
}

/// Sums by route.
#[derive(Debug, Default)]
struct RouteSums(BTreeMap<SocketAddrV4, RouteDemand>);

impl RouteSums {
    fn add(&mut self, routes: &[RouteDemand]) {
        for demand in routes {
            let sum = self.0.entry(demand.route).or_insert(RouteDemand {
                route: demand.route,
                outstanding: 0,
                flows: 0,
                arrivals_per_s: 0,
            });
            sum.outstanding = sum.outstanding.saturating_add(demand.outstanding);
            sum.flows = sum.flows.saturating_add(demand.flows);
            sum.arrivals_per_s = sum.arrivals_per_s.saturating_add(demand.arrivals_per_s);
        }
    }

    fn into_demand(self) -> Vec<RouteDemand> {
        self.0.into_values().collect()
    }
}
