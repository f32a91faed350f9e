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
            loads::message::RouteDemand, //
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
/// Requests that a backend server holds, queued ones included.
const PLACES: usize = 6;
const MAX_TRIES: u32 = 3;

/// New flows of one kind. The last kind keeps its flows open for five seconds.
#[derive(Clone, Copy)]
struct Kind {
    flows_per_s: f64,
    work_ms: f64,
    requests_per_flow: u32,
    timeout: u64,
}

/// The most urgent first.
const KINDS: [Kind; 3] = [
    Kind {
        flows_per_s: 375.0,
        work_ms: 52.0,
        requests_per_flow: 1,
        timeout: 3_000,
    },
    Kind {
        flows_per_s: 300.0,
        work_ms: 60.0,
        requests_per_flow: 1,
        timeout: 3_000,
    },
    Kind {
        flows_per_s: 50.0,
        work_ms: 40.0,
        requests_per_flow: 18,
        timeout: 3_000,
    },
];

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    arrived: u64,
    left_ms: f64,
    is_counted: bool,
}

/// Clients, VMs and backend servers of one service.
struct Model {
    rng: SmallRng,
    now: u64,
    vms: Vec<Admission>,
    backends: Vec<VecDeque<Request>>,
    /// Later requests and retries: time, kind, client, tries so far, requests left.
    later: Vec<(u64, usize, u32, u32, u32)>,
    sums: VecDeque<ServiceLoad>,
    clients: u32,
    /// First requests and those answered in time, by kind.
    served: [[u32; 2]; 3],
    refused: [u32; 3],
    /// Utilization at each sum.
    trace: Vec<f64>,
    shares: Vec<[f64; 3]>,
    sum_age: u64,
}

fn route(kind: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 440 + kind as u16)
}

fn no_demand(route: SocketAddrV4) -> RouteDemand {
    RouteDemand {
        route,
        outstanding: 0,
        flows: 0,
        arrivals_per_s: 0,
        refused_per_s: 0,
    }
}

impl Model {
    fn new(sum_age: u64) -> Model {
        Model {
            rng: SmallRng::seed_from_u64(7),
            now: 0,
            vms: (0..VMS).map(|_| Admission::default()).collect(),
            backends: vec![VecDeque::new(); BACKENDS],
            later: Vec::new(),
            sums: VecDeque::new(),
            clients: 0,
            served: [[0; 2]; 3],
            refused: [0; 3],
            trace: Vec::new(),
            shares: Vec::new(),
            sum_age,
        }
    }

