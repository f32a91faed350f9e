//! Tests of the plan for flows that are served in other data centres.

use std::collections::VecDeque;

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            ServiceId, //
        },
        steering::{
            decision::Decision,
            loads::message::ServiceDemand,
            placement::{
                spill::{
                    Capacity,
                    SpillInputs,
                    SpillPlan, //
                },
                spill_update::PlacementOptions,
                spill_wait::{
                    expected_wait_ms,
                    load_of, //
                },
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend,
    data, //
};

/// Step of [`Loop`].
const STEP: u64 = 10;

/// New flows of each data centre in a step of [`Loop`].
const FLOWS: u32 = 10;

/// Slots of each data centre in [`Loop`].
const SLOTS: u32 = 60;

/// Values by origin and destination.
type Matrix = [[f64; 2]; 2];

fn names() -> [DataCentreId; 2] {
    ["a", "b"].map(DataCentreId::new)
}

/// Computes the plan of data centre `me` for outstanding requests by origin and
/// destination.
fn compute(
    plan: &mut SpillPlan,
    me: usize,
    slots: [u32; 2],
    outstanding: &Matrix,
    own_flows: u32,
    cost: u64,
    now: u64,
) -> Option<f64> {
    let capacity = [0, 1].map(|at| Capacity {
        data_centre: names()[at].clone(),
        slots: slots[at],
        speed: 1.0,
        extra_delay: (at != me).then_some(Millis(1)),
        is_lost: false,
    });
    let demand = [(0, 0), (0, 1), (1, 0), (1, 1)].map(|(from, to)| ServiceDemand {
        service: ServiceId::new("web"),
        origin: names()[from].clone(),
        destination: names()[to].clone(),
        outstanding: outstanding[from][to].round() as u32,
        flows: 0,
    });
    let inputs = SpillInputs {
        me: &names()[me],
        service: &ServiceId::new("web"),
        capacity: &capacity,
        demand: &demand,
        age: Millis(750),
        service_time: Millis(50),
        own_flows,
        cost: Millis(cost),
    };
    plan.compute(&inputs, Time(now)).map(|c| c.share)
}

/// Returns the share that a plan sends away.
fn share(plan: &SpillPlan, now: u64) -> f64 {
    plan.shares(Time(now))
        .next()
        .map_or(0.0, |(_, share)| share)
}

/// Returns the plan of data centre a at 5 s, after two seconds of the same demand.
fn steady_plan(slots: [u32; 2], outstanding: &Matrix, own_flows: u32, cost: u64) -> SpillPlan {
    let mut plan = SpillPlan::default();
    for now in (3_000..=5_000).step_by(500) {
        compute(&mut plan, 0, slots, outstanding, own_flows, cost, now);
    }
    plan
}

/// Returns the share that data centre a should send away for the given demand.
fn steady_share(slots: [u32; 2], demand: [f64; 2], cost: u64) -> f64 {
    let outstanding = [[demand[0], 0.0], [0.0, demand[1]]];
    share(&steady_plan(slots, &outstanding, 0, cost), 5_000)
}

/// Two data centres that serve each other's clients by their plans, from sums that
/// are up to 0.75 s (own) and 1.25 s (others) old.
#[derive(Default)]
struct Loop {
    plans: [SpillPlan; 2],
    /// Load by origin and destination, in busy slots.
    load: Matrix,
    /// Outstanding requests after each step, newest last.
    history: VecDeque<Matrix>,
    now: u64,
    cost: u64,
    lifetime_ms: u64,
}

impl Loop {
    fn open(cost: u64, lifetime_ms: u64) -> Loop {
        Loop {
            now: 5_000,
            cost,
            lifetime_ms,
            ..Loop::default()
        }
    }

    /// Advances by one step with the given demand in busy slots. Returns the shares
    /// that the plans send away.
    fn step(&mut self, demand: [f64; 2]) -> [f64; 2] {
        self.now += STEP;
        for (from, demand) in demand.into_iter().enumerate() {
            let sent = self.place(from);
            let replaced = STEP as f64 / self.lifetime_ms as f64;
            for (to, share) in [(from, 1.0 - sent), (1 - from, sent)] {
                self.load[from][to] += replaced * (demand * share - self.load[from][to]);
            }
        }
        self.history.push_back(self.outstanding());
        if self.history.len() > 75 {
            self.history.pop_front();
        }
        for me in 0..2 {
            // The data centres do not send their sums at the same time.
            if (self.now + 250 * me as u64).is_multiple_of(500) {
                self.compute(me);
            }
        }
        [0, 1].map(|at| share(&self.plans[at], self.now))
    }

    /// Runs some steps and returns the shares that data centre a sends away.
    fn run(&mut self, steps: usize, demand: [f64; 2]) -> Vec<f64> {
        (0..steps).map(|_| self.step(demand)[0]).collect()
    }

    /// Places the new flows of one step. Returns the share of them that leaves.
    fn place(&mut self, from: usize) -> f64 {
        let web = ServiceId::new("web");
        let next = |plan: &mut SpillPlan| plan.next_data_centre(&web, Time(self.now));
        let sent = (0..FLOWS).filter_map(|_| next(&mut self.plans[from]));
        let sent = sent.filter(|to| *to != names()[from]).count();
        sent as f64 / f64::from(FLOWS)
    }

    /// Requests queue up to three for each slot once the slots are full.
    fn outstanding(&self) -> Matrix {
        let load = [0, 1].map(|to| self.load[0][to] + self.load[1][to]);
        let is_full = load.map(|load| load >= f64::from(SLOTS));
        let factor = [0, 1].map(|to| match is_full[to] {
            true => 3.0 * f64::from(SLOTS) / load[to],
            false => 1.0,
        });
        self.load
            .map(|from| [from[0] * factor[0], from[1] * factor[1]])
    }

    fn compute(&mut self, me: usize) {
        let before = |steps: usize| self.history[self.history.len().saturating_sub(steps)];
        let mut sums = before(75);
        sums[me] = before(25)[me];
        let flows = FLOWS * (self.lifetime_ms / STEP) as u32;
        let (slots, plan) = ([SLOTS; 2], &mut self.plans[me]);
        compute(plan, me, slots, &sums, flows, self.cost, self.now);
    }
}

/// Guards against sending while local slots are free, and against sending more or
/// less than makes the waits equal up to the delay and the cost.
#[test]
fn waits_are_equal_up_to_the_cost() {
    assert_eq!(steady_share([60, 60], [45.0, 5.0], 0), 0.0);
    for cost in [0, 5, 15] {
        let demand = load_of(10.0, 8.0);
        let sent = demand * steady_share([8, 60], [10.0, 10.0], cost);
        let wait = |load, slots| expected_wait_ms(load, slots, 50.0);
        let gain = |sent| wait(demand - sent, 8.0) - wait(10.0 + sent, 60.0);
        let cost = (cost + 1) as f64;
        // A hundredth of the demand is the resolution.
        let is_enough = gain(sent + 0.02 * demand) < cost;
        let is_needed = gain(sent - 0.02 * demand) > cost;
        assert!(is_enough && is_needed, "{cost}: {sent} of {demand}");
    }
}

/// Guards against sending at any price, against rejections while other data centres
/// have free slots, and against exchanging flows while none has.
#[test]
fn a_high_cost_keeps_flows_that_are_not_rejected() {
    assert_eq!(steady_share([60, 60], [58.0, 10.0], 10_000), 0.0);
    let rejected = steady_share([60, 60], [150.0, 10.0], 10_000);
    assert!((0.3..0.45).contains(&rejected), "{rejected}");
    assert!(steady_share([0, 60], [20.0, 10.0], 10_000) > 0.99);
    assert_eq!(steady_share([60, 60], [150.0, 150.0], 0), 0.0);
    let shared = steady_share([60, 60], [300.0, 150.0], 50);
    assert!((0.15..0.3).contains(&shared), "{shared}");
}

/// Guards against following sums that are too old.
#[test]
fn a_plan_expires_with_its_sums() {
    let mut plan = steady_plan([0, 60], &[[20.0, 0.0], [0.0, 10.0]], 0, 50);
    let web = ServiceId::new("web");
    let mut next = |now| plan.next_data_centre(&web, Time(now));
    assert_eq!(next(6_249), Some(names()[1].clone()));
    assert_eq!(next(6_250), None);
}

/// Guards against an overshoot while the sums and the smoothing lag behind, both for
/// flows of one request and for flows that live long.
#[test]
fn a_step_in_demand_settles() {
    for lifetime_ms in [50, 10_000] {
        let mut run = Loop::open(50, lifetime_ms);
        run.run(1_000, [30.0, 20.0]);
        assert_eq!(share(&run.plans[0], run.now), 0.0);
        let settling = (3 * lifetime_ms / STEP).max(1_000) as usize;
        run.run(settling, [85.0, 20.0]);
        let shares = run.run(3_000, [85.0, 20.0]);
        let least = shares.iter().copied().fold(1.0, f64::min);
        let most = shares.iter().copied().fold(0.0, f64::max);
        let is_steady = least > 0.25 && most < 0.55 && most - least <= 0.1;
        assert!(is_steady, "{lifetime_ms}: {least}..{most}");
        let local = run.load[0][0];
        assert!((54.0..60.0).contains(&local), "{lifetime_ms}: {local}");
    }
}

/// Guards against flows that cross in both directions when the data centres see sums
/// of different age. Swings in step with the interval of the sums are not covered.
#[test]
fn two_data_centres_never_send_to_each_other() {
    let swings = [(60.0, 40.0), (50.0, 25.0), (90.0, 80.0)];
    let periods = [(400.0, 3.1), (1_000.0, 0.5), (1_000.0, 3.1), (3_000.0, 0.5)];
    let cases = swings.into_iter().flat_map(|s| periods.map(|p| (s, p)));
    for ((mean, amplitude), (period, phase)) in cases {
        let mut run = Loop::open(0, 50);
        run.run(500, [30.0, 30.0]);
        let mut sending = 0;
        for step in 0..12_000 {
            let angle = f64::from(step) / period * std::f64::consts::TAU;
            let [a, b] = run.step([0.0, phase].map(|p| mean + amplitude * (angle + p).sin()));
            assert!(a == 0.0 || b == 0.0, "{period} {phase}: {a} {b}");
            sending += usize::from(a + b > 0.0);
        }
        assert!(sending > 2_000, "{period} {phase}: {sending}");
    }
}

/// Guards against moving a share of the new flows regardless of where the open ones
/// are.
#[test]
fn new_flows_make_up_for_missing_load() {
    let web = ServiceId::new("web");
    let next = |plan: &mut SpillPlan| plan.next_data_centre(&web, Time(5_000));
    let [a, b] = names().map(Some);
    let mut plan = steady_plan([60, 60], &[[20.0, 30.0], [0.0, 10.0]], 1_000, 50);
    assert!((0..20).all(|_| next(&mut plan) == a));
    let mut plan = steady_plan([60, 60], &[[150.0, 0.0], [0.0, 10.0]], 1_000, 50);
    let leaving = (0..100).filter(|_| next(&mut plan) == b).count();
    let wanted = 100.0 * share(&plan, 5_000);
    assert!(leaving as f64 > 1.5 * wanted, "{leaving} for {wanted}");
}

/// Guards against a flood of events while the share changes.
#[test]
fn changes_are_reported_once_a_second() {
    let mut plan = SpillPlan::default();
    let overload = [[150.0, 0.0], [0.0, 10.0]];
    let mut compute = |at: u64| {
        let slots = [60 + 140 * (at % 2) as u32, 60];
        compute(&mut plan, 0, slots, &overload, 0, 50, 3_000 + at * 100)
    };
    let reported = (0..60).filter_map(&mut compute).count();
    assert!((2..=4).contains(&reported), "{reported}");
}

/// Returns how many of 20 new flows leave data centre a, whose four slots have six
/// outstanding requests, and how often its VM reports a change.
fn leaving(cost: Option<u64>) -> (usize, usize) {
    let mut sim = Simulation::start(&["a", "b"]);
    sim.configure(1, &[("web", 1)]);
    let local = sim.put_backend(&backend(1, "a"));
    for key in 2..=6 {
        sim.put_backend(&backend(key, "b"));
    }
    sim.run(Millis(500));
    let cross_data_centre = cost.map(Millis);
    sim.vm(0).set_placement_options(PlacementOptions {
        cross_data_centre,
        ..PlacementOptions::default()
    });
    for port in 1_000..1_006 {
        assert_eq!(sim.place(0, port), Some(local));
        sim.packet(0, &acknowledgement(port, local, 101, 500));
    }
    for port in 1_000..1_006 {
        sim.packet(0, &data(port, local, 101, 500));
    }
    sim.run(Millis(3_000));
    let mut leaving = 0;
    for port in 2_000..2_020 {
        let tag = sim.place(0, port).expect("a backend server is ready");
        sim.packet(0, &acknowledgement(port, tag, 101, 500));
        leaving += usize::from(tag != local);
    }
    let is_change = |d: &&(usize, Decision)| matches!(d.1, Decision::SpillChanged { .. });
    let changes = sim.decisions.iter().filter(is_change).count();
    (leaving, changes)
}

/// Guards against a plan that placement ignores, and against a changed rule without
/// the setting.
#[test]
fn placement_follows_the_plan_only_with_the_setting() {
    assert_eq!(leaving(None), (20, 0));
    assert_eq!(leaving(Some(10_000)), (0, 0));
    let (some, changes) = leaving(Some(10));
    assert!((8..=16).contains(&some), "{some}");
    assert!((1..=3).contains(&changes), "{changes}");
}
