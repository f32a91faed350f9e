//! Plan of one service: where new flows of this VM's data centre should go.

use smallvec::SmallVec;

use super::{
    spill::{
        MAX_PLAN_AGE,
        SpillChange,
        SpillInputs, //
    },
    spill_distribution::{
        Distribution,
        Site,
        distribute, //
    },
    spill_wait::load_of,
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Time constant of the smoothing of the load.
const SMOOTHING_TIME: Millis = Millis(2_000);

/// Time over which load that is missing in a data centre is made up for.
const CORRECTION_TIME: Millis = Millis(3_000);

/// Maximum weight of missing load relative to the wanted one. A higher one overshoots
/// before the sums, which are old and smoothed, show its effect.
const MAX_GAIN: f64 = 2.0;

/// Time for which a data centre does not send to one that has sent to it. It
/// exceeds twice the age of the sums.
const REVERSAL_TIME: Millis = Millis(3_000);

/// Demand of a data centre without any, so that its shares are defined.
const MIN_DEMAND: f64 = 0.01;

/// By how much the utilization of two data centres must differ before one starts to
/// send to the other. Sums that were taken up to 0.5 s apart then agree on the
/// direction unless the difference jumps by 0.8 of the capacity, which the smoothing
/// reduces to 0.2 in that time.
const START_MARGIN: f64 = 0.1;

/// Minimum cost of a path: the resolution of delays. Otherwise nearly all would leave
/// a half empty data centre to save some microseconds.
const MIN_COST: Millis = Millis(1);

/// Change of the share that leaves from which it is reported.
const REPORTED_CHANGE: f64 = 0.1;

/// Minimum interval between two reports of a service.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Plan of one service.
#[derive(Debug, Default)]
pub(super) struct ServicePlan {
    /// When the demand was summed.
    as_of: Time,
    computed_at: Time,
    /// Data centres with capacity or demand, in order of their names.
    data_centres: Vec<DataCentreId>,
    /// Smoothed load by origin and destination, in busy slots of mean speed.
    ///
    /// Invariant: one entry per pair of `data_centres`, ordered by origin; empty
    /// before the first computation.
    present: Vec<f64>,
    /// When `present` started from a single value.
    smoothed_since: Time,
    /// Outstanding requests of this VM's data centre in the previous sums, by
    /// destination; empty before the first computation.
    own_before: SmallVec<[f64; 4]>,
    /// When a data centre last sent to another one, with the same invariant as
    /// `present`.
    sent: Vec<Option<Time>>,
    /// Position of this VM's data centre.
    me: usize,
    /// Demand and capacity of this VM's data centre.
    site: Option<Site>,
    /// How much of the demand of this VM's data centre each data centre should
    /// serve.
    ///
    /// Invariant: as long as `data_centres`.
    wanted: SmallVec<[f64; 4]>,
    /// Shares of the new flows, with the same invariant; the sum is 1.
    shares: SmallVec<[f64; 4]>,
    /// Accumulated credit of each data centre, in flows, with the same invariant.
    credits: SmallVec<[f64; 4]>,
    /// New flows since the last computation.
    pub(super) opened: u32,
    /// New flows per second, smoothed.
    opened_per_s: f64,
    reported_share: f64,
    reported_at: Option<Time>,
}

impl ServicePlan {
    pub(super) fn compute(&mut self, inputs: &SpillInputs, now: Time) {
        self.set_data_centres(inputs);
        self.smooth_opened(now.since(self.computed_at));
        self.smooth_load(inputs, now);
        self.as_of = now - inputs.age;
        self.computed_at = now;
        let sites: SmallVec<[Site; 8]> = (0..self.data_centres.len())
            .map(|at| self.site(at, inputs))
            .collect();
        let cost_ms = |from: usize, to: usize| {
            let may_send = self.has_sent(from, to, now) || is_much_busier(sites[from], sites[to]);
            may_send.then(|| self.cost_ms(from, to, inputs, now))?
        };
        let distribution = distribute(&sites, inputs.service_time.0 as f64, cost_ms);
        self.record_sent(&distribution, now);
        self.site = sites.get(self.me).copied();
        self.set_shares(&distribution, inputs);
    }

    /// Discards what refers to other data centres if they have changed.
    fn set_data_centres(&mut self, inputs: &SpillInputs) {
        let demand = inputs
            .demand
            .iter()
            .filter(|d| d.service == *inputs.service);
        let with_demand = demand.flat_map(|d| [&d.origin, &d.destination]);
        let with_capacity = inputs.capacity.iter().map(|c| &c.data_centre);
        let mut names: SmallVec<[&DataCentreId; 16]> = with_demand
            .chain(with_capacity)
            .chain([inputs.me])
            .chain(&self.data_centres)
            .collect();
        names.sort_unstable();
        names.dedup();
        if names.len() == self.data_centres.len() {
            return;
        }
        self.data_centres = names.into_iter().cloned().collect();
        let sites = self.data_centres.len();
        self.me = self.position(inputs.me);
        self.present.clear();
        self.own_before.clear();
        self.sent = vec![None; sites * sites];
        self.credits = SmallVec::from_elem(0.0, sites);
    }

    /// Returns the position of a data centre in `data_centres`.
    fn position(&self, name: &DataCentreId) -> usize {
        self.data_centres
            .binary_search(name)
            .unwrap_or(self.data_centres.len())
    }

    fn smooth_opened(&mut self, elapsed: Millis) {
        let opened = f64::from(std::mem::take(&mut self.opened));
        let per_s = opened * 1_000.0 / elapsed.0.max(1) as f64;
        if self.opened_per_s <= 0.0 {
            self.opened_per_s = per_s;
            return;
        }
        self.opened_per_s += smoothing_factor(elapsed) * (per_s - self.opened_per_s);
    }

    fn smooth_load(&mut self, inputs: &SpillInputs, now: Time) {
        let current = self.current_load(inputs);
        let elapsed = now.since(self.computed_at);
        if self.present.is_empty() || elapsed >= SMOOTHING_TIME {
            self.present = current;
            self.smoothed_since = now;
            return;
        }
        let factor = smoothing_factor(elapsed);
        for (present, current) in self.present.iter_mut().zip(current) {
            *present += factor * (current - *present);
        }
    }

    /// Returns the load of each origin in each destination.
    fn current_load(&mut self, inputs: &SpillInputs) -> Vec<f64> {
        let sites = self.data_centres.len();
        let mut loads = self.aligned_demand(inputs);
        for (to, name) in self.data_centres.iter().enumerate() {
            let capacity = inputs.capacity_of(name);
            let (slots, speed) = capacity.map_or((0.0, 1.0), |c| (f64::from(c.slots), c.speed));
            let origins = (to..loads.len()).step_by(sites);
            let outstanding: f64 = origins.clone().map(|at| loads[at]).sum();
            if outstanding <= 0.0 {
                continue;
            }
            let load = speed * load_of(outstanding, slots);
            origins.for_each(|at| loads[at] *= load / outstanding);
        }
        loads
    }

    /// Returns the outstanding requests by origin and destination. Those of this VM's
    /// data centre are from the previous sums: they arrive one interval earlier than
    /// those of the others. Otherwise each data centre would see itself as the
    /// busiest while the demand of all rises.
    fn aligned_demand(&mut self, inputs: &SpillInputs) -> Vec<f64> {
        let sites = self.data_centres.len();
        let mut outstanding = vec![0.0; sites * sites];
        for demand in inputs.demand {
            if demand.service != *inputs.service {
                continue;
            }
            let origin = self.position(&demand.origin);
            let destination = self.position(&demand.destination);
            outstanding[origin * sites + destination] += f64::from(demand.outstanding);
        }
        let own = &mut outstanding[self.me * sites..(self.me + 1) * sites];
        if self.own_before.len() == own.len() {
            self.own_before.swap_with_slice(own);
        } else {
            self.own_before = SmallVec::from_slice(own);
        }
        outstanding
    }

    fn site(&self, at: usize, inputs: &SpillInputs) -> Site {
        let sites = self.data_centres.len();
        let served = &self.present[at * sites..(at + 1) * sites];
        let capacity = inputs.capacity_of(&self.data_centres[at]);
        Site {
            demand: served.iter().sum::<f64>().max(MIN_DEMAND),
            slots: capacity.map_or(0.0, |c| f64::from(c.slots) * c.speed),
        }
    }

    /// Returns the cost of sending from one data centre to another. `None` if it
    /// must not send there.
    fn cost_ms(&self, from: usize, to: usize, inputs: &SpillInputs, now: Time) -> Option<f64> {
        if self.has_sent(to, from, now) {
            return None;
        }
        let ends = [from, to].map(|at| inputs.capacity_of(&self.data_centres[at]));
        let involves_me = from == self.me || to == self.me;
        if involves_me && ends.iter().flatten().any(|c| c.is_lost) {
            return None;
        }
        // The delay between two other data centres is not known here. The larger of
        // the delays to them stands for it.
        let delays = ends.iter().flatten().filter_map(|c| c.extra_delay);
        let delay = delays.max().unwrap_or_default();
        Some((inputs.cost + delay).max(MIN_COST).0 as f64)
    }

    /// Returns whether a data centre has sent to another one recently.
    fn has_sent(&self, from: usize, to: usize, now: Time) -> bool {
        let sent = self.sent[from * self.data_centres.len() + to];
        sent.is_some_and(|at| now.since(at) < REVERSAL_TIME)
    }

    fn record_sent(&mut self, distribution: &Distribution, now: Time) {
        let sites = self.data_centres.len();
        for from in 0..sites {
            for to in (0..sites).filter(|to| distribution.is_sending(from, *to)) {
                self.sent[from * sites + to] = Some(now);
            }
        }
    }

    /// Sets the shares of the new flows: the wanted distribution, corrected by what
    /// each data centre lacks or has in excess.
    fn set_shares(&mut self, distribution: &Distribution, inputs: &SpillInputs) {
        let sites = self.data_centres.len();
        let gain = self.gain(inputs.own_flows);
        let present = &self.present[self.me * sites..(self.me + 1) * sites];
        let wanted = (0..sites).map(|to| distribution.served(self.me, to));
        self.wanted = wanted.collect();
        let weight = |(wanted, present): (&f64, &f64)| {
            let missing = wanted - present;
            (wanted + gain * missing).max(0.0)
        };
        self.shares = self.wanted.iter().zip(present).map(weight).collect();
        let sum: f64 = self.shares.iter().sum();
        self.shares.iter_mut().for_each(|share| *share /= sum);
    }

    /// Returns the weight of missing load relative to the wanted one. Flows that live
    /// long are replaced slowly, so more of the new ones make up for what is missing.
    fn gain(&self, own_flows: u32) -> f64 {
        if own_flows == 0 {
            return 0.0;
        }
        let lifetime_s = f64::from(own_flows) / self.opened_per_s;
        (lifetime_s * 1_000.0 / CORRECTION_TIME.0 as f64).min(MAX_GAIN)
    }

    /// Returns the data centre whose share lacks most among the flows so far.
    pub(super) fn next(&mut self) -> Option<DataCentreId> {
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += share;
        }
        let open = (0..self.shares.len()).filter(|at| self.shares[*at] > 0.0);
        let most = open.max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[most] -= 1.0;
        self.data_centres.get(most).cloned()
    }

    /// Returns whether the plan is from smoothed sums that are young enough. Plans
    /// from single values would differ between data centres.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        let is_smoothed = self.computed_at.since(self.smoothed_since) >= SMOOTHING_TIME;
        is_smoothed && now.since(self.as_of) < MAX_PLAN_AGE
    }

    /// Returns the share of the demand that other data centres should serve.
    pub(super) fn share(&self) -> f64 {
        let sum: f64 = self.wanted.iter().sum();
        let local = self.wanted.get(self.me).copied().unwrap_or_default();
        1.0 - local / sum
    }

    pub(super) fn take_change(&mut self, now: Time) -> Option<SpillChange> {
        if !self.is_valid(now) {
            return None;
        }
        let (before, share) = (self.reported_share, self.share());
        let reported_at = self.reported_at;
        let is_due = reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        // The margin covers the rounding of a change by exactly this amount.
        if !is_due || (share - before).abs() < REPORTED_CHANGE - 1e-9 {
            return None;
        }
        let site = self.site?;
        self.reported_at = Some(now);
        self.reported_share = share;
        Some(SpillChange {
            before,
            share,
            demand: site.demand,
            slots: site.slots,
        })
    }
}

/// Returns whether a data centre may start to send to another one.
fn is_much_busier(from: Site, to: Site) -> bool {
    from.demand * to.slots > (to.demand + START_MARGIN * to.slots) * from.slots
}

/// Returns the weight of a new value after `elapsed`.
fn smoothing_factor(elapsed: Millis) -> f64 {
    1.0 - (-(elapsed.0 as f64) / SMOOTHING_TIME.0 as f64).exp()
}
