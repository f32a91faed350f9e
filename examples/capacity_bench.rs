//! Measures the cost of managing the slots of backend servers in messages, time
//! and memory, at several sizes.
//!
//! Run it with `cargo run --release --example capacity_bench`.

use std::{
    fs,
    net::SocketAddr,
    time::Instant, //
};

use dragonflytrack::{
    core::{
        Counters,
        Cx,
        capacity::{
            Capacity,
            SlotReport,
            SlotResult,
            concurrency_limit::ConcurrencyLimit, //
        },
        configuration::Configuration,
        membership::{
            View,
            Vm, //
        },
        names::{
            BackendId,
            DataCentreId,
            Incarnation,
            ServiceId,
            VmId, //
        }, //
    },
    kernel::clock::{
        Millis,
        Time,
        WallTime, //
    },
};
use dragonflytrack_testkit::{
    sample::{
        self,
        ServiceSpec, //
    },
    slots::SlotFleet,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const SEED: u64 = 1;
const SLOTS: u32 = 4;
const SERVICE_TIME: Millis = Millis(100);

fn spec(backends: u8) -> ServiceSpec {
    ServiceSpec {
        name: "bench",
        backends,
        slots: SLOTS,
        connections: 2_000,
    }
}

/// Prints the slot messages and bytes that a VM sends per second.
fn control_traffic(backends: u8, vms_per_data_centre: usize, load: f64) {
    const WINDOW: Millis = Millis::from_secs(30);
    let cfg = sample::configuration(&sample::CYMRU, &[spec(backends)]);
    let service = ServiceId::new("bench");
    let concurrency = f64::from(u32::from(backends) * SLOTS) * load;
    let mut fleet = SlotFleet::open(&cfg, vms_per_data_centre, SEED);
    fleet.run_for(Millis::from_secs(5));
    if load > 0.0 {
        fleet.load(&service, concurrency, SERVICE_TIME, Millis::from_secs(15));
    }
    let before = sent_totals(&fleet);
    let answered = fleet.tally.answered;
    if load > 0.0 {
        fleet.load(&service, concurrency, SERVICE_TIME, WINDOW);
    } else {
        fleet.run_for(WINDOW);
    }
    let after = sent_totals(&fleet);
    let vm_seconds = fleet.vms.len() as f64 * 30.0;
    println!(
        "{backends:>4} backend servers, {:>2} VMs, load {load:.1}: {:>7.1} messages/s, {:>8.0} bytes/s, {:>6.1} requests/s a VM",
        fleet.vms.len(),
        (after.0 - before.0) as f64 / vm_seconds,
        (after.1 - before.1) as f64 / vm_seconds,
        (fleet.tally.answered - answered) as f64 / vm_seconds,
    );
}

fn sent_totals(fleet: &SlotFleet) -> (u64, u64) {
    let messages = fleet.vms.iter().map(|v| v.slot_messages).sum();
    let bytes = fleet.vms.iter().map(|v| v.slot_bytes).sum();
    (messages, bytes)
}

/// A VM without peers, which owns all backend servers.
struct SingleVm {
    capacity: Capacity,
    view: View,
    cfg: Configuration,
    rng: SmallRng,
    counters: Counters,
    now: Time,
}

impl SingleVm {
    fn open(cfg: Configuration) -> SingleVm {
        let vm = Vm {
            id: VmId::new("vm0"),
            data_centre: DataCentreId::new("caerdydd"),
            incarnation: Incarnation(1),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            relay_address: SocketAddr::from(([127, 0, 0, 1], 2)),
        };
        SingleVm {
            capacity: Capacity::open(),
            view: View::new(vm, Time(0)),
            cfg,
            rng: SmallRng::seed_from_u64(SEED),
            counters: Counters::default(),
            now: Time(0),
        }
    }

    fn with_cx<T>(&mut self, f: impl FnOnce(&mut Capacity, &mut Cx<'_>) -> T) -> T {
        let mut out = Vec::new();
        let mut cx = Cx {
            now: self.now,
            wall: WallTime(self.now.0),
            view: &self.view,
            cfg: &self.cfg,
            rng: &mut self.rng,
            counters: &mut self.counters,
            out: &mut out,
        };
        f(&mut self.capacity, &mut cx)
    }

    /// Advances time by three seconds, after which the VM owns all backend
    /// servers.
    fn settle(&mut self) {
        self.with_cx(Capacity::on_configuration);
        for _ in 0..30 {
            self.now += Millis(100);
            self.with_cx(Capacity::tick);
        }
    }
}

/// Builds a configuration with one data centre and eight backend servers per
/// service.
fn one_data_centre(backends: usize) -> Configuration {
    const PER_SERVICE: usize = 8;
    let mut cfg = sample::configuration(&["caerdydd"], &[spec(1)]);
    let service = cfg.services[0].clone();
    let backend = cfg.backends[0].clone();
    cfg.services.clear();
    cfg.backends.clear();
    for n in 0..backends {
        let name = ServiceId::new(format!("service-{:05}", n / PER_SERVICE));
        if n % PER_SERVICE == 0 {
            let mut service = service.clone();
            service.name = name.clone();
            cfg.services.push(service);
        }
        let mut backend = backend.clone();
        backend.name = BackendId::new(format!("backend-{n:06}"));
        backend.service = name;
        cfg.backends.push(backend);
    }
    cfg
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Prints the time to acquire and release a slot, the time of a tick, and the
/// memory per backend server.
fn measure_single_vm(backends: usize) {
    const OPERATIONS: usize = 20_000;
    let mut vm = SingleVm::open(one_data_centre(backends));
    let before = resident_bytes();
    vm.settle();
    let memory = resident_bytes().saturating_sub(before);
    let services: Vec<_> = vm.cfg.services.iter().map(|s| s.name.clone()).collect();
    let report = SlotReport {
        result: SlotResult::Answered,
        elapsed: SERVICE_TIME,
        backend_run: Some(1),
    };
    let started = Instant::now();
    let mut acquired = 0;
    for n in 0..OPERATIONS {
        let service = &services[n % services.len()];
        vm.with_cx(|capacity, cx| {
            if let Ok(slot) = capacity.acquire(cx, service, &[]) {
                acquired += 1;
                capacity.release(cx, &slot, report);
            }
        });
    }
    let nanos = started.elapsed().as_nanos() as f64 / OPERATIONS as f64;
    let started = Instant::now();
    for _ in 0..50 {
        vm.now += Millis(10);
        vm.with_cx(Capacity::tick);
    }
    let tick = started.elapsed().as_nanos() as f64 / 50.0 / 1_000.0;
    println!(
        "{backends:>6} backend servers owned: {nanos:>8.0} ns a request ({acquired} acquired), {tick:>8.1} us a tick, {:>6.0} bytes each",
        memory as f64 / backends as f64,
    );
}

/// Prints how often a healthy backend server with exponentially distributed
/// answer times is detected as slow.
fn false_slow_detections() {
    const ANSWERS: u64 = 200_000;
    const MEAN_MS: f64 = 100.0;
    const ANSWER_INTERVAL: Millis = Millis(70);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut allowance = ConcurrencyLimit::new(SLOTS, Time(0));
    let mut now = Time(0);
    let mut detections = 0;
    for _ in 0..ANSWERS {
        now += ANSWER_INTERVAL;
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let report = SlotReport {
            result: SlotResult::Answered,
            elapsed: Millis((-uniform.ln() * MEAN_MS) as u64),
            backend_run: None,
        };
        detections += u64::from(allowance.record(now, SLOTS, &report).is_some());
    }
    println!("exponential answer times: detected as slow {detections} times in {ANSWERS} answers");
}

fn main() {
    println!("seed {SEED}, {SLOTS} slots, {SERVICE_TIME} a request");
    for backends in [15, 60, 240] {
        control_traffic(backends, 2, 0.0);
    }
    for vms_per_data_centre in [1, 2, 4, 8] {
        control_traffic(15, vms_per_data_centre, 0.0);
    }
    for load in [0.1, 0.4, 0.7] {
        control_traffic(15, 2, load);
    }
    for backends in [15, 150, 1_500] {
        measure_single_vm(backends);
    }
    false_slow_detections();
}
