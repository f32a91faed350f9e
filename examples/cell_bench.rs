//! Measures the control traffic, processor time and memory of a VM while nothing
//! changes, as a cell grows with about 6.5 backend servers per VM.
//!
//! `cargo run --release --example cell_bench`

use std::{
    fs,
    time::Instant, //
};

use dragonflytrack::kernel::clock::Millis;
use dragonflytrack_testkit::{
    Fleet,
    packet::{
        self,
        SegmentKind, //
    },
    sample::{
        self,
        ServiceSpec, //
    },
};

/// The virtual time over which costs are measured.
const WINDOW: Millis = Millis::from_secs(60);

/// The virtual time given to a new cell to settle.
const SETTLE_TIME: Millis = Millis::from_secs(20);

/// The number of backend servers of each service.
const BACKENDS_PER_SERVICE: u8 = 8;

/// Cell sizes: VMs in each of three data centres, and services.
const CELLS: [(usize, usize); 5] = [(1, 2), (2, 5), (4, 10), (5, 13), (8, 20)];

/// The rate of new flows per VM, as expected in two years.
const NEW_FLOWS_PER_SECOND: u32 = 40;

fn main() {
    println!("vms  backends  messages/s  bytes/s  core, %  KiB for each VM");
    for (vms, services) in CELLS {
        measure(vms, services);
    }
}

fn measure(vms_per_data_centre: usize, services: usize) {
    let before = resident_kib();
    let specs: Vec<ServiceSpec> = (0..services).map(service_spec).collect();
    let cfg = sample::configuration(&sample::CYMRU, &specs);
    let mut fleet = Fleet::open(&cfg, vms_per_data_centre, 1);
    fleet.run_for(SETTLE_TIME);
    for node in &mut fleet.nodes {
        node.control_bytes = 0;
        node.control_messages = 0;
    }
    let started = Instant::now();
    for second in 0..WINDOW.0 / 1_000 {
        open_flows(&mut fleet, &cfg.services[0].address, second as u32);
        fleet.run_for(Millis::from_secs(1));
    }
    let elapsed = started.elapsed();

    let vms = fleet.nodes.len();
    let vm_seconds = vms as f64 * WINDOW.0 as f64 / 1_000.0;
    let messages: u64 = fleet.nodes.iter().map(|n| n.control_messages).sum();
    let bytes: u64 = fleet.nodes.iter().map(|n| n.control_bytes).sum();
    println!(
        "{vms:3}  {:8}  {:10.1}  {:7.0}  {:7.3}  {:15}",
        cfg.backends.len(),
        messages as f64 / vm_seconds,
        bytes as f64 / vm_seconds,
        elapsed.as_secs_f64() / vm_seconds * 100.0,
        resident_kib().saturating_sub(before) / vms as u64,
    );
}

fn service_spec(n: usize) -> ServiceSpec {
    ServiceSpec {
        name: Box::leak(format!("service-{n:02}").into_boxed_str()),
        backends: BACKENDS_PER_SERVICE,
        slots: 4,
        connections: 2_000,
    }
}

fn open_flows(fleet: &mut Fleet, service: &std::net::SocketAddr, second: u32) {
    let flows = NEW_FLOWS_PER_SECOND * fleet.nodes.len() as u32;
    for n in 0..flows {
        let vm = n as usize % fleet.nodes.len();
        let source = packet::caller_address(second * flows + n);
        fleet.packet(vm, packet::tcp(source, *service, SegmentKind::Syn));
    }
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
