//! `dragonflytrack steer` processes beside objects of another program that claim the keys
//! of the backend servers.

use std::{
    collections::BTreeSet,
    path::Path,
    thread,
    time::Duration, //
};

use dragonflytrack_testkit::process::{
    Signal,
    steering::{
        SteeringSystem,
        WAIT_TIMEOUT, //
    },
    users_platform::Flow,
    wait_until,
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// Longer than a VM needs to follow the store.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Names under which another program puts copies of the backend server `name`.
fn copy_names(name: &str) -> [String; 3] {
    let digits = name.rsplit('-').next().expect("a key");
    [
        format!("copy-of-{name}"),
        format!("a-{digits}"),
        format!("x-{digits}"),
    ]
}

/// Writes copies of all backend servers, with a service that no configuration names.
fn put_copies(system: &SteeringSystem) {
    for backend in &system.backends {
        let spec = backend.spec("inventory", "a", "draining");
        for name in copy_names(&backend.name) {
            system.store.put("servers", &name, &spec);
        }
    }
}

fn remove_copies(system: &SteeringSystem) {
    for backend in &system.backends {
        for name in copy_names(&backend.name) {
            system.store.remove("servers", &name);
        }
    }
}

/// Opens flows and returns them with the names of the backend servers that are used.
fn open_flows(system: &SteeringSystem, first_port: u16) -> (Vec<(Flow, String)>, BTreeSet<String>) {
    let flows = system.open_flows(first_port, 30);
    let used = flows.iter().map(|(_, name)| name.clone()).collect();
    (flows, used)
}

/// After all VMs were killed beside such copies, nothing was served any more (review/11).
/// When copies that were there at a start were removed, all flows were reset (review/12).
#[test]
fn vms_that_start_beside_copies_use_the_backend_servers() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("steer-claims");
    let mut system = SteeringSystem::start(BINARY, &dir, 2, 3);
    let all: BTreeSet<String> = system.backends.iter().map(|b| b.name.clone()).collect();
    put_copies(&system);
    thread::sleep(SETTLE_TIME);
    let (mut flows, used) = open_flows(&system, 1_000);
    assert_eq!(used, all);
    for vm in &mut system.vms {
        let process = vm.process.take().expect("the VM is not running");
        process.signal(Signal::Kill);
    }
    system.start_vm(0);
    system.start_vm(1);
    let (later, used) = open_flows(&system, 2_000);
    assert_eq!(used, all);
    flows.extend(later);
    remove_copies(&system);
    thread::sleep(SETTLE_TIME);
    assert!(system.all_flows_kept(0, &mut flows));
    assert!(system.all_flows_kept(1, &mut flows));
    assert_eq!(system.client.take_unsolicited_resets(), [0_u16; 0]);
    assert_eq!(open_flows(&system, 3_000).1, all);
    system.register_backend(0, "draining");
    let mut port = 4_000;
    wait_until("new flows avoid the backend server", WAIT_TIMEOUT, || {
        port += 30;
        !open_flows(&system, port)
            .1
            .contains(&system.backends[0].name)
    });
}
