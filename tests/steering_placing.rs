//! Tests of the placement of new flows.

use std::collections::BTreeMap;

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            ServiceId, //
        },
        steering::{
            packet::Verdict,
            store::{
                BackendServer,
                Kind,
                Value, //
            },
            tag::Tag,
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
    opening, //
};

fn place(sim: &mut Simulation, vm: usize, port: u16) -> Option<Tag> {
    match sim.packet(vm, &opening(port, 0)) {
        Verdict::Forward(target) => Some(target.tag),
        Verdict::Reset(_) | Verdict::Drop(_) => None,
    }
}

/// Opens `flows` flows at `vms` VMs in turn and counts them by backend server.
fn open_flows(sim: &mut Simulation, vms: usize, flows: u16) -> BTreeMap<Tag, u32> {
    let mut counts = BTreeMap::new();
    for port in 0..flows {
        let vm = usize::from(port) % vms;
        if let Some(tag) = place(sim, vm, 1_000 + port) {
            sim.packet(vm, &acknowledgement(1_000 + port, tag, 101, 500));
            *counts.entry(tag).or_default() += 1;
        }
        sim.run(Millis(5));
    }
    counts
}

#[test]
fn flows_stay_in_their_data_centre_and_spread_evenly() {
    let mut sim = Simulation::start(&["a", "b"]);
    sim.configure(1, &[("web", 1)]);
    let local: Vec<Tag> = (1..=5).map(|k| sim.put_backend(&backend(k, "a"))).collect();
    for key in 6..=10 {
        sim.put_backend(&backend(key, "b"));
    }
    sim.run(Millis(200));
    let counts = open_flows(&mut sim, 1, 50);
    assert!(counts.keys().all(|tag| local.contains(tag)));
    assert!(counts.values().all(|n| *n == 10), "{counts:?}");
}

#[test]
fn flows_leave_a_data_centre_that_is_much_busier_than_the_others() {
    let mut sim = Simulation::start(&["a", "b"]);
    sim.configure(1, &[("web", 1)]);
    let local = sim.put_backend(&backend(1, "a"));
    for key in 2..=6 {
        sim.put_backend(&backend(key, "b"));
    }
    sim.run(Millis(200));
    let counts = open_flows(&mut sim, 1, 200);
    let local_flows = counts[&local];
    assert!((33..100).contains(&local_flows), "{counts:?}");
}

#[test]
fn vms_balance_by_the_flows_of_all_vms() {
    let mut sim = Simulation::start(&["a", "a", "a"]);
    sim.configure(1, &[("web", 1)]);
    for key in 1..=4 {
        sim.put_backend(&backend(key, "a"));
    }
    sim.run(Millis(300));
    // One VM alone loads the backend servers, then another one opens flows.
    open_flows(&mut sim, 1, 40);
    sim.put_backend(&backend(5, "a"));
    sim.run(Millis(600));
    let new = Tag::of(backend(5, "a").key);
    for port in 5_000..5_008 {
        assert_eq!(place(&mut sim, 1, port), Some(new));
        sim.packet(1, &acknowledgement(port, new, 101, 500));
    }
}

#[test]
fn a_traffic_split_is_exact_at_any_moment() {
    let mut sim = Simulation::start(&["a"]);
    sim.configure(1, &[("web", 90), ("shop", 10)]);
    sim.put_backend(&backend(1, "a"));
    let shop = sim.put_backend(&BackendServer {
        service: ServiceId::new("shop"),
        ..backend(2, "a")
    });
    sim.run(Millis(200));
    let mut placed = 0.0;
    for port in 0..500_u16 {
        if place(&mut sim, 0, 1_000 + port) == Some(shop) {
            placed += 1.0;
        }
        let expected = f64::from(port + 1) * 0.1;
        assert!(
            (placed - expected).abs() <= 1.0,
            "{placed} of {expected} after {port}"
        );
    }
}

#[test]
fn a_share_without_backend_servers_goes_to_the_other_service() {
    let mut sim = Simulation::start(&["a"]);
    sim.configure(1, &[("web", 50), ("shop", 50)]);
    sim.put_backend(&backend(1, "a"));
    sim.run(Millis(200));
    assert!((0..20).all(|port| place(&mut sim, 0, 1_000 + port).is_some()));
}

