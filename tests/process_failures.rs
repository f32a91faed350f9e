//! Entry VMs and the platform die, freeze and come back under load.

use std::{
    thread,
    time::Duration, //
};

use dragonflytrack_emulator::callers::Summary;
use dragonflytrack_testkit::process::{
    Signal,
    Spec,
    System,
    http,
    wait_until, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

const LOAD: [&str; 4] = ["--flows", "30", "--rate", "20"];

/// How long callers may take beyond their duration.
const FINISH_LIMIT: Duration = Duration::from_secs(60);

/// How long the fabric's list lags behind a death.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Keeps flows and requests going while `change` happens.
fn under_load(system: &mut System, duration: &str, change: impl FnOnce(&mut System)) -> Summary {
    let load = [&LOAD[..], &["--duration", duration]].concat();
    let callers = system.start_callers(1, &load);
    thread::sleep(Duration::from_millis(1_500));
    change(system);
    callers.finish(FINISH_LIMIT)
}

fn assert_kept(summary: &Summary) {
    assert!(summary.is_clean(), "{:#?}", summary.faults);
    assert_eq!((summary.kept, summary.given_up), (60, 0), "{summary:?}");
    assert_eq!(summary.flows_refused, 0, "{summary:?}");
}

#[test]
fn a_killed_entry_vm_breaks_no_flow_and_doubles_no_request() {
    let mut system = System::start(BINARY, &Spec::default());
    let summary = under_load(&mut system, "7000", |system| {
        for at in [0, 3] {
            system.kill_vm(at);
            thread::sleep(LIST_LAG);
            system.set_fabric_targets(|vm| vm.process.is_some());
            thread::sleep(LIST_LAG);
            system.start_vm(at);
            system.wait_until_ready();
            system.set_fabric_targets(|_| true);
        }
    });
    assert_kept(&summary);
    assert_eq!(summary.refused, 0, "{summary:?}");
}

#[test]
fn a_frozen_entry_vm_blocks_no_other_and_wakes_without_harm() {
    let mut system = System::start(BINARY, &Spec::default());
    let summary = under_load(&mut system, "9000", |system| {
        system.signal_vm(0, Signal::Stop);
        thread::sleep(LIST_LAG);
        let frozen = system.vms[0].id.clone();
        system.set_fabric_targets(|vm| vm.id != frozen);
        // Longer than a member's timeout of four seconds.
        thread::sleep(Duration::from_secs(5));
        for vm in &system.vms[1..] {
            let started = std::time::Instant::now();
            assert!(vm.is_ready(), "{} does not answer", vm.id);
            assert!(
                started.elapsed() < Duration::from_secs(1),
                "{} is slow",
                vm.id
            );
        }
        system.signal_vm(0, Signal::Continue);
        system.set_fabric_targets(|_| true);
    });
    assert_kept(&summary);
}

#[test]
fn entry_vms_serve_and_start_while_the_platform_is_gone() {
    let mut system = System::start(BINARY, &Spec::default());
    let summary = under_load(&mut system, "8000", |system| {
        system.kill_platform();
        thread::sleep(Duration::from_secs(1));
        system.kill_vm(5);
        thread::sleep(LIST_LAG);
        system.set_fabric_targets(|vm| vm.process.is_some());
        system.start_vm(5);
        // The configuration comes from a peer.
        system.wait_until_ready();
        system.set_fabric_targets(|_| true);
        thread::sleep(Duration::from_secs(1));
        system.restart_platform();
    });
    assert_kept(&summary);
    for vm in &system.vms {
        let status = http::get(vm.admin_address, "/v1/status").unwrap();
        assert_eq!(status.status, 200, "{}", status.body);
    }
    wait_until("all are ready", Duration::from_secs(5), || {
        system.vms.iter().all(|vm| vm.is_ready())
    });
}
