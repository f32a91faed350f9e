//! `dragonflytrack steer` as processes, against a stand-in of the users'
//! platform.

use std::path::Path;

use dragonflytrack_testkit::process::{
    Signal, http,
    steering::{
        LIMIT,
        SteeringSystem,
        is_ready, //
    },
    wait_until,
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

fn start(name: &str) -> SteeringSystem {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    SteeringSystem::start(BINARY, &dir, 2, 3)
}

#[test]
fn flows_pass_through_any_vm_and_outlast_its_death() {
    let mut world = start("steer-death");
    let mut flows = world.open(1_000, 30);
    assert!(world.all_kept(0, &mut flows));
    assert!(world.all_kept(1, &mut flows));
    if let Some(child) = &world.vms[0].child {
        child.signal(Signal::Kill);
    }
    assert!(world.all_kept(1, &mut flows));
    world.run(0);
    assert!(world.all_kept(0, &mut flows));
}

#[test]
fn a_drain_keeps_open_flows_and_stops_new_ones() {
    let world = start("steer-drain");
    let mut flows = world.open(1_000, 30);
    world.register(0, "draining");
    let left = &world.backends[0].name;
    let mut port = 2_000;
    wait_until("new flows go elsewhere", LIMIT, || {
        port += 20;
        world.open(port, 20).iter().all(|(_, name)| name != left)
    });
    assert!(world.all_kept(0, &mut flows));
}

#[test]
fn a_route_that_is_removed_refuses_new_flows_on_each_vm() {
    let world = start("steer-route");
    world.open(1_000, 4);
    world.configure(2, false);
    let mut port = 2_000;
    for at in 0..2 {
        wait_until("the route is gone", LIMIT, || {
            port += 1;
            world.client.is_refused(world.vm(at), port)
        });
    }
}

#[test]
fn a_vm_that_starts_while_the_store_is_down_learns_from_the_other() {
    let mut world = start("steer-store");
    let mut flows = world.open(1_000, 20);
    world.store.set_down(true);
    if let Some(child) = &world.vms[1].child {
        child.signal(Signal::Kill);
    }
    world.run(1);
    assert!(world.all_kept(1, &mut flows));
    assert!(world.client.connect(world.vm(1), 3_001).is_some());
}

#[test]
fn a_planned_stop_leaves_the_rotation_first_and_steers_on() {
    let mut world = start("steer-stop");
    let mut flows = world.open(1_000, 10);
    let mut child = world.vms[0].child.take().expect("the VM runs");
    child.signal(Signal::Terminate);
    let ready = world.vms[0].ready;
    wait_until("the VM is not ready", LIMIT, || !is_ready(ready));
    assert!(world.all_kept(0, &mut flows));
    let status = child.wait(LIMIT).expect("the VM ends");
    assert!(status.success(), "{status}");
    assert!(child.log().contains("\"event\":1003"));
}

#[test]
fn metrics_tell_what_was_decided() {
    let world = start("steer-metrics");
    world.open(1_000, 10);
    let text = http::get(world.vms[0].metrics, "/metrics")
        .expect("metrics")
        .body;
    for wanted in [
        "dragonflytrack_steering_decisions_total{event=\"7001\",detail=\"Ready\"} 5",
        "dragonflytrack_steering_ready 1",
        "dragonflytrack_steering_configuration_version 1",
        "dragonflytrack_steering_packets_total{outcome=\"forwarded\"}",
        "dragonflytrack_steering_store_calls_total",
    ] {
        assert!(text.contains(wanted), "{wanted} is not in\n{text}");
    }
}
