//! Slopes of a cell: what a VM spends on control while nothing changes, as the
//! cell grows with 6.5 backend servers for each VM.
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

/// The virtual time that is measured.
const SPAN: Millis = Millis::from_secs(60);

/// How long a cell may take to settle.
const SETTLING: Millis = Millis::from_secs(20);

/// How many backend servers each service has.
const BACKENDS_PER_SERVICE: u8 = 8;

/// Cells as VMs in each of three data centres, and services.
const CELLS: [(usize, usize); 5] = [(1, 2), (2, 5), (4, 10), (5, 13), (8, 20)];

/// New flows of each VM in a second, as at the two-year size.
const NEW_FLOWS: u32 = 40;

fn main() {
    println!("vms  backends  messages/s  bytes/s  core, %  KiB for each VM");
    for (vms, services) in CELLS {
        measure(vms, services);
    }
}

fn measure(vms_per_data_centre: usize, services: usize) {
    let before = resident_kib();
    let specs: Vec<ServiceSpec> = (0..services).map(service).collect();
    let cfg = sample::configuration(&sample::CYMRU, &specs);
    let mut fleet = Fleet::open(&cfg, vms_per_data_centre, 1);
    fleet.run_for(SETTLING);
    for node in &mut fleet.nodes {
        node.control_bytes = 0;
        node.control_messages = 0;
    }
    let started = Instant::now();
    for second in 0..SPAN.0 / 1_000 {
        open_flows(&mut fleet, &cfg.services[0].address, second as u32);
        fleet.run_for(Millis::from_secs(1));
    }
    let spent = started.elapsed();

    let vms = fleet.nodes.len();
    let vm_seconds = vms as f64 * SPAN.0 as f64 / 1_000.0;
    let messages: u64 = fleet.nodes.iter().map(|n| n.control_messages).sum();
    let bytes: u64 = fleet.nodes.iter().map(|n| n.control_bytes).sum();
    println!(
        "{vms:3}  {:8}  {:10.1}  {:7.0}  {:7.3}  {:15}",
        cfg.backends.len(),
        messages as f64 / vm_seconds,
        bytes as f64 / vm_seconds,
        spent.as_secs_f64() / vm_seconds * 100.0,
        resident_kib().saturating_sub(before) / vms as u64,
    );
}

fn service(n: usize) -> ServiceSpec {
    ServiceSpec {
        name: Box::leak(format!("service-{n:02}").into_boxed_str()),
        backends: BACKENDS_PER_SERVICE,
        slots: 4,
        connections: 2_000,
    }
}

fn open_flows(fleet: &mut Fleet, service: &std::net::SocketAddr, second: u32) {
    let flows = NEW_FLOWS * fleet.nodes.len() as u32;
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
