//! Slopes of membership: what a VM spends on heartbeats as its cell grows.
//!
//! `cargo run --release --example membership_bench`

use std::time::Instant;

use dragonflytrack::kernel::clock::Millis;
use dragonflytrack_testkit::{
    Fleet,
    sample, //
};

const SPAN: Millis = Millis::from_secs(120);
const VMS_PER_DATA_CENTRE: [usize; 5] = [1, 2, 4, 8, 16];

fn main() {
    println!("vms  messages/s  bytes/s  processor time, % of a core");
    for vms_per_data_centre in VMS_PER_DATA_CENTRE {
        measure(vms_per_data_centre);
    }
}

fn measure(vms_per_data_centre: usize) {
    let cfg = sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES);
    let mut fleet = Fleet::open(&cfg, vms_per_data_centre, 1);
    fleet.run_for(Millis::from_secs(5));
    for node in &mut fleet.nodes {
        node.control_bytes = 0;
        node.control_messages = 0;
    }
    let started = Instant::now();
    fleet.run_for(SPAN);
    let spent = started.elapsed();

    let vms = fleet.nodes.len();
    let vm_seconds = vms as f64 * SPAN.0 as f64 / 1_000.0;
    let messages: u64 = fleet.nodes.iter().map(|n| n.control_messages).sum();
    let bytes: u64 = fleet.nodes.iter().map(|n| n.control_bytes).sum();
    println!(
        "{vms:3}  {:10.1}  {:7.0}  {:.3}",
        messages as f64 / vm_seconds,
        bytes as f64 / vm_seconds,
        spent.as_secs_f64() / vm_seconds * 100.0,
    );
}