    /// Runs with `factor` times the arrivals for `span` ms.
    fn run(&mut self, factor: f64, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.work();
            for kind in 0..KINDS.len() {
                let mut expected = KINDS[kind].flows_per_s * factor * STEP as f64 / 1_000.0;
                while expected > 0.0 && self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    self.clients += 1;
                    self.served[kind][0] += 1;
                    self.open(kind, self.clients, 0);
                }
            }
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) = self.later.drain(..).partition(|l| l.0 <= now);
            self.later = later;
            for (_, kind, client, tries, left) in due {
                match left {
                    0 => self.open(kind, client, tries),
                    _ => self.send_more(kind, client, left),
                }
            }
            if self.now.is_multiple_of(250) {
                self.sum();
            }
        }
    }

    /// Sends one of the `left` further requests of an open flow.
    fn send_more(&mut self, kind: usize, client: u32, left: u32) {
        self.place(kind, false);
        if left > 1 {
            self.later.push((self.now + 250, kind, client, 0, left - 1));
        }
    }

    /// Opens a flow at the VM of the client.
    fn open(&mut self, kind: usize, client: u32, tries: u32) {
        let vm = client as usize % VMS;
        let address = Ipv4Addr::from(0x6440_0000 + client);
        let verdict = self.vms[vm].decide(address, route(kind), false, Time(self.now));
        let is_placed = verdict == Verdict::Accept && self.place(kind, true);
        self.refused[kind] += u32::from(verdict != Verdict::Accept);
        let more = KINDS[kind].requests_per_flow - 1;
        if is_placed && more > 0 {
            self.later.push((self.now + 250, kind, client, 0, more));
        }
        if !is_placed && tries + 1 < MAX_TRIES {
            self.later
                .push((self.now + 100, kind, client, tries + 1, 0));
        }
    }

    /// Sends a request to the least loaded of three backend servers.
    fn place(&mut self, kind: usize, is_counted: bool) -> bool {
        let mut best = self.rng.random_range(0..BACKENDS);
        for _ in 1..3 {
            let other = self.rng.random_range(0..BACKENDS);
            if self.backends[other].len() < self.backends[best].len() {
                best = other;
            }
        }
        if self.backends[best].len() >= PLACES {
            return false;
        }
        let factor = -self.rng.random::<f64>().max(1e-9).ln();
        self.backends[best].push_back(Request {
            kind,
            arrived: self.now,
            left_ms: KINDS[kind].work_ms * factor,
            is_counted,
        });
        true
    }

    fn work(&mut self) {
        for queue in &mut self.backends {
            for request in queue.iter_mut().take(SLOTS) {
                request.left_ms -= STEP as f64;
            }
            for at in (0..queue.len().min(SLOTS)).rev() {
                if queue[at].left_ms > 0.0 {
                    continue;
                }
                let Some(done) = queue.remove(at) else {
                    continue;
                };
                let in_time = self.now - done.arrived < KINDS[done.kind].timeout;
                self.served[done.kind][1] += u32::from(done.is_counted && in_time);
            }
        }
    }

    fn flows(&self, kind: usize) -> u32 {
        let requests = self.backends.iter().flatten();
        let single = requests.filter(|r| r.kind == kind && r.is_counted).count();
        let open = self.later.iter().filter(|l| l.1 == kind && l.4 > 0).count();
        let is_long = KINDS[kind].requests_per_flow > 1;
        if is_long { open as u32 } else { single as u32 }
    }

    /// Sums the reports of all VMs and gives the VMs an earlier sum.
    fn sum(&mut self) {
        let now = Time(self.now);
        let mut routes: Vec<RouteLoad> = Vec::new();
        for kind in 0..KINDS.len() {
            let requests = self.backends.iter().flatten().filter(|r| r.kind == kind);
            let mut demand = RouteDemand {
                outstanding: requests.count() as u32,
                flows: self.flows(kind),
                ..no_demand(route(kind))
            };
            let reports = self.vms.iter().flat_map(Admission::own_demand);
            for own in reports.filter(|d| d.route == demand.route) {
                demand.arrivals_per_s += own.arrivals_per_s;
                demand.refused_per_s += own.refused_per_s;
            }
            routes.push(RouteLoad {
                demand,
                priority: kind as u8,
                timeout: Millis(KINDS[kind].timeout),
            });
        }
        let slots = (BACKENDS * SLOTS) as f64;
        let outstanding: u32 = routes.iter().map(|r| r.demand.outstanding).sum();
        let utilization = f64::from(outstanding) / slots;
        self.trace.push(utilization);
        self.shares
            .push([0, 1, 2].map(|k| self.vms[0].accepted_share(route(k))));
        self.sums.push_back(ServiceLoad {
            service: ServiceId::new("web"),
            utilization,
            slots,
            age: Millis(self.sum_age),
            response_time: None,
            routes: routes.into_iter().collect(),
        });
        let known = (self.sums.len() as u64 * 250 > self.sum_age).then(|| self.sums.pop_front());
        let own: Vec<RouteDemand> = KINDS
            .iter()
            .enumerate()
            .map(|(kind, _)| no_demand(route(kind)))
            .collect();
        for vm in &mut self.vms {
            vm.measure(own.clone(), now);
            if let Some(Some(load)) = &known {
                vm.update(std::slice::from_ref(load));
            }
        }
    }
}
