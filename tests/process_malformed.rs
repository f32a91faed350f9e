//! `dragonflytrack steer` processes beside other programs that write to the store.

use std::{
    path::Path,
    time::Duration, //
};

use dragonflytrack_testkit::{
    malformed::{
        server_text,
        unreadable_texts,
        wrong_texts, //
    },
    process::{
        Signal, http,
        steering::{
            SteeringSystem,
            WAIT_TIMEOUT, //
        },
        wait_until,
    },
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// Kinds of objects that VMs read.
const KINDS: [&str; 4] = ["servers", "evacuations", "config", "dragonflytrack-vms"];

/// Writes malformed objects of all kinds to the store, each under a name of its own.
fn write_malformed(system: &SteeringSystem) {
    let spec = system.backends[0].spec("web", "a", "ready");
    let mut texts = unreadable_texts();
    for field in ["address", "concurrency", "state"] {
        let wrong = wrong_texts(field).into_iter();
        texts.extend(wrong.map(|text| server_text(&spec, field, Some(&text))));
    }
    for (number, text) in texts.iter().enumerate() {
        for kind in KINDS {
            let name = format!("odd-{:06x}", 0xdd_0000 + number);
            system.store.put_text(kind, &name, text);
        }
    }
}

/// Waits until no VM sends new flows to the first backend server.
fn wait_until_unused(system: &SteeringSystem, first_port: u16) {
    let name = &system.backends[0].name;
    let mut port = first_port;
    wait_until("new flows avoid the backend server", WAIT_TIMEOUT, || {
        port += 20;
        let flows = system.open_flows(port, 20);
        flows.iter().all(|(_, used)| used != name)
    });
}

/// After one malformed object no VM followed the backend servers any more, and none
/// that started became ready (review/1 and review/3).
#[test]
fn vms_follow_the_backend_servers_beside_malformed_objects() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("steer-malformed");
    let mut system = SteeringSystem::start(BINARY, &dir, 2, 3);
    let mut flows = system.open_flows(1_000, 20);
    write_malformed(&system);
    system.register_backend(0, "draining");
    wait_until_unused(&system, 2_000);
    for index in 0..2 {
        let vm = &mut system.vms[index];
        let process = vm.process.as_mut().expect("the VM is not running");
        assert!(
            process.wait_timeout(Duration::ZERO).is_none(),
            "VM {index} ended by itself"
        );
        let text = http::get(vm.metrics_address, "/metrics").expect("no metrics");
        let counts_backends = "event=\"7029\",detail=\"backend_servers\"";
        let reads = text.body.contains("answer=\"changes\"");
        assert!(
            text.body.contains(counts_backends) || !reads,
            "{}",
            text.body
        );
    }
    for vm in &system.vms {
        if let Some(process) = &vm.process {
            process.signal(Signal::Kill);
        }
    }
    // Neither has a peer that still knows what was in the store before.
    system.vms[1].process = None;
    system.start_vm(0);
    system.start_vm(1);
    wait_until_unused(&system, 6_000);
    assert!(system.all_flows_kept(0, &mut flows));
    let log = system.vms[0].process.as_ref().map(|p| p.log());
    assert!(log.is_some_and(|l| l.contains("\"event\":7029") && l.contains("odd-dd0000")));
}
