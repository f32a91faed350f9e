//! Tests of a fleet of hundreds of VMs that starts, or starts again, at once.
//!
//! The load: 300 VMs in five data centres without any state, whose clients send
//! packets from the first moment. They share three seeds and one store.

use dragonflytrack::{
    core::steering::store::Kind,
    kernel::clock::Millis, //
};
use dragonflytrack_testkit::steering::{
    Simulation,
    backend, //
};

const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];

const VMS: usize = 300;

const BACKENDS: u64 = 60;

/// Calls that one VM makes to read all kinds page by page: 20 pages of backend
/// servers and one of each other kind.
const CALLS_PER_VM: usize = 22;

/// Upper bound of the VMs that read the store when all start at once.
const MAX_READERS: usize = VMS / 10;

/// Time by which all VMs of the fleet serve after a start of all.
const START_BOUND: Millis = Millis(2_000);

fn start_sim() -> Simulation {
    let places: Vec<&str> = (0..VMS).map(|vm| DATA_CENTRES[vm % 5]).collect();
    let mut sim = Simulation::start(&places);
    sim.configure(1, &[("web", 1)]);
    for key in 1..=BACKENDS {
        sim.put_backend(&backend(key, DATA_CENTRES[key as usize % 5]));
    }
    sim
}

fn unready(sim: &mut Simulation) -> Vec<usize> {
    (0..VMS).filter(|vm| !sim.vm(*vm).is_ready()).collect()
}

#[test]
fn few_of_the_vms_that_start_together_read_the_store() {
    let mut sim = start_sim();
    sim.run(START_BOUND);
    assert!(unready(&mut sim).is_empty());
    let bound = MAX_READERS * CALLS_PER_VM;
    assert!(sim.calls <= bound, "{} calls", sim.calls);
}

/// The VMs start before the backend servers, so that the store's only page looks
/// like that of a small fleet.
#[test]
fn few_of_the_vms_that_start_before_the_backend_servers_watch_the_store() {
    let places: Vec<&str> = (0..VMS).map(|vm| DATA_CENTRES[vm % 5]).collect();
    let mut sim = Simulation::start(&places);
    sim.configure(1, &[("web", 1)]);
    sim.run(START_BOUND);
    let bound = MAX_READERS * Kind::ALL.len();
    assert!(sim.rated_calls <= bound, "{} calls", sim.rated_calls);
    sim.put_backend(&backend(1, "a"));
    sim.run(Millis(1_000));
    assert!((0..VMS).all(|vm| sim.place(vm, 1_000).is_some()));
}

#[test]
fn vms_that_restart_beside_others_do_not_read_the_store() {
    let mut sim = start_sim();
    sim.run(Millis(5_000));
    let before = sim.calls;
    for vm in (0..VMS).filter(|vm| vm % 3 == 1) {
        sim.kill(vm);
    }
    sim.run(Millis(500));
    for vm in (0..VMS).filter(|vm| vm % 3 == 1) {
        sim.restart(vm);
    }
    sim.run(Millis(700));
    assert!(unready(&mut sim).is_empty());
    let bound = VMS / 3 / 10 * CALLS_PER_VM;
    let calls = sim.calls - before;
    assert!(calls <= bound, "{calls} calls");
}

/// Time by which a VM of a small fleet serves when all of it starts again, without
/// a seed.
const SMALL_START_BOUND: Millis = Millis(100);

/// The same for the first start of a small fleet, before clients send anything:
/// the wait for a seed and the time over which reads are spread.
const FIRST_START_BOUND: Millis = Millis(650);

fn start_small_without_seed() -> Simulation {
    let mut sim = Simulation::start(&["a", "b", "c"]);
    sim.configure(1, &[("web", 1)]);
    sim.put_backend(&backend(1, "a"));
    sim.set_seeds(&["10.9.9.9:7000".parse().expect("an address")]);
    restart_all(&mut sim, 3);
    sim
}

/// All VMs lose power and return together. None has to wait until one with a
/// narrow link has served snapshots to all others.
#[test]
fn vms_of_a_fleet_of_a_hundred_that_start_again_serve_at_once() {
    const FLEET: usize = 100;
    let places: Vec<&str> = (0..FLEET).map(|vm| DATA_CENTRES[vm % 5]).collect();
    let mut sim = Simulation::start(&places);
    sim.configure(1, &[("web", 1)]);
    sim.put_backend(&backend(1, "a"));
    sim.run(Millis(5_000));
    (0..FLEET).for_each(|vm| sim.kill(vm));
    sim.run(Millis(1_600));
    restart_all(&mut sim, FLEET);
    sim.run(SMALL_START_BOUND);
    let ready = (0..FLEET).filter(|vm| sim.vm(*vm).is_ready()).count();
    assert_eq!(ready, FLEET);
}

fn restart_all(sim: &mut Simulation, vms: usize) {
    (0..vms).for_each(|vm| sim.restart(vm));
}

