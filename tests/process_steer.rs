//! Tests `dragonflytrack steer` processes against a fake of the users' platform.

use std::{
    path::Path,
    thread,
    time::Duration, //
};

use dragonflytrack_testkit::process::{
    Signal, http,
    steering::{
        SteeringSystem,
        WAIT_TIMEOUT,
        is_ready, //
    },
    wait_until,
};

/// How long the store is away before it is restored.
const OUTAGE: Duration = Duration::from_millis(1_200);

/// Time within which a change is in force after a restore.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// Starts two VMs and three backend servers; `name` is the directory of the
/// test's files.
fn start(name: &str) -> SteeringSystem {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    SteeringSystem::start(BINARY, &dir, 2, 3)
}

#[test]
fn flows_pass_through_any_vm_and_survive_its_crash() {
    let mut system = start("steer-death");
    let mut flows = system.open_flows(1_000, 30);
    assert!(system.all_flows_kept(0, &mut flows));
    assert!(system.all_flows_kept(1, &mut flows));
    if let Some(process) = &system.vms[0].process {
        process.signal(Signal::Kill);
    }
    assert!(system.all_flows_kept(1, &mut flows));
    system.start_vm(0);
    assert!(system.all_flows_kept(0, &mut flows));
}

#[test]
fn a_drain_keeps_open_flows_and_stops_new_ones() {
    let system = start("steer-drain");
    let mut flows = system.open_flows(1_000, 30);
    system.register_backend(0, "draining");
    let draining_name = &system.backends[0].name;
    let mut port = 2_000;
    wait_until(
        "new flows avoid the draining backend server",
        WAIT_TIMEOUT,
        || {
            port += 20;
            system
                .open_flows(port, 20)
                .iter()
                .all(|(_, name)| name != draining_name)
        },
    );
    assert!(system.all_flows_kept(0, &mut flows));
}

#[test]
fn removing_a_route_refuses_new_flows_on_each_vm() {
    let system = start("steer-route");
    system.open_flows(1_000, 4);
    system.put_configuration(2, false);
    let mut port = 2_000;
    for index in 0..2 {
        wait_until("new flows are refused", WAIT_TIMEOUT, || {
            port += 1;
            system.client.is_refused(system.packet_address(index), port)
        });
    }
}

#[test]
fn a_vm_that_starts_while_the_store_is_down_gets_its_state_from_a_peer() {
    let mut system = start("steer-store");
    let mut flows = system.open_flows(1_000, 20);
    system.store.set_down(true);
    if let Some(process) = &system.vms[1].process {
        process.signal(Signal::Kill);
    }
    system.start_vm(1);
    assert!(system.all_flows_kept(1, &mut flows));
    assert!(
        system
            .client
            .open_flow(system.packet_address(1), 3_001)
            .is_some()
    );
}

#[test]
fn a_drain_after_a_restore_of_the_store_takes_effect() {
    let mut system = start("steer-restore");
    let mut flows = system.open_flows(1_000, 20);
    let copy = system.store.copy();
    // Revisions that the copy does not have, so that the drain gets a lower one.
    for version in 2..30 {
        system.put_configuration(version, true);
        system.register_backend(0, "ready");
    }
    wait_until("the last version is in force", WAIT_TIMEOUT, || {
        metric(&system, "configuration_version 29")
    });
    system.store.set_down(true);
    thread::sleep(OUTAGE);
    system.store.restore(&copy);
    system.store.set_down(false);
    system.register_backend(0, "draining");
    let draining_name = system.backends[0].name.clone();
    let mut port = 2_000;
    wait_until("new flows avoid the server", CHANGE_TIMEOUT, || {
        port += 20;
        let flows = system.open_flows(port, 20);
        flows.iter().all(|(_, name)| *name != draining_name)
    });
    assert!(metric(&system, "configuration_version 29"));
    system.put_configuration(30, true);
    wait_until("the next version is in force", CHANGE_TIMEOUT, || {
        metric(&system, "configuration_version 30")
    });
    assert!(metric(&system, "store_era 2"));
    assert!(system.all_flows_kept(0, &mut flows));
    let mut process = system.vms[0].process.take().expect("the VM is not running");
    process.signal(Signal::Terminate);
    process.wait_timeout(WAIT_TIMEOUT);
    assert!(process.log().contains("\"event\":7017"));
}

/// Returns whether the metrics of the first VM contain a line.
fn metric(system: &SteeringSystem, line: &str) -> bool {
    let text = http::get(system.vms[0].metrics_address, "/metrics");
    text.is_ok_and(|t| t.body.contains(&format!("dragonflytrack_steering_{line}")))
}

#[test]
fn a_graceful_shutdown_fails_readiness_first_and_keeps_steering() {
    let mut system = start("steer-stop");
    let mut flows = system.open_flows(1_000, 10);
    let mut process = system.vms[0].process.take().expect("the VM is not running");
    process.signal(Signal::Terminate);
    let address = system.vms[0].readiness_address;
    wait_until("the VM is not ready", WAIT_TIMEOUT, || !is_ready(address));
    assert!(system.all_flows_kept(0, &mut flows));
    let status = process
        .wait_timeout(WAIT_TIMEOUT)
        .expect("the VM did not exit in time");
    assert!(status.success(), "{status}");
    assert!(process.log().contains("\"event\":1003"));
}

#[test]
fn metrics_count_the_decisions() {
    let system = start("steer-metrics");
    system.open_flows(1_000, 10);
    let text = http::get(system.vms[0].metrics_address, "/metrics")
        .expect("failed to read the metrics")
        .body;
    for expected in [
        "dragonflytrack_steering_decisions_total{event=\"7001\",detail=\"Ready\"} 5",
        "dragonflytrack_steering_ready 1",
        "dragonflytrack_steering_configuration_version 1",
        "dragonflytrack_steering_packets_total{outcome=\"forwarded\"}",
        "dragonflytrack_steering_store_calls_total",
    ] {
        assert!(text.contains(expected), "{expected} is not in\n{text}");
    }
}
