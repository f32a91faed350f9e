//! Rates of new flows by route at this VM.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4, //
};

use super::message::RouteDemand;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Windows of the last second.
const WINDOWS: usize = 4;

/// Length of a window.
const WINDOW: Millis = Millis(250);

/// New flows by route in the last second.
#[derive(Debug, Default)]
pub struct RouteArrivals {
    /// Invariant: bounded by the routes of the configuration; only those with new
    /// flows in the last second.
    windows: BTreeMap<SocketAddrV4, [u32; WINDOWS]>,
    /// Window that is being counted.
    ///
    /// Invariant: below `WINDOWS`.
    at: usize,
    next_window: Time,
    /// Demand at the end of the last window.
    demand: Vec<RouteDemand>,
}

impl RouteArrivals {
    /// Records a new flow. The route must be one of the configuration.
    pub fn record(&mut self, route: SocketAddrV4) {
        let windows = self.windows.entry(route).or_default();
        windows[self.at] += 1;
    }

    /// Returns whether a window has ended.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_window
    }

    /// Computes the demand of the last second and starts the next window. `flows`
    /// names the route of each flow, and whether a request is outstanding.
    pub fn update(&mut self, flows: impl Iterator<Item = (SocketAddrV4, bool)>, now: Time) {
        let mut sums: BTreeMap<SocketAddrV4, [u32; 2]> = BTreeMap::new();
        for (route, is_waiting) in flows {
            let [flows, outstanding] = sums.entry(route).or_default();
            *flows += 1;
            *outstanding += u32::from(is_waiting);
        }
        for route in self.windows.keys() {
            sums.entry(*route).or_default();
        }
        let demand = sums.into_iter();
        self.demand = demand.map(|(r, sum)| self.route_demand(r, sum)).collect();
        self.start_window(now);
    }

    fn route_demand(&self, route: SocketAddrV4, sum: [u32; 2]) -> RouteDemand {
        let [flows, outstanding] = sum;
        let windows = self.windows.get(&route).copied().unwrap_or_default();
        RouteDemand {
            route,
            outstanding,
            flows,
            arrivals_per_s: windows.iter().sum(),
        }
    }

    fn start_window(&mut self, now: Time) {
        self.next_window = now + WINDOW;
        self.at = (self.at + 1) % WINDOWS;
        for windows in self.windows.values_mut() {
            windows[self.at] = 0;
        }
        self.windows
            .retain(|_, windows| windows.iter().any(|flows| *flows > 0));
    }

    /// Returns the demand by route, in the order of their addresses.
    pub fn demand(&self) -> &[RouteDemand] {
        &self.demand
    }
}