#[test]
fn vms_of_a_small_fleet_do_not_wait_for_a_seed_that_starts_late() {
    let mut sim = start_small_without_seed();
    sim.run(Millis(4_000));
    restart_all(&mut sim, 3);
    sim.run(SMALL_START_BOUND);
    assert!((0..3).all(|vm| sim.vm(vm).is_ready()));
}

#[test]
fn vms_of_a_new_small_fleet_start_without_a_seed() {
    let mut sim = start_small_without_seed();
    sim.run(FIRST_START_BOUND);
    assert!((0..3).all(|vm| sim.vm(vm).is_ready()));
}

/// Time by which a large fleet serves when all of it starts again and its seeds
/// come back after that.
const RETURN_BOUND: Millis = Millis(400);

/// All VMs lose power and return; the seeds are 0.5 s later than the others.
#[test]
fn vms_of_a_large_fleet_that_start_again_do_not_wait_for_the_seeds() {
    let mut sim = start_sim();
    sim.run(Millis(5_000));
    (0..VMS).for_each(|vm| sim.kill(vm));
    sim.run(Millis(1_600));
    let before = sim.calls;
    (3..VMS).for_each(|vm| sim.restart(vm));
    sim.run(RETURN_BOUND);
    let ready = (3..VMS).filter(|vm| sim.vm(*vm).is_ready()).count();
    assert_eq!(ready, VMS - 3);
    (0..3).for_each(|vm| sim.restart(vm));
    sim.run(Millis(500));
    // Each VM looks the fleet up.
    let calls = sim.calls - before - VMS;
    assert!(calls <= MAX_READERS * CALLS_PER_VM, "{calls} calls");
}

/// Calls a second of the whole fleet to a store that does not answer: the hubs
/// try every 0.6 s in the mean, the others together every 0.125 s.
const MAX_CALLS_PER_SECOND: usize = 30;

#[test]
fn a_store_that_is_away_is_not_called_by_all_vms() {
    const SPAN: Millis = Millis(10_000);
    for store_refuses in [false, true] {
        let mut sim = start_sim();
        sim.run(Millis(5_000));
        sim.without_store = (0..VMS).collect();
        sim.store_refuses = store_refuses;
        let before = sim.calls;
        sim.run(SPAN);
        let calls = sim.calls - before;
        let bound = MAX_CALLS_PER_SECOND * SPAN.0 as usize / 1_000;
        assert!(calls <= bound, "{calls} calls");
        sim.without_store.clear();
        sim.configure(2, &[("web", 1)]);
        sim.run(Millis(3_000));
        let now = sim.now;
        let behind = (0..VMS).filter(|vm| sim.vm(*vm).stats(now).version != 2);
        assert_eq!(behind.count(), 0);
    }
}

/// Age up to which the knowledge of a VM is current: a watch, its relay and the
/// time of one takeover.
const MAX_AGE: Millis = Millis(3_500);

#[test]
fn after_an_outage_a_hub_reads_again_for_all() {
    const FLEET: usize = 150;
    let places: Vec<&str> = (0..FLEET).map(|vm| DATA_CENTRES[vm % 5]).collect();
    let mut sim = Simulation::start(&places);
    sim.configure(1, &[("web", 1)]);
    sim.put_backend(&backend(1, "a"));
    sim.run(Millis(4_000));
    sim.without_store = (0..FLEET).collect();
    sim.store_refuses = true;
    sim.run(Millis(5_000));
    sim.without_store.clear();
    sim.run(Millis(10_000));
    let before = sim.calls;
    for _ in 0..40 {
        sim.run(Millis(200));
        let now = sim.now;
        let ages = (0..FLEET).flat_map(|vm| sim.vm(vm).stats(now).ages);
        let oldest = ages.map(|age| age.unwrap_or(Millis(u64::MAX))).max();
        assert!(oldest <= Some(MAX_AGE), "{oldest:?} at {now}");
    }
    // One reader, as on a calm day.
    let calls = sim.calls - before;
    assert!(calls <= 8 * 2, "{calls} calls in 8 s");
}

#[test]
fn a_change_reaches_a_fleet_whose_hubs_the_store_turns_away() {
    let mut sim = start_sim();
    sim.run(Millis(5_000));
    // The first two VMs of each data centre by name, which are the hubs.
    sim.without_store = (0..10).collect();
    sim.store_refuses = true;
    sim.run(Millis(10));
    sim.configure(2, &[("web", 1)]);
    sim.run(Millis(5_000));
    let now = sim.now;
    let behind = (0..VMS).filter(|vm| sim.vm(*vm).stats(now).version != 2);
    assert_eq!(behind.count(), 0);
}

#[test]
fn vms_whose_seeds_are_all_gone_read_the_store() {
    let mut sim = start_sim();
    sim.set_seeds(&["10.9.9.9:7000".parse().expect("an address")]);
    for vm in 0..VMS {
        sim.restart(vm);
    }
    sim.run(START_BOUND);
    assert!(unready(&mut sim).is_empty());
}
