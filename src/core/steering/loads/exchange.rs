//! Receipt of load sums, and when this VM sends them itself.

use super::{
    super::{
        Steering,
        peers::TagLoad, //
    },
    Scope,
    demand::OwnLoads,
    message::{
        DataCentreLoads,
        FleetLoads, //
    },
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::Time, //
};

impl Steering {
    /// Returns the load on each backend server from all VMs.
    pub fn remote_loads(&self) -> &super::RemoteLoads {
        &self.remote_loads
    }

    /// Processes the load sums of a hub of this data centre.
    pub(in super::super) fn on_fleet_loads(&mut self, loads: FleetLoads, now: Time) {
        if !self.peers.is_local(loads.origin.hub) {
            return;
        }
        let lost_paths = loads.lost_paths.clone();
        if self.remote_loads.record_fleet(loads, now) {
            self.paths.record_verdicts(&lost_paths, now);
            self.load_sender.record_other(now);
        }
    }

    /// Processes the load sums of another data centre.
    pub(in super::super) fn on_data_centre_loads(&mut self, loads: DataCentreLoads, now: Time) {
        if loads.data_centre != self.me.data_centre {
            self.remote_loads.record_data_centre(loads, now);
        }
    }

    /// Counts the loads and sends them if that is due.
    pub(in super::super) fn update_loads(&mut self, now: Time) {
        if self.route_arrivals.is_due(now) {
            self.flows.update_outstanding(now);
            self.route_arrivals.update(self.flows.routes(now), now);
        }
        self.remote_loads.expire(now);
        self.load_sender.observe(self.peers.is_hub(), now);
        self.remote_loads.scope = self.load_scope(now);
        if self.load_sender.is_count_due(now) {
            self.count_demand(now);
        }
        if self.sends_loads(now) && self.load_sender.is_due(now) {
            self.send_loads(now);
        }
    }

    fn load_scope(&self, now: Time) -> Scope {
        if self.peers.is_full_mesh() {
            return Scope::FullMesh;
        }
        // Not all VMs report to a new hub yet.
        let is_complete = self.load_sender.is_settled(now) || self.remote_loads.fleet.is_none();
        match self.peers.is_hub() && is_complete {
            true => Scope::Hub,
            false => Scope::Member,
        }
    }

    fn count_demand(&mut self, now: Time) {
        if self.remote_loads.scope == Scope::Member {
            return;
        }
        let loads = self.own_loads(now);
        let own = OwnLoads {
            data_centre: &self.me.data_centre,
            loads: &loads,
            routes: self.route_arrivals.demand(),
        };
        self.remote_loads.count_demand(&own, &self.directory);
    }

    /// Returns whether this VM sends sums: as the first hub, or as long as no other
    /// hub is heard to send them.
    pub(in super::super) fn sends_loads(&self, now: Time) -> bool {
        if self.remote_loads.scope != Scope::Hub {
            return false;
        }
        let is_first = self.peers.is_first_hub(now);
        if is_first && self.load_sender.is_settled(now) {
            return true;
        }
        // A hub that hears no VM of its data centre is more likely cut off than alone.
        let may_send = is_first || self.peers.live_local(now).next().is_some();
        may_send && !self.load_sender.hears_other(now)
    }

    /// Returns whether a heartbeat to a VM lists the loads. In a large fleet, those
    /// of a hub are part of the sums, and its heartbeats go to all VMs of its data
    /// centre.
    pub(in super::super) fn reports_loads_to(&self, to: std::net::SocketAddrV4) -> bool {
        let is_other_hub = self.peers.is_neighbour(to) && self.peers.is_local(to);
        !self.remote_loads.are_shared() || !self.peers.is_hub() || is_other_hub
    }

    /// Returns the loads for the VM at `to`.
    pub(in super::super) fn loads_for(
        &self,
        to: std::net::SocketAddrV4,
        now: Time,
    ) -> Vec<TagLoad> {
        match self.reports_loads_to(to) {
            true => self.own_loads(now),
            false => Vec::new(),
        }
    }

    /// Returns the data centres that cannot be reached from this one.
    pub(super) fn lost_paths(&self, now: Time) -> Vec<DataCentreId> {
        self.paths.lost_to_all(now)
    }
}
