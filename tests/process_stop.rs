//! A graceful shutdown of an entry VM interrupts no request.

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

/// How long after a start the requests may take to get slots.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a graceful shutdown or the restart after it may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends a request with the identifier `request_id` from a new thread, and
/// retries while the response is 503.
fn spawn_request(
    caller_address: SocketAddr,
    request_id: &'static str,
) -> JoinHandle<io::Result<Response>> {
    let headers = [("host", "fitting-svc"), ("x-request-id", request_id)];
    thread::spawn(move || {
        loop {
            let response = http::send(caller_address, "GET", "/bookings/1", &headers, "")?;
            if response.status != 503 {
                return Ok(response);
            }
            thread::sleep(Duration::from_millis(100));
        }
    })
}

/// Returns the number of requests that an entry VM has in flight at backend
/// servers, from its metrics.
fn requests_in_flight(admin_address: SocketAddr) -> u64 {
    let text = http::get(admin_address, "/metrics").map_or_else(|_| String::new(), |r| r.body);
    text.lines()
        .filter_map(|line| {
            let rest = line.strip_prefix("dragonflytrack_backend_requests_in_flight{")?;
            rest.rsplit(' ').next()?.parse::<u64>().ok()
        })
        .sum()
}

#[test]
fn a_graceful_shutdown_completes_the_running_requests_first() {
    let spec = Spec {
        backend_args: &["--run-time", "1500"],
        extra_settings: "[stop]\nnotice-ms = 500\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    let caller_address = system.vms[0].caller_address;
    let requests: Vec<_> = (0..3)
        .map(|_| spawn_request(caller_address, "stop"))
        .collect();
    let records_address = system.records_address;
    wait_until("the requests are running", START_TIMEOUT, || {
        http::get(records_address, "/-/records").is_ok_and(|r| r.body.contains("\"stop\":3"))
    });
    let admin_address = system.vms[0].admin_address;
    assert_eq!(requests_in_flight(admin_address), 3);
    system.signal_vm(0, Signal::Terminate);
    wait_until("readiness is withdrawn", Duration::from_secs(2), || {
        http::get(admin_address, "/readyz").is_ok_and(|r| r.status == 503)
    });
    for request in requests {
        let response = request.join().unwrap().expect("a request was interrupted");
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let status = system.vms[0].process().wait_timeout(STOP_TIMEOUT);
    assert_eq!(status.and_then(|s| s.code()), Some(0));
}

#[test]
fn callers_see_no_fault_while_every_entry_vm_is_restarted() {
    let spec = Spec {
        extra_settings: "[stop]\nnotice-ms = 300\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    let callers = system.start_callers(1, &["--rate", "20", "--duration", "6000", "--flows", "0"]);
    for index in 0..system.vms.len() {
        system.signal_vm(index, Signal::Terminate);
        let status = system.vms[index].process().wait_timeout(STOP_TIMEOUT);
        assert_eq!(status.and_then(|s| s.code()), Some(0), "entry VM {index}");
        system.start_vm(index);
        let vm = &system.vms[index];
        wait_until("the entry VM is ready again", STOP_TIMEOUT, || {
            vm.is_ready()
        });
    }
    let summary = callers.finish(Duration::from_secs(40));
    assert!(summary.is_clean(), "{:?}", summary.faults);
    assert_eq!((summary.unknown, summary.refused), (0, 0), "{summary:#?}");
    assert_eq!(summary.answered, 240);
}

#[test]
fn a_second_signal_or_the_timeout_aborts_a_graceful_shutdown() {
    let spec = Spec {
        backend_args: &["--run-time", "60000"],
        extra_settings: "[stop]\nnotice-ms = 0\ntimeout-ms = 1500\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    for index in 0..2 {
        spawn_request(system.vms[index].caller_address, "cut");
    }
    let records_address = system.records_address;
    wait_until("the requests are running", START_TIMEOUT, || {
        http::get(records_address, "/-/records").is_ok_and(|r| r.body.contains("\"cut\":2"))
    });
    for index in 0..2 {
        system.signal_vm(index, Signal::Terminate);
    }
    thread::sleep(Duration::from_millis(300));
    system.signal_vm(0, Signal::Terminate);
    for (index, event) in [(0, "event=1005"), (1, "event=1004")] {
        let process = system.vms[index].process();
        let status = process.wait_timeout(STOP_TIMEOUT);
        assert_eq!(status.and_then(|s| s.code()), Some(1));
        assert!(process.log().contains(event), "{}", process.log());
    }
}
