//! Operators' verbs over real processes and the emulator's platform.

use std::{
    net::SocketAddr,
    process::{
        Command,
        Output, //
    },
    time::Duration,
};

use dragonflytrack_testkit::process::{
    Spec,
    System,
    http,
    wait_until, //
};
use serde_json::{
    Value,
    json, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// How soon a change must be in force everywhere.
const BOUND: Duration = Duration::from_secs(7);

/// How long a start may take.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Runs a verb of the command line against all VMs in turn.
fn verb(system: &System, args: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.args(args).arg("--json");
    for vm in &system.vms {
        command.arg("--admin").arg(vm.admin_address.to_string());
    }
    command.output().expect("the command starts")
}

fn answer(output: &Output) -> Value {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the answer is JSON")
}

fn generation(admin: SocketAddr) -> Option<u64> {
    let response = http::get(admin, "/v1/status").ok()?;
    let body: Value = serde_json::from_str(&response.body).ok()?;
    body["generation"].as_u64()
}

fn wait_everywhere(system: &System, wanted: u64) {
    wait_until("the change is in force everywhere", BOUND, || {
        let mut vms = system.vms.iter().filter(|vm| vm.process.is_some());
        vms.all(|vm| generation(vm.admin_address) == Some(wanted))
    });
}

fn set_faults(system: &System, faults: &Value) {
    let headers = [("content-type", "application/json")];
    let body = faults.to_string();
    let response = http::send(
        system.platform_address,
        "PUT",
        "/emulator/faults",
        &headers,
        &body,
    );
    assert_eq!(response.expect("the platform answers").status, 200);
}

#[test]
fn operators_drain_through_an_outage_that_loses_the_answer() {
    let mut system = System::start(BINARY, &Spec::default());
    let first = generation(system.vms[0].admin_address).expect("a configuration is in force");
    let backend = system.cfg.backends[0].name.to_string();

    let unknown = verb(&system, &["plan", "drain", "no-such"]);
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
    let plan = answer(&verb(&system, &["plan", "drain", &backend]));
    let id = plan["id"].as_str().expect("a plan has a name");
    assert_eq!(generation(system.vms[0].admin_address), Some(first));

    // The write takes effect, and every answer is lost. Each VM gives up in
    // turn, so only one is asked here.
    set_faults(&system, &json!({ "lose-answers": true }));
    let admin = system.vms[0].admin_address;
    let path = format!("/v1/plans/{id}/confirm");
    let lost = http::send(admin, "POST", &path, &[], "").expect("the VM answers");
    assert!([503, 504].contains(&lost.status), "{}", lost.body);
    set_faults(&system, &json!({}));
    let confirmed = answer(&verb(&system, &["confirm", id]));
    assert_eq!(confirmed["generation"], json!(first + 1));
    wait_everywhere(&system, first + 1);

    // A VM that starts during an outage takes the generation of its peers.
    set_faults(&system, &json!({ "down": true }));
    let last = system.vms.len() - 1;
    system.kill_vm(last);
    system.start_vm(last);
    wait_until("the VM has found its peers", START_LIMIT, || {
        generation(system.vms[last].admin_address) == Some(first + 1)
    });
    let status = answer(&verb(&system, &["status"]));
    assert_eq!(status["generation"], json!(first + 1));
    let services = answer(&verb(&system, &["services"]));
    assert_eq!(services["generation"], json!(first + 1));
}

#[test]
fn calls_that_make_no_sense_are_answered_clearly() {
    let spec = Spec {
        vms_per_data_centre: 1,
        ..Spec::default()
    };
    let system = System::start(BINARY, &spec);
    let admin = system.vms[0].admin_address;
    for body in [
        "",
        "{",
        "[]",
        "{\"intent\":\"fly\"}",
        "{\"intent\":\"drain\"}",
    ] {
        let response = http::send(admin, "POST", "/v1/plans", &[], body).expect("an answer");
        assert_eq!(response.status, 400, "{body}: {}", response.body);
        assert!(response.body.contains("remedy"), "{}", response.body);
    }
    let response = http::send(admin, "POST", "/v1/plans/none/confirm", &[], "");
    assert_eq!(response.expect("an answer").status, 404);
    let no_address = Command::new(BINARY)
        .arg("status")
        .output()
        .expect("it starts");
    assert_eq!(no_address.status.code(), Some(2));
    let nobody = ["status", "--admin", "127.0.0.1:9"];
    let nobody = Command::new(BINARY)
        .args(nobody)
        .output()
        .expect("it starts");
    assert_eq!(nobody.status.code(), Some(3));
}
