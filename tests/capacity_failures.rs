//! Slots while VMs crash, pause, restart or are partitioned.

use dragonflytrack::{
    core::{
        configuration::Configuration,
        names::{
            BackendId,
            ServiceId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::{
    sample,
    slots::{
        Policy,
        SlotFleet, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const SERVICE_TIME: Millis = Millis(300);
const VMS: usize = 6;

/// The maximum time until the slots of a crashed owner are used again.
const TAKEOVER_LIMIT: Millis = Millis::from_secs(5);

fn cfg() -> Configuration {
    sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES)
}

fn service() -> ServiceId {
    ServiceId::new("bench-diary")
}

fn load_for(fleet: &mut SlotFleet, span: Millis) {
    fleet.load(&service(), 48.0, SERVICE_TIME, span);
}

fn warm_fleet(seed: u64) -> SlotFleet {
    let mut fleet = SlotFleet::open(&cfg(), VMS / 3, seed);
    fleet.run_for(Millis::from_secs(4));
    load_for(&mut fleet, Millis::from_secs(15));
    fleet
}

fn over_slots(fleet: &SlotFleet) -> u64 {
    fleet.sum(|b| b.over_slots)
}

fn owned_by(fleet: &SlotFleet, vm: usize) -> Vec<BackendId> {
    let backends = fleet
        .cfg
        .backends_of(&ServiceId::new("bench-diary"))
        .map(|b| b.name.clone())
        .collect::<Vec<_>>();
    backends
        .into_iter()
        .filter(|b| fleet.owners(b) == [vm])
        .collect()
}

/// Returns how long after `since` all of `backends` have a new owner and have
/// started a request.
fn slowest_start(fleet: &mut SlotFleet, backends: &[BackendId], since: Time) -> Millis {
    let mut slowest = Millis(0);
    let mut waiting = backends.to_vec();
    while !waiting.is_empty() && fleet.now.since(since) < Millis::from_secs(20) {
        load_for(fleet, Millis(50));
        waiting.retain(|b| {
            let start = fleet.last_start.get(b).copied().unwrap_or_default();
            // Loans from the dead owner can still be used until they end, so a
            // start alone does not show a takeover.
            let is_new_owner = !fleet.owners(b).is_empty() && start > since;
            if is_new_owner {
                slowest = slowest.max(fleet.now.since(since));
            }
            !is_new_owner
        });
    }
    assert!(waiting.is_empty(), "{waiting:?} were not used again");
    slowest
}

#[test]
fn slots_of_a_dead_vm_are_used_again_in_time() {
    for seed in 1..=2 {
        let mut fleet = warm_fleet(seed);
        for vm in [0, 3, 4] {
            let backends = owned_by(&fleet, vm);
            assert!(!backends.is_empty(), "VM {vm} owns nothing");
            let since = fleet.now;
            fleet.kill(vm);
            let slowest = slowest_start(&mut fleet, &backends, since);
            println!(
                "seed {seed}: VM {vm} with {} backend servers, {slowest}",
                backends.len()
            );
            assert!(slowest <= TAKEOVER_LIMIT);
            fleet.start(vm);
            load_for(&mut fleet, Millis::from_secs(10));
        }
        assert_eq!(over_slots(&fleet), 0);
    }
}

#[test]
fn slots_are_used_again_after_all_vms_restart() {
    let mut fleet = warm_fleet(5);
    let since = fleet.now;
    for vm in 0..VMS {
        fleet.start(vm);
    }
    let names: Vec<_> = fleet
        .cfg
        .backends_of(&service())
        .map(|b| b.name.clone())
        .collect();
    let slowest = slowest_start(&mut fleet, &names, since);
    println!("all restarted: {slowest}");
    assert!(slowest <= TAKEOVER_LIMIT);
    assert_eq!(over_slots(&fleet), 0);
}

#[test]
fn a_graceful_shutdown_hands_slots_over() {
    let mut fleet = warm_fleet(6);
    let backends = owned_by(&fleet, 2);
    let refused = fleet.tally.refused.len();
    fleet.stop(2);
    let since = fleet.now;
    let slowest = slowest_start(&mut fleet, &backends, since);
    println!(
        "handed over: {slowest}, {} refused",
        fleet.tally.refused.len() - refused
    );
    assert!(slowest <= Millis::from_secs(3));
    assert_eq!(over_slots(&fleet), 0);
}

#[test]
fn a_data_centre_that_is_cut_off_serves_on() {
    let mut fleet = warm_fleet(7);
    for inside in [0, 1] {
        for outside in 2..VMS {
            fleet
                .links
                .cut(&format!("vm{inside}"), &format!("vm{outside}"));
        }
    }
    let names: Vec<_> = fleet
        .cfg
        .backends_of(&service())
        .map(|b| b.name.clone())
        .collect();
    for _ in 0..24 {
        load_for(&mut fleet, Millis(500));
        for name in &names {
            assert_eq!(fleet.owners(name).len(), 1, "{name} at {}", fleet.now);
        }
    }
    fleet.links.heal();
    load_for(&mut fleet, Millis::from_secs(10));
    assert_eq!(over_slots(&fleet), 0);
}

#[test]
fn a_one_way_cut_makes_no_second_owner() {
    for (from, to) in [(0, 1), (1, 0), (0, 2), (4, 1)] {
        let mut fleet = warm_fleet(8);
        fleet
            .links
            .cut_one_way(format!("vm{from}"), format!("vm{to}"));
        for _ in 0..24 {
            load_for(&mut fleet, Millis(500));
            for backend in fleet.cfg.backends.clone() {
                assert!(fleet.owners(&backend.name).len() <= 1);
            }
        }
        let answered = fleet.tally.answered;
        load_for(&mut fleet, Millis::from_secs(5));
        println!(
            "cut {from}->{to}: {} answered in 5 s",
            fleet.tally.answered - answered
        );
        assert_eq!(over_slots(&fleet), 0);
    }
}

#[test]
fn slots_of_long_requests_stay_busy_after_their_vm_dies() {
    const LONG: Millis = Millis::from_secs(12);
    for seed in [9, 10] {
        let mut fleet = warm_fleet(seed);
        fleet.run_for(Millis::from_secs(2));
        for _ in 0..30 {
            fleet.request(3, &service(), LONG);
            fleet.run_for(Millis(5));
        }
        // Wait until the requests have been announced as long-running.
        fleet.run_for(Millis::from_secs(4));
        let running = fleet.in_flight(&service());
        fleet.kill(3);
        load_for(&mut fleet, Millis::from_secs(12));
        println!("seed {seed}: {running} long requests outlive their VM");
        assert!(running >= 20);
        assert_eq!(over_slots(&fleet), 0);
    }
}

#[test]
fn vms_of_one_data_centre_that_do_not_hear_each_other_share_no_backend_server() {
    let mut fleet = warm_fleet(11);
    fleet.links.cut("vm0", "vm1");
    for _ in 0..24 {
        load_for(&mut fleet, Millis(500));
        for backend in fleet.cfg.backends.clone() {
            let owners = fleet.owners(&backend.name);
            assert!(owners.len() <= 1, "{} has {owners:?}", backend.name);
        }
    }
    assert_eq!(over_slots(&fleet), 0);
}

#[test]
fn requests_that_a_paused_vm_sends_late_start_nothing() {
    for seed in [12, 13] {
        let mut fleet = warm_fleet(seed);
        fleet.run_for(Millis::from_secs(2));
        for _ in 0..12 {
            fleet.request(2, &service(), SERVICE_TIME);
        }
        let too_late = fleet.tally.too_late;
        fleet.freeze(2, Millis::from_secs(20));
        fleet.load(&service(), 80.0, SERVICE_TIME, Millis::from_secs(22));
        let too_late = fleet.tally.too_late - too_late;
        println!("seed {seed}: {too_late} too late");
        assert!(too_late > 0);
        assert_eq!(over_slots(&fleet), 0);
    }
}

/// Injects one random fault.
fn inject_fault(fleet: &mut SlotFleet, rng: &mut SmallRng) {
    let vm = rng.random_range(0..VMS);
    let other = rng.random_range(0..VMS);
    match rng.random_range(0..7) {
        0 => fleet.kill(vm),
        1 | 2 => fleet.freeze(vm, Millis(rng.random_range(500..20_000))),
        3 => fleet.start(vm),
        4 if rng.random_bool(0.5) => fleet.links.cut(&format!("vm{vm}"), &format!("vm{other}")),
        4 => fleet
            .links
            .cut_one_way(format!("vm{vm}"), format!("vm{other}")),
        5 => fleet.links.heal(),
        _ => fleet.vms[vm].skew = rng.random_range(-250..=250),
    }
}

fn random_history(policy: Policy, seed: u64) -> SlotFleet {
    let mut fleet = warm_fleet(seed);
    fleet.policy = policy;
    fleet.links.loss = 0.05;
    fleet.links.duplication = 0.05;
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..14 {
        inject_fault(&mut fleet, &mut rng);
        // At least one VM must accept requests.
        if (0..VMS).all(|vm| !fleet.is_serving(vm)) {
            fleet.start(0);
        }
        let span = Millis(rng.random_range(200..6_000));
        load_for(&mut fleet, span);
    }
    fleet
}

fn check_histories(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let fleet = random_history(Policy::Leases, seed);
        println!(
            "seed {seed}: {} answered, {} refused, {} too late",
            fleet.tally.answered,
            fleet.tally.refused.len(),
            fleet.tally.too_late,
        );
        assert_eq!(over_slots(&fleet), 0, "seed {seed}");
    }
}

#[test]
fn round_robin_exceeds_slots_in_a_random_history() {
    let fleet = random_history(Policy::RoundRobin, 1);
    println!("round robin: {} over slots", over_slots(&fleet));
    assert!(over_slots(&fleet) > 0);
}

#[test]
fn no_backend_server_gets_more_than_its_slots_in_random_histories() {
    check_histories(1..=4);
}

#[test]
fn no_backend_server_gets_more_than_its_slots_in_more_random_histories() {
    check_histories(5..=8);
}
