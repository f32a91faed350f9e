//! Share of the new flows of each priority that a service accepts.
//!
//! Designed for a service with tens to hundreds of slots and short queues, whose
//! utilization is known with an age of up to 1.25 s. Requests on open flows cannot
//! be refused, so the shares follow from the measured utilization: each update
//! estimates the load at full acceptance and removes the surplus, beginning with
//! the least urgent priority.

use smallvec::SmallVec;

use super::load::ServiceLoad;
use crate::kernel::clock::Millis;

/// Utilization below which refusals end.
const END: f64 = 1.2;

/// Utilization above which a new request waits for two others on average.
const FULL: f64 = 2.0;

/// Load per slot to which the shares reduce a service.
const TARGET: f64 = 1.0;

/// Exponent of the estimate of the accepted load from a utilization above 1. A lower
/// one takes more of it for a queue and cuts later.
const QUEUE_EXPONENT: f64 = 0.75;

/// Interval between two updates.
pub const UPDATE_INTERVAL: Millis = Millis(250);

/// Largest step of a share upwards, so that all flows are accepted again within a second.
const MAX_RAISE: f64 = 0.5;

/// Weight of the update interval relative to the age of a measurement in the size
/// of a step.
const STEP_WEIGHT: f64 = 4.0;

/// Utilization below which slots are free for certain.
const UNUSED: f64 = 0.8;

/// Step of a share upwards for each free part of the slots. With 40 % of them busy,
/// all flows are accepted again within a second.
const FREE_SLOTS_RAISE: f64 = 0.6;

/// Weight of a new measurement of the utilization in its average.
const SMOOTHING_FACTOR: f64 = 0.5;

/// Weight of a new measurement of the flows of a priority in its averages.
const FLOW_SMOOTHING_FACTOR: f64 = 0.2;

/// Accepted flows per second from which the flows of a priority are measured.
const MIN_ACCEPTED_PER_S: f64 = 4.0;

/// Part of the arrivals that must be accepted for that. With fewer, retries and the
/// flows from before the cut distort the duration.
const MIN_ACCEPTED_PART: f64 = 0.75;

/// Time within which a cut must show, in seconds. A refused long-lived flow takes
/// away only the requests that it would have sent by then.
const CUT_HORIZON_S: f64 = 1.0;

/// Time for which accepted flows must fit, in seconds, so that long-lived ones do
/// not overload the service a few seconds later.
const RAISE_HORIZON_S: f64 = 4.0;

/// Shares of one service.
#[derive(Debug, Default)]
pub struct Shares {
    /// Smoothed utilization. `None` before the first measurement.
    utilization: Option<f64>,
    /// Invariant: one per priority in use, the least urgent first.
    priorities: SmallVec<[PriorityShare; 4]>,
}

/// Share of one priority.
#[derive(Clone, Copy, Debug)]
struct PriorityShare {
    priority: u8,
    /// Accepted part of the first tries, from 0 to 1.
    accepted: f64,
    flows: Option<FlowProfile>,
}

/// Means over the flows of one priority.
#[derive(Clone, Copy, Debug)]
struct FlowProfile {
    /// Time that a flow is open, in seconds.
    duration_s: f64,
    /// Part of this time with an outstanding request, as it is without a queue.
    busy_part: f64,
}

/// Demand of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    outstanding: f64,
    flows: f64,
    arrivals_per_s: f64,
    refused_per_s: f64,
}

impl Shares {
    /// Returns the accepted share of a priority; 1 if it is not known.
    pub fn accepted(&self, priority: u8) -> f64 {
        let mut shares = self.priorities.iter();
        let share = shares.find(|s| s.priority == priority);
        share.map_or(1.0, |s| s.accepted)
    }

    /// Returns whether flows of any priority are refused.
    pub fn is_refusing(&self) -> bool {
        self.priorities.iter().any(|s| s.accepted < 1.0)
    }

    /// Returns the smoothed utilization.
    pub fn utilization(&self) -> f64 {
        self.utilization.unwrap_or_default()
    }

    /// Accepts all flows again, for lack of a measurement.
    pub fn reset(&mut self) {
        self.utilization = None;
        for share in &mut self.priorities {
            share.accepted = 1.0;
        }
    }

    /// Adjusts the shares to a measurement.
    pub fn update(&mut self, load: &ServiceLoad) {
        self.select_priorities(load);
        let utilization = self.smooth(load.utilization);
        let demands: SmallVec<[Demand; 4]> = self
            .priorities
            .iter()
            .map(|share| Demand::of(share.priority, load))
            .collect();
        for (share, demand) in self.priorities.iter_mut().zip(&demands) {
            share.measure(demand, utilization);
        }
        self.adjust(load, &demands);
    }

    fn adjust(&mut self, load: &ServiceLoad, demands: &[Demand]) {
        let utilization = self.utilization();
        let horizon_s = match utilization > END {
            true => CUT_HORIZON_S,
            false => RAISE_HORIZON_S,
        };
        let slot_load =
            |share: &PriorityShare, per_s: f64| share.load(per_s, horizon_s) / load.slots;
        let parts = self.priorities.iter().zip(demands);
        let refused: f64 = parts.map(|(s, d)| slot_load(s, d.refused_per_s)).sum();
        let mut surplus = base_load(utilization) + refused - TARGET;
        let step = step_limit(load.age.unwrap_or_default());
        let count = self.priorities.len();
        let next_raised = self.priorities.iter().rposition(|s| s.accepted < 1.0);
        for (rank, (share, demand)) in self.priorities.iter_mut().zip(demands).enumerate() {
            let mut measured = utilization;
            if rank + 1 == count {
                // The most urgent flows keep a reserve as large as their own demand.
                measured = demand.outstanding / load.slots;
                surplus = base_load(measured) + slot_load(share, demand.refused_per_s) - TARGET;
            }
            let offered = slot_load(share, demand.arrivals_per_s);
            let cut = surplus.clamp(0.0, offered);
            surplus -= cut;
            let wanted = match offered > 0.0 {
                true => 1.0 - cut / offered,
                false => 1.0,
            };
            share.approach(wanted, measured, limit(rank, count), step);
            if next_raised == Some(rank) && wanted <= share.accepted {
                share.use_free_slots(measured);
            }
        }
    }

