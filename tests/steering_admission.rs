//! Tests of admission control in a small model of clients, slots and late sums.

use std::{
    collections::VecDeque,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
};

use dragonflytrack::{
    core::{
        names::ServiceId,
        steering::{
            admission::{
                Admission, Refusal, Verdict,
                load::{
                    RouteLoad,
                    ServiceLoad, //
                },
            },
            loads::{
                RouteArrivals,
                message::RouteDemand, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const STEP: u64 = 5;
const VMS: usize = 16;
const BACKENDS: usize = 80;
const SLOTS: usize = 2;
const KINDS: usize = 3;

/// Requests that a backend server holds, queued ones included.
const PLACES: usize = 6;

/// New flows per second, work of a request in milliseconds and requests of a flow,
/// one every 250 ms. The most urgent kind comes first.
type Kind = (f64, f64, u32);

/// In both mixes, 3 times the load is 1.35 times what the slots can process.
const SHORT: [Kind; KINDS] = [(375.0, 52.0, 1), (300.0, 60.0, 1), (500.0, 50.0, 1)];
const LONG_LIVED: [Kind; KINDS] = [(375.0, 52.0, 1), (300.0, 60.0, 1), (50.0, 40.0, 18)];

struct Request {
    kind: usize,
    left_ms: f64,
    is_first: bool,
}

/// A retry, or a further request of an open flow.
struct Later {
    at: u64,
    kind: usize,
    client: u32,
    tries: u32,
    /// Requests left on an open flow; zero for a retry.
    left: u32,
}

/// Clients, VMs and backend servers of one service.
struct Model {
    kinds: [Kind; KINDS],
    sum_age: u64,
    rng: SmallRng,
    now: u64,
    vms: Vec<(Admission, RouteArrivals)>,
    backends: Vec<VecDeque<Request>>,
    later: Vec<Later>,
    sums: VecDeque<ServiceLoad>,
    clients: u32,
    arrived: [u32; KINDS],
    served: [u32; KINDS],
    /// Utilization and accepted shares every 250 ms.
    trace: Vec<(f64, [f64; KINDS])>,
}

fn route(kind: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 440 + kind as u16)
}

fn load(utilization: f64, age: u64, demand: [[u32; 4]; KINDS]) -> ServiceLoad {
    let route = |kind: usize| RouteLoad {
        demand: RouteDemand {
            route: route(kind),
            outstanding: demand[kind][0],
            flows: demand[kind][1],
            arrivals_per_s: demand[kind][2],
            refused_per_s: demand[kind][3],
        },
        priority: kind as u8,
        timeout: Millis(3_000),
    };
    ServiceLoad {
        service: ServiceId::new("web"),
        utilization,
        slots: (BACKENDS * SLOTS) as f64,
        age: Some(Millis(age)),
        response_time: None,
        routes: (0..KINDS).map(route).collect(),
    }
}

impl Model {
    fn new(kinds: [Kind; KINDS], sum_age: u64) -> Model {
        Model {
            kinds,
            sum_age,
            rng: SmallRng::seed_from_u64(7),
            now: 0,
            vms: (0..VMS).map(|_| Default::default()).collect(),
            backends: (0..BACKENDS).map(|_| VecDeque::new()).collect(),
            later: Vec::new(),
            sums: VecDeque::new(),
            clients: 0,
            arrived: [0; KINDS],
            served: [0; KINDS],
            trace: Vec::new(),
        }
    }

    /// Runs with `factor` times the arrivals. Returns the served part of each kind.
    fn run(&mut self, factor: f64, span: u64) -> [f64; KINDS] {
        (self.arrived, self.served) = Default::default();
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.work();
            for kind in 0..KINDS {
                self.arrive(kind, self.kinds[kind].0 * factor * STEP as f64 / 1_000.0);
            }
            let is_due = |later: &mut Later| later.at <= self.now;
            for due in self.later.extract_if(.., is_due).collect::<Vec<_>>() {
                match due.left {
                    0 => self.open(due.kind, due.client, due.tries),
                    _ => self.send(due.kind, due.client, due.left),
                }
            }
            if self.now.is_multiple_of(250) {
                self.sum();
            }
        }
        [0, 1, 2].map(|kind| f64::from(self.served[kind]) / f64::from(self.arrived[kind]))
    }

    fn arrive(&mut self, kind: usize, expected: f64) {
        let extra = self.rng.random_bool(expected.fract());
        for _ in 0..expected as u32 + u32::from(extra) {
            self.clients += 1;
            self.arrived[kind] += 1;
            self.open(kind, self.clients, 1);
        }
    }

    /// Opens a flow at the VM of the client.
    fn open(&mut self, kind: usize, client: u32, tries: u32) {
        let (admission, arrivals) = &mut self.vms[client as usize % VMS];
        let (address, route, now) = (Ipv4Addr::from(client), route(kind), Time(self.now));
        let is_retry = admission.take_retry(address, route, now);
        let is_accepted = admission.decide(address, route, is_retry, now) == Verdict::Accept;
        if !is_retry {
            arrivals.record(route);
        }
        if !is_retry && !is_accepted {
            arrivals.record_refused(route);
        }
        let left = self.kinds[kind].2;
        if is_accepted && self.place(kind, true) {
            self.continue_flow(kind, client, left);
        } else if tries < 3 {
            self.add_later(100, kind, client, tries + 1, 0);
        }
    }

    fn send(&mut self, kind: usize, client: u32, left: u32) {
        self.place(kind, false);
        self.continue_flow(kind, client, left);
    }

    fn continue_flow(&mut self, kind: usize, client: u32, left: u32) {
        if left > 1 {
            self.add_later(250, kind, client, 0, left - 1);
        }
    }

    fn add_later(&mut self, after: u64, kind: usize, client: u32, tries: u32, left: u32) {
        let at = self.now + after;
        self.later.push(Later {
            at,
            kind,
            client,
            tries,
            left,
        });
    }

    /// Sends a request to the least loaded of three backend servers.
    fn place(&mut self, kind: usize, is_first: bool) -> bool {
        let drawn = [0; 3].map(|_| self.rng.random_range(0..BACKENDS));
        let best = drawn.into_iter().min_by_key(|at| self.backends[*at].len());
        let queue = &mut self.backends[best.unwrap_or_default()];
        if queue.len() >= PLACES {
            return false;
        }
        let factor = -self.rng.random::<f64>().max(1e-9).ln();
        let left_ms = self.kinds[kind].1 * factor;
        queue.push_back(Request {
            kind,
            left_ms,
            is_first,
        });
        true
    }

    fn work(&mut self) {
        for queue in &mut self.backends {
            for at in (0..queue.len().min(SLOTS)).rev() {
                queue[at].left_ms -= STEP as f64;
                if queue[at].left_ms <= 0.0 {
                    self.served[queue[at].kind] += u32::from(queue[at].is_first);
                    queue.remove(at);
                }
            }
        }
    }

    /// Sums the reports of all VMs and gives the VMs an earlier sum.
    fn sum(&mut self) {
        let mut demand = [[0; 4]; KINDS];
        for request in self.backends.iter().flatten() {
            demand[request.kind][0] += 1;
            demand[request.kind][1] += u32::from(self.kinds[request.kind].2 == 1);
        }
        for later in self.later.iter().filter(|l| l.left > 0) {
            demand[later.kind][1] += 1;
        }
        for (_, arrivals) in &mut self.vms {
            arrivals.update(std::iter::empty(), Time(self.now));
            for own in arrivals.demand() {
                let kind = usize::from(own.route.port()) - 440;
                demand[kind][2] += own.arrivals_per_s;
                demand[kind][3] += own.refused_per_s;
            }
        }
        let outstanding: u32 = demand.iter().map(|d| d[0]).sum();
        let utilization = f64::from(outstanding) / (BACKENDS * SLOTS) as f64;
        let shares = [0, 1, 2].map(|kind| self.vms[0].0.accepted_share(route(kind)));
        self.trace.push((utilization, shares));
        self.sums.push_back(load(utilization, self.sum_age, demand));
        if self.sums.len() as u64 * 250 > self.sum_age {
            let sum = self.sums.pop_front();
            for (admission, _) in &mut self.vms {
                admission.update(sum.as_slice());
            }
        }
    }
}

/// A sum of a service whose least urgent kind takes far more than the slots.
fn overload() -> ServiceLoad {
    load(
        2.9,
        500,
        [[60, 60, 600, 0], [60, 60, 600, 0], [344, 344, 2_000, 0]],
    )
}

fn overloaded() -> Admission {
    let mut admission = Admission::default();
    for _ in 0..4 {
        admission.update(&[overload()]);
    }
    admission
}

/// Guards against refusals in proportion to the load of all kinds, and against any
/// refusal while slots are free.
#[test]
fn three_times_the_load_costs_the_most_urgent_requests_nothing() {
    for kinds in [SHORT, LONG_LIVED] {
        let mut model = Model::new(kinds, 1_000);
        model.run(1.0, 8_000);
        assert!(model.trace.iter().all(|(_, shares)| *shares == [1.0; 3]));
        let served = model.run(3.0, 10_000);
        assert!(served[0] >= 0.98, "{served:?}");
        assert!(served.is_sorted_by(|a, b| a >= b), "{served:?}");
    }
}

/// Guards against queues that stay full for longer than the age of the sums requires,
/// and against shares that swing around the right ones.
#[test]
fn overshoot_ends_2_5_s_after_the_sums_show_it_and_shares_settle() {
    for kinds in [SHORT, LONG_LIVED] {
        let mut model = Model::new(kinds, 1_250);
        model.run(1.0, 8_000);
        let start = model.trace.len();
        model.run(3.0, 15_000);
        let after = &model.trace[start + 14..];
        assert!(after.iter().all(|(u, _)| *u < 2.0), "{after:.2?}");
        let settled = &model.trace[start + 40..];
        assert!(
            settled.iter().all(|(u, _)| (0.8..1.6).contains(u)),
            "{settled:.2?}"
        );
    }
}

/// Guards against refusals that outlast the overload.
#[test]
fn all_flows_are_admitted_within_a_second_after_the_sums_show_capacity() {
    for kinds in [SHORT, LONG_LIVED] {
        let mut model = Model::new(kinds, 1_000);
        model.run(1.0, 8_000);
        model.run(3.0, 10_000);
        let end = model.trace.len();
        model.run(1.0, 4_000);
        let after = &model.trace[end + 8..];
        assert!(
            after.iter().all(|(_, shares)| *shares == [1.0; 3]),
            "{after:.2?}"
        );
    }
}

/// Guards against retries that displace first tries.
#[test]
fn retries_get_a_tenth_of_the_arrivals() {
    let mut admission = overloaded();
    let mut accepted = [0, 0];
    for client in 0..500_u32 {
        let (client, now) = (Ipv4Addr::from(client), Time(u64::from(client)));
        for _ in 0..3 {
            let is_retry = admission.take_retry(client, route(2), now);
            if admission.decide(client, route(2), is_retry, now) == Verdict::Accept {
                accepted[usize::from(is_retry)] += 1;
                break;
            }
        }
    }
    assert!(accepted[0] < 300, "{accepted:?}");
    assert!((45..=52).contains(&accepted[1]), "{accepted:?}");
}

/// Guards against VMs that refuse at random, so that some clients fare worse.
#[test]
fn each_vm_accepts_the_same_share() {
    let mut admission = overloaded();
    let share = admission.accepted_share(route(2));
    for count in 1..200 {
        let verdict = admission.decide(Ipv4Addr::LOCALHOST, route(2), false, Time(0));
        let accepted = admission
            .counts()
            .map(|(_, c)| c.first_tries - c.refused[0]);
        let accepted = accepted.sum::<u64>() as f64;
        assert!(
            (accepted - share * f64::from(count)).abs() <= 1.0,
            "{verdict:?}"
        );
    }
}

/// Guards against a reserve of the most urgent flows that others use up, and against
/// one without a limit.
#[test]
fn the_most_urgent_flows_are_refused_only_by_their_own_demand() {
    for (outstanding, is_refused) in [(100, false), (400, true)] {
        let demand = [
            [outstanding, outstanding, 3_000, 0],
            [60, 60, 600, 0],
            [300, 300, 2_000, 0],
        ];
        let mut admission = Admission::default();
        for _ in 0..8 {
            admission.update(&[load(2.9, 500, demand)]);
        }
        assert_eq!(admission.accepted_share(route(0)) < 1.0, is_refused);
    }
}

/// Guards against refusals by old sums or where no route is more urgent.
#[test]
fn nothing_is_refused_without_recent_sums_or_priorities() {
    let mut equal = overload();
    for route in &mut equal.routes {
        route.priority = 0;
    }
    let old = ServiceLoad {
        age: Some(Millis(2_300)),
        ..overload()
    };
    let unknown = ServiceLoad {
        age: None,
        ..overload()
    };
    for sum in [equal, old, unknown] {
        let mut admission = overloaded();
        assert!(admission.accepted_share(route(2)) < 1.0);
        admission.update(&[sum]);
        assert_eq!(admission.accepted_share(route(2)), 1.0);
    }
}

/// Guards against one lost message that admits all flows in the middle of an overload.
#[test]
fn a_missing_message_of_a_hub_does_not_end_the_refusals() {
    let mut admission = overloaded();
    let share = admission.accepted_share(route(2));
    let late = ServiceLoad {
        age: Some(Millis(1_800)),
        ..overload()
    };
    admission.update(&[late]);
    assert_eq!(admission.accepted_share(route(2)), share);
}

/// Guards against requests that are answered after their client has given up, and
/// against refusals of a slow service with free slots.
#[test]
fn flows_that_would_be_answered_too_late_are_refused() {
    for (utilization, is_refused) in [(1.1, true), (0.9, false)] {
        let mut sum = load(utilization, 500, [[50, 50, 50, 0]; 3]);
        sum.response_time = Some(Millis(3_500));
        let mut admission = Admission::default();
        admission.update(&[sum]);
        let verdict = admission.decide(Ipv4Addr::LOCALHOST, route(0), false, Time(0));
        assert_eq!(verdict == Verdict::Refuse(Refusal::Timeout), is_refused);
    }
}
