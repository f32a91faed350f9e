//! Logs, metrics and probes of a process.

use std::time::Duration;

use dragonflytrack::core::counter::Counter;
use dragonflytrack_testkit::process::{
    Signal,
    Spec,
    System,
    http,
    wait_until, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// Returns the first whole-number value that follows `prefix` on a line.
fn metric_value(text: &str, prefix: &str) -> Option<u64> {
    text.lines()
        .find_map(|line| line.strip_prefix(prefix)?.trim().parse().ok())
}

#[test]
fn metrics_include_every_counter_and_the_state() {
    let system = System::start(BINARY, &Spec::default());
    let callers = system.start_callers(1, &["--flows", "5", "--rate", "10", "--duration", "1000"]);
    let summary = callers.finish(Duration::from_secs(40));
    assert!(summary.is_clean(), "{:?}", summary.faults);
    let mut total_answered = 0;
    for vm in &system.vms {
        let text = http::get(vm.admin_address, "/metrics").unwrap().body;
        for counter in Counter::ALL {
            let name = format!("dragonflytrack_{}_total", counter.name());
            assert!(metric_value(&text, &name).is_some(), "{name} is missing");
        }
        assert_eq!(metric_value(&text, "dragonflytrack_generation "), Some(1));
        assert_eq!(metric_value(&text, "dragonflytrack_ready "), Some(1));
        let alive_peers = "dragonflytrack_peers{state=\"alive\"}";
        assert_eq!(metric_value(&text, alive_peers), Some(5));
        total_answered += metric_value(&text, "dragonflytrack_requests_answered_total").unwrap();
    }
    assert_eq!(total_answered, summary.answered);
}

#[test]
fn an_entry_vm_is_alive_but_not_ready_without_a_configuration() {
    let mut system = System::start(BINARY, &Spec::default());
    system.kill_platform();
    for index in 0..system.vms.len() {
        system.kill_vm(index);
    }
    system.start_vm(0);
    let admin_address = system.vms[0].admin_address;
    wait_until("the process is alive", Duration::from_secs(10), || {
        http::get(admin_address, "/healthz").is_ok_and(|r| r.status == 200)
    });
    let response = http::get(admin_address, "/readyz").unwrap();
    assert_eq!(response.status, 503);
    assert!(response.body.contains("configuration"), "{}", response.body);
}

#[test]
fn the_log_has_json_lines_and_levels_per_module() {
    let spec = Spec {
        extra_settings: "[log]\nformat = json\n[log-levels]\ncore.membership = error\n\
                   [stop]\nnotice-ms = 0\n",
        ..Spec::default()
    };
    let mut system = System::start(BINARY, &spec);
    system.signal_vm(0, Signal::Terminate);
    let process = system.vms[0].process();
    assert!(process.wait_timeout(Duration::from_secs(10)).is_some());
    let events: Vec<u64> = process
        .log()
        .lines()
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            assert!(line["message"].is_string() && line["detail"].is_string());
            line["event"].as_u64().unwrap()
        })
        .collect();
    assert_eq!(events.first(), Some(&1001));
    assert_eq!(events.last(), Some(&1003));
    assert!(events.contains(&3001));
    assert!(events.iter().all(|event| event / 1_000 != 2));
}
