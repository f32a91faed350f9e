//! Load on the backend servers from all VMs.
//!
//! In a full mesh, a VM sums the heartbeats of the others. In a larger fleet, the
//! hubs of each data centre do so, exchange their sums with the hubs of the other
//! data centres, and send each VM the sum over all VMs but itself. Designed for 300
//! VMs in 5 data centres with 600 backend servers.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4, //
};

mod arrivals;
mod demand;
mod exchange;
pub mod message;
mod origins;
mod report;
mod sending;
mod sum;
mod wire;

pub use arrivals::RouteArrivals;
pub use report::Report;
pub use sending::LoadSender;
pub use sum::RemoteLoad;

use message::{
    DataCentreLoads,
    FleetLoads,
    RouteDemand,
    ServiceDemand, //
};
use origins::Origins;
use sum::{
    LoadSums,
    add_loads,
    subtract_loads, //
};

use super::{
    exchange::TRANSIT_TIME,
    known_peer::HEARTBEAT_INTERVAL,
    tag::Tag, //
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

/// How long the sums of a hub are used without renewal.
const LOADS_LIFETIME: Millis = Millis(1_500);

/// Where a VM gets the loads from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scope {
    /// The heartbeats of all other VMs.
    #[default]
    FullMesh,
    /// The heartbeats of its own data centre and the hubs of the others.
    Hub,
    /// A hub of its data centre.
    Member,
}

/// A message of a hub and when it arrived.
#[derive(Debug)]
struct Received<T> {
    loads: T,
    arrived: Time,
}

/// Load on each backend server from the flows of other VMs.
#[derive(Debug, Default)]
pub struct RemoteLoads {
    scope: Scope,
    /// Last report of each VM that is heard.
    reports: BTreeMap<SocketAddrV4, Report>,
    /// Loads of other data centres.
    data_centres: BTreeMap<DataCentreId, Received<DataCentreLoads>>,
    /// Sum of the reports and of `data_centres`.
    ///
    /// Invariant: the reports of a data centre count unless it is in
    /// `data_centres`.
    sums: LoadSums,
    /// Last message of a hub, without its `backends`.
    fleet: Option<Received<FleetLoads>>,
    /// Sums of `fleet`.
    fleet_sums: LoadSums,
    /// Demand by the reports, `data_centres` and this VM's flows. Unused while
    /// `fleet` is in use.
    services: Vec<ServiceDemand>,
    /// Like `services`.
    routes: Vec<RouteDemand>,
    origins: Origins,
}

impl RemoteLoads {
    /// Returns the total load from the other VMs.
    pub fn load(&self, tag: Tag) -> RemoteLoad {
        let sum = self.used_sums().get(&tag);
        sum.map(|s| s.remote_load()).unwrap_or_default()
    }

    /// Iterates over the backend servers with stalled flows.
    pub fn stalled(&self) -> impl Iterator<Item = Tag> {
        let stalled = self.used_sums().iter().filter(|(_, s)| s.stalled() > 0);
        stalled.map(|(tag, _)| *tag)
    }

    /// Returns the demand for a service from all VMs, this one included, in the
    /// order of origin and destination.
    pub fn demand(&self, service: &ServiceId) -> &[ServiceDemand] {
        let all = self.demands();
        let start = all.partition_point(|d| d.service < *service);
        let end = all.partition_point(|d| d.service <= *service);
        all.get(start..end).unwrap_or(&[])
    }

    /// Returns the demand for all services from all VMs, this one included, in the
    /// order of service, origin and destination. Empty if it is unknown.
    pub fn demands(&self) -> &[ServiceDemand] {
        match (&self.fleet, self.scope) {
            (Some(fleet), Scope::Member) => &fleet.loads.services,
            (None, Scope::Member) => &[],
            _ => &self.services,
        }
    }

    /// Returns the demand on all routes from all VMs, this one included, in the
    /// order of their addresses. Empty if it is unknown.
    pub fn routes(&self) -> &[RouteDemand] {
        match (&self.fleet, self.scope) {
            (Some(fleet), Scope::Member) => &fleet.loads.routes,
            (None, Scope::Member) => &[],
            _ => &self.routes,
        }
    }

    /// Returns the data centres that a hub of this data centre found unreachable.
    pub fn lost_paths(&self) -> &[DataCentreId] {
        self.fleet.as_ref().map_or(&[], |f| &f.loads.lost_paths)
    }