#[test]
fn an_evacuated_data_centre_gets_no_flow_and_is_cold_when_it_returns() {
    let mut sim = Simulation::start(&["a"]);
    sim.configure(1, &[("web", 1)]);
    let local = sim.put_backend(&backend(1, "a"));
    let remote = sim.put_backend(&backend(2, "b"));
    let out = Value::Evacuation(DataCentreId::new("a"));
    sim.store.put(Kind::Evacuations, "a", Some(out));
    sim.run(Millis(200));
    assert!((0..20).all(|port| place(&mut sim, 0, 1_000 + port) == Some(remote)));
    sim.store.remove(Kind::Evacuations, "a");
    sim.run(Millis(200));
    assert!((0..20).all(|port| place(&mut sim, 0, 2_000 + port) == Some(remote)));
    sim.run(Millis(3_000));
    assert!((0..20).any(|port| place(&mut sim, 0, 3_000 + port) == Some(local)));
}

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
    let pairs = (0..7).flat_map(|a| (a + 1..7).map(move |b| (a, b)));
    sim.partitions = pairs.filter(|(a, b)| groups[*a] != groups[*b]).collect();
    sim.run(Millis(1_500));
    for key in 1..=4 {
        sim.put_backend(&BackendServer {
            cold_for: Millis(5_000),
            ..backend(key, "a")
        });
    }
    sim.run(Millis(100));
    let mut placed = Vec::new();
    for port in 0..600_u16 {
        let vm = usize::from(port) % 7;
        if let Some(tag) = place(&mut sim, vm, 1_000 + port) {
            placed.push((sim.now, tag));
        }
        sim.run(Millis(5));
    }
    assert!(!placed.is_empty(), "some flows are served");
    max_per_second(&placed)
}

#[test]
fn backend_servers_in_cold_start_get_a_few_flows_a_second_over_all_vms() {
    const MAX_PER_SECOND: usize = 5;
    assert!(cold_start(&[0; 7]) <= MAX_PER_SECOND);
}

#[test]
fn the_cold_start_limit_holds_while_vms_are_partitioned() {
    const MAX_PER_SECOND: usize = 5;
    assert!(cold_start(&[0, 0, 0, 1, 1, 1, 1]) <= MAX_PER_SECOND);
    assert!(cold_start(&[0, 0, 1, 1, 2, 2, 2]) <= MAX_PER_SECOND);
    assert!(cold_start(&[0, 1, 2, 3, 4, 4, 4]) <= MAX_PER_SECOND);
}

/// Restarts all VMs at once while every backend server is in cold start.
#[test]
fn restarted_vms_discover_peers_before_they_use_cold_backend_servers() {
    const MAX_PER_SECOND: usize = 5;
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
        if let Some(tag) = place(&mut sim, usize::from(port) % 5, 1_000 + port) {
            placed.push((sim.now, tag));
        }
        sim.run(Millis(10));
    }
    assert!(!placed.is_empty(), "some flows are served");
    assert!(max_per_second(&placed) <= MAX_PER_SECOND);
}

#[test]
fn a_warm_backend_server_is_preferred_to_a_cold_one() {
    let mut sim = Simulation::start(&["a"]);
    sim.configure(1, &[("web", 1)]);
    sim.put_backend(&BackendServer {
        cold_for: Millis(2_000),
        ..backend(1, "a")
    });
    let warm = sim.put_backend(&backend(2, "b"));
    sim.run(Millis(200));
    assert!((0..50).all(|port| place(&mut sim, 0, 1_000 + port) == Some(warm)));
}

#[test]
fn keys_with_the_same_tag_are_not_mixed_up() {
    let mut by_tag = BTreeMap::new();
    let mut collision = None;
    for key in 0..400_000_u64 {
        let tag = Tag::of(dragonflytrack::core::steering::tag::BackendKey(key));
        if let Some(other) = by_tag.insert(tag, key) {
            collision = Some((other, key));
            break;
        }
    }
    let (first, second) = collision.expect("400,000 keys share some of 2^32 tags");
    let mut sim = Simulation::start(&["a"]);
    sim.configure(1, &[("web", 1)]);
    sim.put_backend(&backend(first, "a"));
    sim.put_backend(&backend(second, "a"));
    sim.run(Millis(200));
    for port in 1_000..1_050 {
        let verdict = sim.packet(0, &opening(port, 0));
        let Verdict::Forward(target) = verdict else {
            panic!("{verdict:?}");
        };
        assert_eq!(target.key.0, first);
    }
}
