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
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend,
    data,
    opening, //
};

/// Opens `flows` flows at `vms` VMs in turn and counts them by backend server.
fn open_flows(sim: &mut Simulation, vms: usize, flows: u16) -> BTreeMap<Tag, u32> {
    let mut counts = BTreeMap::new();
    for port in 0..flows {
        let vm = usize::from(port) % vms;
        if let Some(tag) = sim.place(vm, 1_000 + port) {
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
        assert_eq!(sim.place(1, port), Some(new));
        sim.packet(1, &acknowledgement(port, new, 101, 500));
    }
}

/// Answers a request load where each client opens a flow of its own: what counts are
/// the requests in progress, not the flows that are open.
#[test]
fn an_outstanding_request_outweighs_many_idle_flows() {
    let mut sim = Simulation::start(&["a"]);
    sim.configure(1, &[("web", 1)]);
    let idle = sim.put_backend(&backend(1, "a"));
    sim.run(Millis(200));
    open_flows(&mut sim, 1, 12);
    let busy = sim.put_backend(&backend(2, "a"));
    sim.run(Millis(500));
    assert_eq!(sim.place(0, 2_000), Some(busy));
    sim.packet(0, &acknowledgement(2_000, busy, 101, 500));
    sim.packet(0, &data(2_000, busy, 101, 500));
    assert_eq!(sim.place(0, 2_001), Some(idle));
}

/// Guards against VMs that load the same backend servers and learn of each other's
/// requests only when these have ended.
#[test]
fn a_small_data_centre_shares_its_loads_within_the_time_of_a_request() {
    let mut sim = Simulation::start(&["a", "a"]);
    sim.configure(1, &[("web", 1)]);
    let tag = sim.put_backend(&backend(1, "a"));
    sim.run(Millis(600));
    for port in 1..=10 {
        sim.place(0, port);
        sim.run(Millis(135));
        let load = sim.vm(1).remote_loads().load(tag);
        assert_eq!(load.waiting, 1, "flow {port}");
        sim.packet(0, &acknowledgement(port, tag, 101, 500));
        sim.run(Millis(140));
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
        if sim.place(0, 1_000 + port) == Some(shop) {
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
    assert!((0..20).all(|port| sim.place(0, 1_000 + port).is_some()));
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
    assert!((0..20).all(|port| sim.place(0, 1_000 + port) == Some(remote)));
    sim.store.remove(Kind::Evacuations, "a");
    sim.run(Millis(200));
    assert!((0..20).all(|port| sim.place(0, 2_000 + port) == Some(remote)));
    sim.run(Millis(3_000));
    assert!((0..20).any(|port| sim.place(0, 3_000 + port) == Some(local)));
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
    assert!((0..50).all(|port| sim.place(0, 1_000 + port) == Some(warm)));
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
