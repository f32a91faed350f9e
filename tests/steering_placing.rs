//! Which backend servers get new flows, and how many.

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
    World,
    acknowledgement,
    backend,
    opening, //
};

fn place(world: &mut World, vm: usize, port: u16) -> Option<Tag> {
    match world.packet(vm, &opening(port, 0)) {
        Verdict::Forward(target) => Some(target.tag),
        Verdict::Reset(_) | Verdict::Drop(_) => None,
    }
}

/// Opens `flows` flows, `vms` taking turns, and counts them by backend server.
fn spread(world: &mut World, vms: usize, flows: u16) -> BTreeMap<Tag, u32> {
    let mut counts = BTreeMap::new();
    for port in 0..flows {
        let vm = usize::from(port) % vms;
        if let Some(tag) = place(world, vm, 1_000 + port) {
            world.packet(vm, &acknowledgement(1_000 + port, tag, 101, 500));
            *counts.entry(tag).or_default() += 1;
        }
        world.run(Millis(5));
    }
    counts
}

#[test]
fn flows_stay_in_their_data_centre_and_spread_evenly() {
    let mut world = World::start(&["a", "b"]);
    world.configure(1, &[("web", 1)]);
    let home: Vec<Tag> = (1..=5)
        .map(|k| world.put_backend(&backend(k, "a")))
        .collect();
    for key in 6..=10 {
        world.put_backend(&backend(key, "b"));
    }
    world.run(Millis(200));
    let counts = spread(&mut world, 1, 50);
    assert!(counts.keys().all(|tag| home.contains(tag)));
    assert!(counts.values().all(|n| *n == 10), "{counts:?}");
}

#[test]
fn flows_leave_a_data_centre_that_is_much_busier_than_the_others() {
    let mut world = World::start(&["a", "b"]);
    world.configure(1, &[("web", 1)]);
    let home = world.put_backend(&backend(1, "a"));
    for key in 2..=6 {
        world.put_backend(&backend(key, "b"));
    }
    world.run(Millis(200));
    let counts = spread(&mut world, 1, 200);
    let at_home = counts[&home];
    assert!((33..100).contains(&at_home), "{counts:?}");
}

#[test]
fn vms_balance_over_each_others_flows() {
    let mut world = World::start(&["a", "a", "a"]);
    world.configure(1, &[("web", 1)]);
    for key in 1..=4 {
        world.put_backend(&backend(key, "a"));
    }
    world.run(Millis(300));
    // One VM alone fills the backend servers, then another opens flows.
    spread(&mut world, 1, 40);
    world.put_backend(&backend(5, "a"));
    world.run(Millis(600));
    let fresh = Tag::of(backend(5, "a").key);
    for port in 5_000..5_008 {
        assert_eq!(place(&mut world, 1, port), Some(fresh));
        world.packet(1, &acknowledgement(port, fresh, 101, 500));
    }
}

#[test]
fn a_traffic_split_is_exact_at_any_moment() {
    let mut world = World::start(&["a"]);
    world.configure(1, &[("web", 90), ("shop", 10)]);
    world.put_backend(&backend(1, "a"));
    let shop = world.put_backend(&BackendServer {
        service: ServiceId::new("shop"),
        ..backend(2, "a")
    });
    world.run(Millis(200));
    let mut seen = 0.0;
    for port in 0..500_u16 {
        if place(&mut world, 0, 1_000 + port) == Some(shop) {
            seen += 1.0;
        }
        let due = f64::from(port + 1) * 0.1;
        assert!((seen - due).abs() <= 1.0, "{seen} of {due} after {port}");
    }
}

#[test]
fn a_share_without_backend_servers_goes_to_the_other_service() {
    let mut world = World::start(&["a"]);
    world.configure(1, &[("web", 50), ("shop", 50)]);
    world.put_backend(&backend(1, "a"));
    world.run(Millis(200));
    assert!((0..20).all(|port| place(&mut world, 0, 1_000 + port).is_some()));
}

#[test]
fn a_data_centre_that_is_out_gets_no_flow_and_counts_as_cold_when_it_returns() {
    let mut world = World::start(&["a"]);
    world.configure(1, &[("web", 1)]);
    let home = world.put_backend(&backend(1, "a"));
    let away = world.put_backend(&backend(2, "b"));
    let out = Value::Evacuation(DataCentreId::new("a"));
    world.store.put(Kind::Evacuations, "a", Some(out));
    world.run(Millis(200));
    assert!((0..20).all(|port| place(&mut world, 0, 1_000 + port) == Some(away)));
    world.store.remove(Kind::Evacuations, "a");
    world.run(Millis(200));
    assert!((0..20).all(|port| place(&mut world, 0, 2_000 + port) == Some(away)));
    world.run(Millis(3_000));
    assert!((0..20).any(|port| place(&mut world, 0, 3_000 + port) == Some(home)));
}

