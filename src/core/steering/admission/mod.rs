//! Admission control: which new flows are refused while a service has too little
//! capacity.
//!
//! Designed for a fleet whose VMs share the load of a service as sums that are up
//! to 1.25 s old. Flows of less urgent routes are refused first, by the same share
//! at all VMs. A refusal is a reset of the first packet, so the request has not
//! run. Without recent sums, or if all routes of a service have the same priority,
//! nothing is refused.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use derive_more::Display;
use hashbrown::HashMap;

pub mod clients;
pub mod load;
pub mod share;
pub mod steering;
pub mod tries;

use clients::UnservedClients;
use load::{
    RouteLoad,
    ServiceLoad, //
};
use share::{
    Shares,
    UPDATE_INTERVAL, //
};
use tries::{
    FlowCounts,
    Tries, //
};

use crate::{
    core::names::ServiceId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Age up to which the shares follow a measurement.
const MAX_AGE: Millis = Millis(1_500);

/// Age up to which the shares stay as they are. Covers one lost message of a hub, so
/// that it does not admit all flows at once.
const MAX_HOLD_AGE: Millis = Millis(2_250);

/// Admission control of one VM.
#[derive(Debug, Default)]
pub struct Admission {
    /// Services whose routes differ in priority.
    services: HashMap<ServiceId, Shares>,
    /// Routes to these services.
    routes: HashMap<SocketAddrV4, RouteState>,
    unserved_clients: UnservedClients,
    next_update: Time,
}

/// State of one route.
#[derive(Debug)]
struct RouteState {
    /// Accepted share of the priority.
    share: f64,
    /// Whether an answer would come after the timeout of the route.
    is_too_late: bool,
    tries: Tries,
}

/// Decision on a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Accepted.
    Accept,
    /// Refused at once.
    Refuse(Refusal),
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// The flow exceeds the accepted share of its priority.
    #[display("share")]
    Share,
    /// The retry exceeds the budget of its route.
    #[display("retry_budget")]
    RetryBudget,
    /// The answer would come after the client's timeout.
    #[display("timeout")]
    Timeout,
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Refusal; 3] = [Refusal::Share, Refusal::RetryBudget, Refusal::Timeout];
}

/// Start or end of refusals at a service.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadChange {
    /// Service.
    pub service: ServiceId,
    /// Whether flows are refused now.
    pub is_overloaded: bool,
    /// Slots of the backend servers that may get flows.
    pub slots: u32,
    /// Outstanding requests over the slots, in percent.
    pub utilization_percent: u32,
    /// New flows per second at all VMs.
    pub arrivals_per_s: u32,
    /// Age of the measurement.
    pub age: Millis,
}

impl Admission {
    /// Returns whether the next update is due, and starts the interval to the one
    /// after it.
    pub fn take_due(&mut self, now: Time) -> bool {
        if now < self.next_update {
            return false;
        }
        self.next_update = now + UPDATE_INTERVAL;
        self.unserved_clients.sweep(now);
        true
    }

    /// Adjusts the accepted shares to the load of the services. Returns the starts
    /// and ends of refusals, in the order of `loads`.
    pub fn update(&mut self, loads: &[ServiceLoad]) -> Vec<OverloadChange> {
        self.select_services(loads);
        let mut changes = Vec::new();
        for load in loads.iter().filter(|l| l.has_priorities()) {
            changes.extend(self.update_service(load));
        }
        changes
    }

    /// Returns whether a new flow is the retry of one that was refused or did not
    /// open. The next flow of the client is not.
    pub fn take_retry(&mut self, client: Ipv4Addr, route: SocketAddrV4, now: Time) -> bool {
        self.unserved_clients.take_retry(client, route, now)
    }

