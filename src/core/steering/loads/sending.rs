//! Sending of load sums by the hub of a data centre.

use std::{
    cmp::Reverse,
    net::SocketAddrV4, //
};

use super::{
    super::{
        Action, Steering,
        known_peer::LOST_AFTER,
        peers::{
            PeerMessage,
            TagLoad, //
        },
        tag::Tag,
    },
    RemoteLoads,
    demand::OwnLoads,
    message::{
        DataCentreLoads,
        FleetLoads,
        LoadsOrigin,
        RouteDemand,
        ServiceDemand, //
    },
    sum::{
        LoadSum,
        LoadSums,
        add_loads, //
    },
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Interval between two messages to the same VM. With 500 ms, reports that are 250 ms
/// old when they are summed would be older than 0.75 s at the end of an interval.
const SEND_INTERVAL: Millis = Millis(450);

/// Interval between two counts of the demand.
const COUNT_INTERVAL: Millis = Millis(250);

/// Maximum number of backend servers in a message.
pub const MAX_ENTRIES: usize = 160;

/// Entries that a hub sends in an interval to the VMs of its data centre. An entry
/// takes 9 bytes; the limit of a VM is 250 KB/s with heartbeats and demand.
const ENTRIES_PER_INTERVAL: usize = 7_200;

/// Maximum number of rows of demand by service in a message.
const MAX_SERVICE_ROWS: usize = 128;

/// Such rows that a hub sends in an interval to the VMs of its data centre.
const SERVICE_ROWS_PER_INTERVAL: usize = 3_000;

/// Maximum number of routes in a message.
const MAX_ROUTE_ROWS: usize = 64;

/// Until then, not all VMs may report to a hub that started or froze: they avoid one
/// that was silent for `LOST_AFTER` and 3 s more.
const SETTLING_TIME: Millis = Millis(4_000);

/// A hub that has sent no sums for this long has stopped: more than one and a half intervals.
const OTHER_TIMEOUT: Millis = Millis(750);

/// When this VM sends sums.
#[derive(Debug, Default)]
pub struct LoadSender {
    next_count: Time,
    next_send: Time,
    /// Number of the last message.
    number: u64,
    was_hub: bool,
    last_tick: Option<Time>,
    /// Since when this VM is a hub without interruption.
    settling_since: Time,
    /// When another hub of this data centre last sent sums.
    other_sent: Option<Time>,
}

impl LoadSender {
    /// Records the role of this VM, and a suspension since the last call.
    pub(super) fn observe(&mut self, is_hub: bool, now: Time) {
        let last = self.last_tick.replace(now);
        let was_suspended = last.is_none_or(|at| now.since(at) >= LOST_AFTER);
        if was_suspended || (is_hub && !self.was_hub) {
            self.settling_since = now;
        }
        self.was_hub = is_hub;
    }

    pub(super) fn record_other(&mut self, now: Time) {
        self.other_sent = Some(now);
    }

    pub(super) fn is_settled(&self, now: Time) -> bool {
        now.since(self.settling_since) >= SETTLING_TIME
    }

    /// Returns whether another hub sends sums, or may do so and was not heard yet.
    pub(super) fn hears_other(&self, now: Time) -> bool {
        let since = self.other_sent.max(Some(self.settling_since));
        since.is_some_and(|at| now.since(at) < OTHER_TIMEOUT)
    }

    pub(super) fn is_count_due(&mut self, now: Time) -> bool {
        is_due(&mut self.next_count, COUNT_INTERVAL, now)
    }

    pub(super) fn is_due(&mut self, now: Time) -> bool {
        is_due(&mut self.next_send, SEND_INTERVAL, now)
    }
}

fn is_due(next: &mut Time, interval: Millis, now: Time) -> bool {
    let is_due = now >= *next;
    if is_due {
        *next = now + interval;
    }
    is_due
}

impl Steering {
    /// Sends the sums to the VMs of this data centre and the hubs of the others.
    pub(in super::super) fn send_loads(&mut self, now: Time) {
        let own = self.own_loads(now);
        self.send_to_members(&own, now);
        self.send_to_data_centres(&own, now);
    }

    fn send_to_members(&mut self, own: &[TagLoad], now: Time) {
        let members = self.peers.live_local(now);
        let mut members: Vec<SocketAddrV4> = members.map(|m| m.heartbeat.address).collect();
        members.sort_unstable();
        let limit = MAX_ENTRIES.min(ENTRIES_PER_INTERVAL / members.len().max(1));
        let max_rows = MAX_SERVICE_ROWS.min(SERVICE_ROWS_PER_INTERVAL / members.len().max(1));
        let mut sums = self.remote_loads.sums.clone();
        add_loads(&mut sums, own);
        let entries = self.select_entries(sums, &self.me.data_centre, limit);
        let age = self.remote_loads.age_of_sums(now);
        let services = largest_services(&self.remote_loads.services, max_rows);
        let routes = largest_routes(&self.remote_loads.routes);
        let lost_paths = self.lost_paths(now);
        for to in members {
            let loads = FleetLoads {
                origin: self.next_origin(),
                age,
                backends: self.remote_loads.without(to, &entries),
                services: services.clone(),
                routes: routes.clone(),
                lost_paths: lost_paths.clone(),
            };
            let msg = PeerMessage::FleetLoads(loads);
            self.actions.push(Action::Send { to, msg });
        }
    }

    fn send_to_data_centres(&mut self, own: &[TagLoad], now: Time) {
        let own_loads = OwnLoads {
            data_centre: &self.me.data_centre,
            loads: own,
            routes: self.route_arrivals.demand(),
        };
        let demand =
            self.remote_loads
                .demand_from(&self.me.data_centre, &own_loads, &self.directory);
        let services = largest_services(&demand.services, MAX_SERVICE_ROWS);
        let routes = largest_routes(&demand.routes);
        let sums = self.remote_loads.sums_of(&self.me.data_centre, own);
        for (data_centre, hubs) in self.peers.hubs(now) {
            if data_centre == self.me.data_centre {
                continue;
            }
            let entries = self.select_entries(sums.clone(), &data_centre, MAX_ENTRIES);
            let entries = entries.iter().map(|(tag, sum)| sum.tag_load(*tag));
            let backends: Vec<TagLoad> = entries.collect();
            for to in hubs {
                let loads = DataCentreLoads {
                    origin: self.next_origin(),
                    data_centre: self.me.data_centre.clone(),
                    backends: backends.clone(),
                    services: services.clone(),
                    routes: routes.clone(),
                };
                let msg = PeerMessage::DataCentreLoads(loads);
                self.actions.push(Action::Send { to, msg });
            }
        }
    }

    fn next_origin(&mut self) -> LoadsOrigin {
        self.load_sender.number += 1;
        LoadsOrigin {
            hub: self.me.address,
            incarnation: self.me.incarnation,
            number: self.load_sender.number,
        }
    }

    /// Selects the entries of a message in the order of their tags: first the backend
    /// servers of the recipient's data centre, then those of this one, then others.
    /// Within each, the most loaded come first, so that those left out are not
    /// mistaken for less loaded ones than they are.
    fn select_entries(
        &self,
        sums: LoadSums,
        recipient: &DataCentreId,
        limit: usize,
    ) -> Vec<(Tag, LoadSum)> {
        let rank = |tag: Tag, sum: &LoadSum| {
            let data_centre = &self.directory.entry(tag)?.server.data_centre;
            let is_other = data_centre != recipient;
            let is_third = is_other && *data_centre != self.me.data_centre;
            Some((is_other, is_third, Reverse(sum.flows), tag))
        };
        let ranked = sums.into_iter();
        let ranked = ranked.filter_map(|(tag, sum)| Some((rank(tag, &sum)?, sum)));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.truncate(limit);
        let entries = ranked.into_iter().map(|((.., tag), sum)| (tag, sum));
        let mut entries: Vec<(Tag, LoadSum)> = entries.collect();
        entries.sort_unstable_by_key(|(tag, _)| *tag);
        entries
    }
}

impl RemoteLoads {
    /// Returns the entries without what the VM at `to` reported itself.
    fn without(&self, to: SocketAddrV4, entries: &[(Tag, LoadSum)]) -> Vec<TagLoad> {
        let mut own = LoadSums::new();
        let report = self.reports.get(&to);
        add_loads(&mut own, report.map_or(&[], |r| &r.loads));
        let mut loads = Vec::with_capacity(entries.len());
        for (tag, sum) in entries {
            let mut sum = *sum;
            if let Some(own) = own.get(tag) {
                sum.subtract(own);
            }
            if !sum.is_empty() {
                loads.push(sum.tag_load(*tag));
            }
        }
        loads
    }

    /// Returns the sums over the VMs of one data centre, with the loads `own`.
    fn sums_of(&self, data_centre: &DataCentreId, own: &[TagLoad]) -> LoadSums {
        let mut sums = LoadSums::new();
        add_loads(&mut sums, own);
        for report in self.reports.values() {
            if report.data_centre == *data_centre {
                add_loads(&mut sums, &report.loads);
            }
        }
        sums
    }
}

/// Returns the rows with the most flows, in the same order as before.
fn largest_services(rows: &[ServiceDemand], count: usize) -> Vec<ServiceDemand> {
    let mut flows: Vec<u32> = rows.iter().map(|r| r.flows).collect();
    let least = least_of_largest(&mut flows, count);
    let rows = rows.iter().filter(|r| r.flows >= least);
    rows.take(count).cloned().collect()
}

/// Returns the rows with the most arrivals, in the same order as before.
fn largest_routes(rows: &[RouteDemand]) -> Vec<RouteDemand> {
    let mut arrivals: Vec<u32> = rows.iter().map(|r| r.arrivals_per_s).collect();
    let least = least_of_largest(&mut arrivals, MAX_ROUTE_ROWS);
    let rows = rows.iter().filter(|r| r.arrivals_per_s >= least);
    rows.take(MAX_ROUTE_ROWS).copied().collect()
}

/// Returns the least of the `count` largest sizes; zero if there are fewer.
fn least_of_largest(sizes: &mut [u32], count: usize) -> u32 {
    sizes.sort_unstable_by_key(|size| Reverse(*size));
    let last = count.checked_sub(1).and_then(|at| sizes.get(at));
    last.copied().unwrap_or(0)
}