/// The most flows that one backend server got in any second.
fn most_in_a_second(at: &[(Time, Tag)]) -> usize {
    let within = |(from, tag): &(Time, Tag)| {
        at.iter()
            .filter(|(t, other)| other == tag && t >= from && t.since(*from) < Millis(1_000))
            .count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// The load: all backend servers of a service start at once while seven VMs get
/// 200 new flows a second.
fn cold_start(groups: &[usize]) -> usize {
    let mut world = World::start(&["a", "a", "a", "b", "b", "c", "c"]);
    world.configure(1, &[("web", 1)]);
    world.run(Millis(1_000));
    // Each VM hears those of its own group only.
    let pairs = (0..7).flat_map(|a| (a + 1..7).map(move |b| (a, b)));
    world.cuts = pairs.filter(|(a, b)| groups[*a] != groups[*b]).collect();
    world.run(Millis(1_500));
    for key in 1..=4 {
        world.put_backend(&BackendServer {
            cold_for: Millis(5_000),
            ..backend(key, "a")
        });
    }
    world.run(Millis(100));
    let mut placed = Vec::new();
    for port in 0..600_u16 {
        let vm = usize::from(port) % 7;
        if let Some(tag) = place(&mut world, vm, 1_000 + port) {
            placed.push((world.now, tag));
        }
        world.run(Millis(5));
    }
    assert!(!placed.is_empty(), "some flows are served");
    most_in_a_second(&placed)
}

#[test]
fn backend_servers_in_cold_start_get_a_few_flows_a_second_over_all_vms() {
    const BURST: usize = 5;
    assert!(cold_start(&[0; 7]) <= BURST);
}

#[test]
fn the_limit_of_cold_starts_holds_while_vms_do_not_hear_each_other() {
    const BURST: usize = 5;
    assert!(cold_start(&[0, 0, 0, 1, 1, 1, 1]) <= BURST);
    assert!(cold_start(&[0, 0, 1, 1, 2, 2, 2]) <= BURST);
    assert!(cold_start(&[0, 1, 2, 3, 4, 4, 4]) <= BURST);
}

/// The load: all VMs start again at once while every backend server is in cold
/// start.
#[test]
fn vms_that_have_just_started_listen_before_they_warm_backend_servers() {
    const BURST: usize = 5;
    let mut world = World::start(&["a", "a", "b", "b", "c"]);
    world.configure(1, &[("web", 1)]);
    world.put_backend(&BackendServer {
        cold_for: Millis(8_000),
        ..backend(1, "a")
    });
    world.run(Millis(2_000));
    for vm in 0..5 {
        world.restart(vm);
    }
    let mut placed = Vec::new();
    for port in 0..400_u16 {
        if let Some(tag) = place(&mut world, usize::from(port) % 5, 1_000 + port) {
            placed.push((world.now, tag));
        }
        world.run(Millis(10));
    }
    assert!(!placed.is_empty(), "some flows are served");
    assert!(most_in_a_second(&placed) <= BURST);
}

#[test]
fn a_warm_backend_server_goes_before_a_cold_one() {
    let mut world = World::start(&["a"]);
    world.configure(1, &[("web", 1)]);
    world.put_backend(&BackendServer {
        cold_for: Millis(2_000),
        ..backend(1, "a")
    });
    let warm = world.put_backend(&backend(2, "b"));
    world.run(Millis(200));
    assert!((0..50).all(|port| place(&mut world, 0, 1_000 + port) == Some(warm)));
}

#[test]
fn two_keys_with_one_tag_do_not_mix() {
    let mut by_tag = BTreeMap::new();
    let mut clash = None;
    for key in 0..400_000_u64 {
        let tag = Tag::of(dragonflytrack::core::steering::tag::BackendKey(key));
        if let Some(other) = by_tag.insert(tag, key) {
            clash = Some((other, key));
            break;
        }
    }
    let (first, second) = clash.expect("400,000 keys share some of 2^32 tags");
    let mut world = World::start(&["a"]);
    world.configure(1, &[("web", 1)]);
    world.put_backend(&backend(first, "a"));
    world.put_backend(&backend(second, "a"));
    world.run(Millis(200));
    for port in 1_000..1_050 {
        let verdict = world.packet(0, &opening(port, 0));
        let Verdict::Forward(target) = verdict else {
            panic!("{verdict:?}");
        };
        assert_eq!(target.key.0, first);
    }
}
