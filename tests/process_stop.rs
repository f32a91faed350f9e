//! A planned stop of an entry VM cuts no request.

use std::{
    io,
    net::SocketAddr,
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

use dragonflytrack_testkit::process::{
    Signal,
    Spec,
    System,
    http::{
        self,
        Response, //
    },
    wait_until, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// How long it may take until slots are handed out after a start.
const START_LIMIT: Duration = Duration::from_secs(15);

/// How long a planned stop may take here.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Sends a request with the identifier `id`, again while slots are refused.
fn spawn_call(vm: SocketAddr, id: &'static str) -> JoinHandle<io::Result<Response>> {
    let headers = [("host", "fitting-svc"), ("x-request-id", id)];
    thread::spawn(move || {
        loop {
            let response = http::send(vm, "GET", "/bookings/1", &headers, "")?;
            if response.status != 503 {
                return Ok(response);
            }
            thread::sleep(Duration::from_millis(100));
        }
    })
}

/// Returns how many requests an entry VM says are open at backend servers.
fn open_requests(admin: SocketAddr) -> u64 {
    let text = http::get(admin, "/metrics").map_or_else(|_| String::new(), |r| r.body);
    text.lines()
        .filter_map(|line| {
            let rest = line.strip_prefix("dragonflytrack_backend_requests_in_flight{")?;
            rest.rsplit(' ').next()?.parse::<u64>().ok()
        })
        .sum()
}

#[test]
fn a_planned_stop_ends_the_running_requests_first() {
    let spec = Spec {
        backend_args: &["--run-time", "1500"],
        extra_settings: "[stop]\nnotice-ms = 500\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    let vm = system.vms[0].caller_address;
    let calls: Vec<_> = (0..3).map(|_| spawn_call(vm, "stop")).collect();
    let records = system.records_address;
    wait_until("the requests run", START_LIMIT, || {
        http::get(records, "/-/records").is_ok_and(|r| r.body.contains("\"stop\":3"))
    });
    let admin = system.vms[0].admin_address;
    assert_eq!(open_requests(admin), 3);
    system.signal_vm(0, Signal::Terminate);
    wait_until("readiness is withdrawn", Duration::from_secs(2), || {
        http::get(admin, "/readyz").is_ok_and(|r| r.status == 503)
    });
    for call in calls {
        let response = call.join().unwrap().expect("no request is cut");
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let status = system.vms[0].process().wait_timeout(STOP_LIMIT);
    assert_eq!(status.and_then(|s| s.code()), Some(0));
}

#[test]
fn callers_see_no_fault_while_every_entry_vm_is_replaced() {
    let spec = Spec {
        extra_settings: "[stop]\nnotice-ms = 300\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    let callers = system.start_callers(1, &["--rate", "20", "--duration", "6000", "--flows", "0"]);
    for at in 0..system.vms.len() {
        system.signal_vm(at, Signal::Terminate);
        let status = system.vms[at].process().wait_timeout(STOP_LIMIT);
        assert_eq!(status.and_then(|s| s.code()), Some(0), "entry VM {at}");
        system.start_vm(at);
        let vm = &system.vms[at];
        wait_until("it is ready again", STOP_LIMIT, || vm.is_ready());
    }
    let summary = callers.finish(Duration::from_secs(40));
    assert!(summary.is_clean(), "{:?}", summary.faults);
    assert_eq!((summary.unknown, summary.refused), (0, 0), "{summary:#?}");
    assert_eq!(summary.answered, 240);
}

#[test]
fn a_second_signal_or_the_timeout_cuts_the_stop_short() {
    let spec = Spec {
        backend_args: &["--run-time", "60000"],
        extra_settings: "[stop]\nnotice-ms = 0\ntimeout-ms = 1500\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    for at in 0..2 {
        spawn_call(system.vms[at].caller_address, "cut");
    }
    let records = system.records_address;
    wait_until("the requests run", START_LIMIT, || {
        http::get(records, "/-/records").is_ok_and(|r| r.body.contains("\"cut\":2"))
    });
    for at in 0..2 {
        system.signal_vm(at, Signal::Terminate);
    }
    thread::sleep(Duration::from_millis(300));
    system.signal_vm(0, Signal::Terminate);
    for (at, event) in [(0, "event=1005"), (1, "event=1004")] {
        let process = system.vms[at].process();
        let status = process.wait_timeout(STOP_LIMIT);
        assert_eq!(status.and_then(|s| s.code()), Some(1));
        assert!(process.log().contains(event), "{}", process.log());
    }
}