    /// Returns the age of the oldest part of the sums. `None` if they do not cover
    /// the fleet, because no hub sends them.
    pub fn age(&self, now: Time) -> Option<Millis> {
        match (&self.fleet, self.scope) {
            (Some(fleet), Scope::Member) => {
                Some(now.since(fleet.arrived) + fleet.loads.age + TRANSIT_TIME)
            }
            (None, Scope::Member) => None,
            _ => Some(self.age_of_sums(now)),
        }
    }

    /// Returns whether the fleet is too large for a full mesh, so that many VMs
    /// decide by the same sums.
    pub fn are_shared(&self) -> bool {
        self.scope != Scope::FullMesh
    }

    /// Records the report of a VM and replaces its previous one.
    pub fn record(&mut self, address: SocketAddrV4, report: Report) {
        if self.counts_reports_of(&report.data_centre) {
            add_loads(&mut self.sums, &report.loads);
        }
        if let Some(before) = self.reports.insert(address, report) {
            self.subtract_report(&before);
        }
    }

    /// Removes the report of a VM that is no longer heard.
    pub fn remove(&mut self, address: SocketAddrV4) {
        if let Some(before) = self.reports.remove(&address) {
            self.subtract_report(&before);
        }
    }

    fn subtract_report(&mut self, report: &Report) {
        if self.counts_reports_of(&report.data_centre) {
            subtract_loads(&mut self.sums, &report.loads);
        }
    }

    fn counts_reports_of(&self, data_centre: &DataCentreId) -> bool {
        !self.data_centres.contains_key(data_centre)
    }

    fn used_sums(&self) -> &LoadSums {
        match (&self.fleet, self.scope) {
            (Some(_), Scope::Member) => &self.fleet_sums,
            _ => &self.sums,
        }
    }

    fn age_of_sums(&self, now: Time) -> Millis {
        let counted = self.reports.values();
        let counted = counted.filter(|r| self.counts_reports_of(&r.data_centre));
        let reports = counted.map(|r| now.since(r.heard) + TRANSIT_TIME);
        let received = self.data_centres.values();
        // The reports in them were up to a heartbeat interval old.
        let received = received.map(|r| now.since(r.arrived) + HEARTBEAT_INTERVAL + TRANSIT_TIME);
        reports.chain(received).max().unwrap_or_default()
    }

    /// Drops what was not renewed.
    fn expire(&mut self, now: Time) {
        self.origins.sweep(now);
        let is_expired = |arrived: Time| now.since(arrived) >= LOADS_LIFETIME;
        if self.fleet.as_ref().is_some_and(|f| is_expired(f.arrived)) {
            self.fleet = None;
            self.fleet_sums.clear();
        }
        let expired = self.data_centres.iter();
        let expired = expired.filter(|(_, r)| is_expired(r.arrived));
        let expired: Vec<DataCentreId> = expired.map(|(id, _)| id.clone()).collect();
        for data_centre in &expired {
            self.drop_data_centre(data_centre);
        }
    }

    /// Records the sums of a hub unless they are late. Returns whether they count.
    fn record_fleet(&mut self, mut loads: FleetLoads, now: Time) -> bool {
        if !self.origins.admit(&loads.origin, now) {
            return false;
        }
        self.fleet_sums.clear();
        add_loads(&mut self.fleet_sums, &loads.backends);
        loads.backends = Vec::new();
        demand::sort_services(&mut loads.services);
        let arrived = now;
        self.fleet = Some(Received { loads, arrived });
        true
    }

    /// Records the loads of another data centre unless they are late.
    fn record_data_centre(&mut self, loads: DataCentreLoads, now: Time) {
        if !self.origins.admit(&loads.origin, now) {
            return;
        }
        self.drop_data_centre(&loads.data_centre);
        for report in self.reports.values() {
            if report.data_centre == loads.data_centre {
                subtract_loads(&mut self.sums, &report.loads);
            }
        }
        add_loads(&mut self.sums, &loads.backends);
        let data_centre = loads.data_centre.clone();
        let arrived = now;
        let received = Received { loads, arrived };
        self.data_centres.insert(data_centre, received);
    }

    fn drop_data_centre(&mut self, data_centre: &DataCentreId) {
        let Some(received) = self.data_centres.remove(data_centre) else {
            return;
        };
        subtract_loads(&mut self.sums, &received.loads.backends);
        for report in self.reports.values() {
            if report.data_centre == *data_centre {
                add_loads(&mut self.sums, &report.loads);
            }
        }
    }
}
