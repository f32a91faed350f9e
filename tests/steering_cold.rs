//! Tests of the limit on new flows for backend servers in cold start.

use std::collections::BTreeSet;

use dragonflytrack::{
    core::steering::{
        store::BackendServer,
        tag::Tag, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

/// New flows that a backend server in cold start bears within 1 s.
const MAX_PER_SECOND: usize = 5;

/// Returns the maximum number of flows that one backend server got within 1 s.
fn max_per_second(at: &[(Time, Tag)]) -> usize {
    let within = |(from, tag): &(Time, Tag)| {
        at.iter()
            .filter(|(t, other)| other == tag && t >= from && t.since(*from) < Millis(1_000))
            .count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// Starts all backend servers of a service at once while seven VMs in the
/// given partitions get 200 new flows per second. Returns the maximum number of
/// flows that one backend server got within 1 s.
fn cold_start(groups: &[usize]) -> usize {
    let mut sim = Simulation::start(&["a", "a", "a", "b", "b", "c", "c"]);
    sim.configure(1, &[("web", 1)]);
    sim.run(Millis(1_000));
    // Each VM hears only those of its own partition.
    sim.partitions = partitions(groups);
    sim.run(Millis(1_500));
    put_cold(&mut sim, 4, Millis(5_000));
    sim.run(Millis(100));
    let mut placed = Vec::new();
    for port in 0..600_u16 {
        let vm = usize::from(port) % 7;
        if let Some(tag) = sim.place(vm, 1_000 + port) {
            placed.push((sim.now, tag));
        }
        sim.run(Millis(5));
    }
    assert!(!placed.is_empty(), "some flows are served");
    max_per_second(&placed)
}

#[test]
fn backend_servers_in_cold_start_get_a_few_flows_a_second_over_all_vms() {
    assert!(cold_start(&[0; 7]) <= MAX_PER_SECOND);
}

#[test]
fn the_cold_start_limit_holds_while_vms_are_partitioned() {
    assert!(cold_start(&[0, 0, 0, 1, 1, 1, 1]) <= MAX_PER_SECOND);
    assert!(cold_start(&[0, 0, 1, 1, 2, 2, 2]) <= MAX_PER_SECOND);
    assert!(cold_start(&[0, 1, 2, 3, 4, 4, 4]) <= MAX_PER_SECOND);
}

/// Restarts all VMs at once while every backend server is in cold start.
#[test]
fn restarted_vms_discover_peers_before_they_use_cold_backend_servers() {
    let mut sim = Simulation::start(&["a", "a", "b", "b", "c"]);
    sim.configure(1, &[("web", 1)]);
    sim.put_backend(&BackendServer {
        cold_for: Millis(8_000),
        ..backend(1, "a")
    });
    sim.run(Millis(2_000));
    for vm in 0..5 {
        sim.restart(vm);
    }
    let mut placed = Vec::new();
    for port in 0..400_u16 {
        if let Some(tag) = sim.place(usize::from(port) % 5, 1_000 + port) {
            placed.push((sim.now, tag));
        }
        sim.run(Millis(10));
    }
    assert!(!placed.is_empty(), "some flows are served");
    assert!(max_per_second(&placed) <= MAX_PER_SECOND);
}

/// Returns the pairs of VMs in different groups.
fn partitions(groups: &[usize]) -> BTreeSet<(usize, usize)> {
    let vms = 0..groups.len();
    let pairs = vms.flat_map(|a| (a + 1..groups.len()).map(move |b| (a, b)));
    pairs.filter(|(a, b)| groups[*a] != groups[*b]).collect()
}

/// Adds `count` backend servers in cold start to the data centre `a`.
fn put_cold(sim: &mut Simulation, count: u64, cold_for: Millis) {
    for key in 1..=count {
        sim.put_backend(&BackendServer {
            cold_for,
            ..backend(key, "a")
        });
    }
}

/// Opens a flow at a VM and records the backend server that gets it.
fn open_flow(sim: &mut Simulation, vm: usize, number: u16, placed: &mut Vec<(Time, Tag)>) {
    let port = 1_000 + number;
    let Some(tag) = sim.place(vm, port) else {
        return;
    };
    sim.packet(vm, &acknowledgement(port, tag, 101, 500));
    placed.push((sim.now, tag));
}

/// Cuts a data centre of 20 VMs off from 40 others while its 40 backend servers
/// start. Its clients open 60 flows a second there, a third of what the backend
/// servers bear.
#[test]
fn all_vms_of_a_data_centre_that_is_cut_off_use_its_cold_backend_servers() {
    let data_centres: Vec<&str> = (0..60).map(|vm| ["a", "b", "c"][vm / 20]).collect();
    let groups: Vec<usize> = (0..60).map(|vm| usize::from(vm >= 20)).collect();
    let mut sim = Simulation::start(&data_centres);
    sim.configure(1, &[("web", 1)]);
    sim.run(Millis(3_000));
    sim.partitions = partitions(&groups);
    sim.run(Millis(1_500));
    put_cold(&mut sim, 40, Millis(3_000));
    sim.run(Millis(500));
    let mut placed = Vec::new();
    for port in 0..150_u16 {
        open_flow(&mut sim, usize::from(port) % 20, port, &mut placed);
        sim.run(Millis(15));
    }
    assert!(placed.len() >= 143, "{} of 150 flows", placed.len());
    assert!(max_per_second(&placed) <= MAX_PER_SECOND);
}

/// As above with seven VMs, and as many flows as the backend servers bear.
#[test]
fn a_small_data_centre_that_is_cut_off_uses_its_cold_backend_servers() {
    let mut sim = Simulation::start(&["a", "a", "a", "b", "b", "c", "c"]);
    sim.configure(1, &[("web", 1)]);
    sim.run(Millis(3_000));
    sim.partitions = partitions(&[0, 0, 0, 1, 1, 1, 1]);
    sim.run(Millis(1_500));
    put_cold(&mut sim, 6, Millis(3_000));
    sim.run(Millis(500));
    let mut placed = Vec::new();
    for port in 0..80_u16 {
        open_flow(&mut sim, usize::from(port) % 3, port, &mut placed);
        sim.run(Millis(30));
    }
    let served = placed.len();
    // Each backend server gets three flows in 1.25 s, twice.
    assert!(served >= 34, "{served} of 80 flows");
    assert!(max_per_second(&placed) <= MAX_PER_SECOND);
}

/// Backend servers of a data centre that has no VMs are not left unused.
#[test]
fn cold_backend_servers_of_a_data_centre_without_vms_are_used() {
    let mut sim = Simulation::start(&["b", "c"]);
    sim.configure(1, &[("web", 1)]);
    sim.run(Millis(3_000));
    put_cold(&mut sim, 4, Millis(3_000));
    sim.run(Millis(500));
    let placed = (0..20_u16).filter_map(|port| sim.place(usize::from(port) % 2, 1_000 + port));
    assert!(placed.count() >= 6);
}

/// Kills, restarts and partitions VMs, hubs among them, again and again while
/// all backend servers are cold and each VM gets more flows than they bear.
#[test]
fn the_cold_start_limit_holds_while_vms_come_and_go() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = [6, 30][seed as usize % 2];
        let data_centres: Vec<&str> = (0..vms).map(|vm| ["a", "b"][vm % 2]).collect();
        let mut sim = Simulation::start(&data_centres);
        sim.configure(1, &[("web", 1)]);
        sim.run(Millis(2_000));
        put_cold(&mut sim, 3, Millis(12_000));
        let mut placed = Vec::new();
        for port in 0..800_u16 {
            if port.is_multiple_of(40) {
                disturb(&mut sim, vms, &mut rng);
            }
            let vm = rng.random_range(0..vms);
            open_flow(&mut sim, vm, port, &mut placed);
            sim.run(Millis(10));
        }
        assert!(!placed.is_empty(), "some flows are served, seed {seed}");
        let most = max_per_second(&placed);
        assert!(most <= MAX_PER_SECOND, "{most} flows, seed {seed}");
    }
}

fn disturb(sim: &mut Simulation, vms: usize, rng: &mut SmallRng) {
    let first = rng.random_range(0..vms / 2);
    match rng.random_range(0..3) {
        0 => sim.restart(first),
        1 => sim.partitions.clear(),
        _ => {
            let groups: Vec<usize> = (0..vms).map(|_| rng.random_range(0..2)).collect();
            sim.partitions = partitions(&groups);
        }
    }
}
