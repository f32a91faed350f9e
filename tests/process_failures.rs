//! Crashes, suspensions and restarts of entry VMs and of the platform under
//! load.

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

/// Arguments of the callers.
const CALLER_ARGS: [&str; 4] = ["--flows", "30", "--rate", "20"];

/// How long the callers may take to finish after the change.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// The emulated delay with which the fabric's list follows a crash.
const FABRIC_UPDATE_DELAY: Duration = Duration::from_millis(500);

/// Runs flows and requests during `change` and returns the callers' summary.
fn run_under_load(
    system: &mut System,
    duration: &str,
    change: impl FnOnce(&mut System),
) -> Summary {
    let args = [&CALLER_ARGS[..], &["--duration", duration]].concat();
    let callers = system.start_callers(1, &args);
    thread::sleep(Duration::from_millis(1_500));
    change(system);
    callers.finish(FINISH_TIMEOUT)
}

/// Asserts that every flow was kept, none was refused and no request was given
/// up.
fn assert_flows_kept(summary: &Summary) {
    assert!(summary.is_clean(), "{:#?}", summary.faults);
    assert_eq!((summary.kept, summary.given_up), (60, 0), "{summary:?}");
    assert_eq!(summary.flows_refused, 0, "{summary:?}");
}

#[test]
fn a_killed_entry_vm_breaks_no_flow_and_duplicates_no_request() {
    let mut system = System::start(BINARY, &Spec::default());
    let summary = run_under_load(&mut system, "7000", |system| {
        for index in [0, 3] {
            system.kill_vm(index);
            thread::sleep(FABRIC_UPDATE_DELAY);
            system.set_fabric_targets(|vm| vm.process.is_some());
            thread::sleep(FABRIC_UPDATE_DELAY);
            system.start_vm(index);
            system.wait_until_ready();
            system.set_fabric_targets(|_| true);
        }
    });
    assert_flows_kept(&summary);
    assert_eq!(summary.refused, 0, "{summary:?}");
}

#[test]
fn a_suspended_entry_vm_blocks_no_other_and_resumes_cleanly() {
    let mut system = System::start(BINARY, &Spec::default());
    let summary = run_under_load(&mut system, "9000", |system| {
        system.signal_vm(0, Signal::Stop);
        thread::sleep(FABRIC_UPDATE_DELAY);
        let suspended_id = system.vms[0].id.clone();
        system.set_fabric_targets(|vm| vm.id != suspended_id);
        // Exceeds the member timeout of four seconds.
        thread::sleep(Duration::from_secs(5));
        for vm in &system.vms[1..] {
            let started = std::time::Instant::now();
            assert!(vm.is_ready(), "{} is not ready", vm.id);
            assert!(
                started.elapsed() < Duration::from_secs(1),
                "{} answered too slowly",
                vm.id
            );
        }
        system.signal_vm(0, Signal::Continue);
        system.set_fabric_targets(|_| true);
    });
    assert_flows_kept(&summary);
}

#[test]
fn entry_vms_serve_and_start_while_the_platform_is_down() {
    let mut system = System::start(BINARY, &Spec::default());
    let summary = run_under_load(&mut system, "8000", |system| {
        system.kill_platform();
        thread::sleep(Duration::from_secs(1));
        system.kill_vm(5);
        thread::sleep(FABRIC_UPDATE_DELAY);
        system.set_fabric_targets(|vm| vm.process.is_some());
        system.start_vm(5);
        // The VM gets its configuration from a peer.
        system.wait_until_ready();
        system.set_fabric_targets(|_| true);
        thread::sleep(Duration::from_secs(1));
        system.restart_platform();
    });
    assert_flows_kept(&summary);
    for vm in &system.vms {
        let status = http::get(vm.admin_address, "/v1/status").unwrap();
        assert_eq!(status.status, 200, "{}", status.body);
    }
    wait_until("all entry VMs are ready", Duration::from_secs(5), || {
        system.vms.iter().all(|vm| vm.is_ready())
    });
}