    /// Keeps the shares of the priorities in use.
    fn select_priorities(&mut self, load: &ServiceLoad) {
        let mut priorities: SmallVec<[u8; 4]> = load.routes.iter().map(|r| r.priority).collect();
        priorities.sort_unstable_by(|a, b| b.cmp(a));
        priorities.dedup();
        if priorities
            .iter()
            .eq(self.priorities.iter().map(|s| &s.priority))
        {
            return;
        }
        let known = std::mem::take(&mut self.priorities);
        let share = |priority: &u8| {
            let found = known.iter().find(|s| s.priority == *priority);
            found.copied().unwrap_or(PriorityShare::open(*priority))
        };
        self.priorities = priorities.iter().map(share).collect();
    }

    fn smooth(&mut self, measured: f64) -> f64 {
        let utilization = self.utilization.get_or_insert(measured);
        *utilization += SMOOTHING_FACTOR * (measured - *utilization);
        *utilization
    }
}

impl PriorityShare {
    fn open(priority: u8) -> PriorityShare {
        PriorityShare {
            priority,
            accepted: 1.0,
            flows: None,
        }
    }

    /// Measures the flows. Their duration follows from Little's law.
    fn measure(&mut self, demand: &Demand, utilization: f64) {
        let accepted_per_s = demand.arrivals_per_s - demand.refused_per_s;
        let min_per_s = MIN_ACCEPTED_PER_S.max(MIN_ACCEPTED_PART * demand.arrivals_per_s);
        if accepted_per_s < min_per_s || demand.flows < 1.0 {
            return;
        }
        let measured = FlowProfile {
            duration_s: demand.flows / accepted_per_s,
            busy_part: demand.outstanding / demand.flows / queue_factor(utilization),
        };
        let flows = self.flows.get_or_insert(measured);
        flows.duration_s += FLOW_SMOOTHING_FACTOR * (measured.duration_s - flows.duration_s);
        flows.busy_part += FLOW_SMOOTHING_FACTOR * (measured.busy_part - flows.busy_part);
    }

    /// Returns the outstanding requests that flows at a rate cause within the
    /// horizon.
    fn load(&self, flows_per_s: f64, horizon_s: f64) -> f64 {
        let load = |f: FlowProfile| flows_per_s * f.duration_s.min(horizon_s) * f.busy_part;
        self.flows.map_or(0.0, load)
    }

    /// Moves the share toward `wanted`: down above the limit of the priority and
    /// up below [`END`]. In between it stays, so that it does not oscillate.
    fn approach(&mut self, wanted: f64, utilization: f64, limit: f64, step: f64) {
        let is_lower = wanted < self.accepted;
        let may_move = match is_lower {
            true => utilization > limit,
            false => utilization < END,
        };
        if !may_move {
            return;
        }
        let change = step * (wanted - self.accepted);
        let change = match wanted >= 1.0 {
            true => MAX_RAISE,
            false => change.min(MAX_RAISE),
        };
        self.accepted = (self.accepted + change).clamp(0.0, 1.0);
    }

    /// Raises the share while slots are free, even if the estimate of the offered
    /// load is too high.
    fn use_free_slots(&mut self, utilization: f64) {
        let free = (UNUSED - utilization).max(0.0);
        self.accepted = (self.accepted + FREE_SLOTS_RAISE * free).min(1.0);
    }
}

impl Demand {
    fn of(priority: u8, load: &ServiceLoad) -> Demand {
        let mut sum = Demand::default();
        for route in load.routes.iter().filter(|r| r.priority == priority) {
            let demand = &route.demand;
            sum.outstanding += f64::from(demand.outstanding);
            sum.flows += f64::from(demand.flows);
            sum.arrivals_per_s += f64::from(demand.arrivals_per_s);
            sum.refused_per_s += f64::from(demand.refused_per_s);
        }
        sum
    }
}

/// Utilization from which flows of a priority are refused. `rank` counts from the
/// least urgent of `count` priorities.
fn limit(rank: usize, count: usize) -> f64 {
    END + (FULL - END) * (rank + 1) as f64 / count as f64
}

/// Estimates the accepted load per slot from a utilization. Without a queue they are
/// equal. With one, the load is between 1 and the utilization.
fn base_load(utilization: f64) -> f64 {
    utilization / queue_factor(utilization)
}

/// Estimates by how much queues prolong the requests.
fn queue_factor(utilization: f64) -> f64 {
    utilization.max(1.0).powf(1.0 - QUEUE_EXPONENT)
}

/// Part of the way that a share moves in one update. The effect of a step shows
/// only after the age of the measurement.
fn step_limit(age: Millis) -> f64 {
    let interval = UPDATE_INTERVAL.0 as f64;
    STEP_WEIGHT * interval / (age.0 as f64 + STEP_WEIGHT * interval)
}