    /// Decides on the first packet of a new flow.
    pub fn decide(
        &mut self,
        client: Ipv4Addr,
        route: SocketAddrV4,
        is_retry: bool,
        now: Time,
    ) -> Verdict {
        let Some(state) = self.routes.get_mut(&route) else {
            return Verdict::Accept;
        };
        if let Some(refusal) = state.find_refusal(is_retry) {
            state.tries.record_refusal(refusal);
            self.unserved_clients.record_refusal(client, route, now);
            return Verdict::Refuse(refusal);
        }
        if state.share < 1.0 {
            self.unserved_clients.record_opening(client, route, now);
        }
        Verdict::Accept
    }

    /// Records that a flow of a client opened.
    pub fn record_opened(&mut self, client: Ipv4Addr, route: SocketAddrV4) {
        self.unserved_clients.record_opened(client, route);
    }

    /// Iterates over the routes under admission control, in arbitrary order, with
    /// their counts.
    pub fn counts(&self) -> impl Iterator<Item = (SocketAddrV4, FlowCounts)> {
        self.routes.iter().map(|(at, r)| (*at, r.tries.counts))
    }

    /// Returns the accepted share of the first tries on a route.
    pub fn accepted_share(&self, route: SocketAddrV4) -> f64 {
        self.routes.get(&route).map_or(1.0, |r| r.share)
    }

    fn update_service(&mut self, load: &ServiceLoad) -> Option<OverloadChange> {
        let shares = self.services.get_mut(&load.service)?;
        let was_overloaded = shares.is_refusing();
        let is_known = load.age.is_some_and(|age| age <= MAX_HOLD_AGE);
        match load.age {
            Some(age) if age <= MAX_AGE => shares.update(load),
            _ if is_known => {}
            _ => shares.reset(),
        }
        for route in &load.routes {
            if let Some(state) = self.routes.get_mut(&route.demand.route) {
                state.share = shares.accepted(route.priority);
                state.is_too_late = is_known && is_too_late(load, route);
            }
        }
        let is_overloaded = shares.is_refusing();
        (is_overloaded != was_overloaded).then(|| OverloadChange {
            service: load.service.clone(),
            is_overloaded,
            slots: load.slots as u32,
            utilization_percent: (load.utilization * 100.0) as u32,
            arrivals_per_s: load.routes.iter().map(|r| r.demand.arrivals_per_s).sum(),
            age: load.age.unwrap_or_default(),
        })
    }

    /// Keeps the state of the services and routes that are under admission control.
    fn select_services(&mut self, loads: &[ServiceLoad]) {
        let selected = || loads.iter().filter(|l| l.has_priorities());
        self.services
            .retain(|name, _| selected().any(|l| l.service == *name));
        let is_selected = |at: &SocketAddrV4| {
            let mut routes = selected().flat_map(|l| &l.routes);
            routes.any(|r| r.demand.route == *at)
        };
        self.routes.retain(|at, _| is_selected(at));
        for load in selected() {
            self.services.entry(load.service.clone()).or_default();
            for route in &load.routes {
                self.routes.entry(route.demand.route).or_default();
            }
        }
    }
}

impl Default for RouteState {
    fn default() -> RouteState {
        RouteState {
            share: 1.0,
            is_too_late: false,
            tries: Tries::default(),
        }
    }
}

impl RouteState {
    fn find_refusal(&mut self, is_retry: bool) -> Option<Refusal> {
        let is_within_limits = match is_retry {
            true => self.tries.admit_retry(self.share < 1.0),
            false => self.tries.admit_first_try(self.share),
        };
        if self.is_too_late {
            return Some(Refusal::Timeout);
        }
        match is_within_limits {
            true => None,
            false if is_retry => Some(Refusal::RetryBudget),
            false => Some(Refusal::Share),
        }
    }
}

/// Returns whether the clients of a route would have given up before the answer.
/// While a slot is free, a long response time is not a matter of load.
fn is_too_late(load: &ServiceLoad, route: &RouteLoad) -> bool {
    let has_timeout = route.timeout > Millis(0);
    let is_slow = load.response_time.is_some_and(|t| t > route.timeout);
    has_timeout && is_slow && load.utilization >= 1.0
}
