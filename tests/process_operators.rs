//! Operator commands against entry VM processes and the platform emulator.

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

/// How soon a change must be in force on all entry VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

/// How long an entry VM may take to start and learn from its peers.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs a command with the admin addresses of all entry VMs, which it tries in
/// turn.
fn run_command(system: &System, args: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.args(args).arg("--json");
    for vm in &system.vms {
        command.arg("--admin").arg(vm.admin_address.to_string());
    }
    command.output().expect("failed to run the command")
}

/// Asserts that the command succeeded and decodes its output.
fn parse_output(output: &Output) -> Value {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the output is not JSON")
}

/// Returns the generation in force on the entry VM at `address`.
fn generation(address: SocketAddr) -> Option<u64> {
    let response = http::get(address, "/v1/status").ok()?;
    let body: Value = serde_json::from_str(&response.body).ok()?;
    body["generation"].as_u64()
}

/// Waits until `expected` is the generation of all running entry VMs.
fn wait_until_in_force(system: &System, expected: u64) {
    wait_until(
        "the change is in force on all entry VMs",
        IN_FORCE_TIMEOUT,
        || {
            let mut vms = system.vms.iter().filter(|vm| vm.process.is_some());
            vms.all(|vm| generation(vm.admin_address) == Some(expected))
        },
    );
}

/// Sets the faults that the platform emulator injects.
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
    assert_eq!(response.expect("the platform did not answer").status, 200);
}

#[test]
fn a_drain_succeeds_despite_a_lost_answer_and_an_outage() {
    let mut system = System::start(BINARY, &Spec::default());
    let initial_generation =
        generation(system.vms[0].admin_address).expect("no configuration is in force");
    let backend = system.cfg.backends[0].name.to_string();

    let unknown_backend = run_command(&system, &["plan", "drain", "no-such"]);
    assert_eq!(
        unknown_backend.status.code(),
        Some(1),
        "{unknown_backend:?}"
    );
    let plan = parse_output(&run_command(&system, &["plan", "drain", &backend]));
    let plan_id = plan["id"].as_str().expect("the plan has no identifier");
    assert_eq!(
        generation(system.vms[0].admin_address),
        Some(initial_generation)
    );

    // The write takes effect, but every answer is lost. Only one VM is asked:
    // the command would wait until each VM in turn has given up.
    set_faults(&system, &json!({ "lose-answers": true }));
    let admin_address = system.vms[0].admin_address;
    let path = format!("/v1/plans/{plan_id}/confirm");
    let response =
        http::send(admin_address, "POST", &path, &[], "").expect("the VM did not answer");
    assert!([503, 504].contains(&response.status), "{}", response.body);
    set_faults(&system, &json!({}));
    let confirmed = parse_output(&run_command(&system, &["confirm", plan_id]));
    assert_eq!(confirmed["generation"], json!(initial_generation + 1));
    wait_until_in_force(&system, initial_generation + 1);

    // A VM that starts during a platform outage gets the generation from its
    // peers.
    set_faults(&system, &json!({ "down": true }));
    let last_vm = system.vms.len() - 1;
    system.kill_vm(last_vm);
    system.start_vm(last_vm);
    wait_until(
        "the VM has the generation of its peers",
        START_TIMEOUT,
        || generation(system.vms[last_vm].admin_address) == Some(initial_generation + 1),
    );
    let status = parse_output(&run_command(&system, &["status"]));
    assert_eq!(status["generation"], json!(initial_generation + 1));
    let services = parse_output(&run_command(&system, &["services"]));
    assert_eq!(services["generation"], json!(initial_generation + 1));
}

#[test]
fn invalid_calls_get_a_clear_error() {
    let spec = Spec {
        vms_per_data_centre: 1,
        ..Spec::default()
    };
    let system = System::start(BINARY, &spec);
    let admin_address = system.vms[0].admin_address;
    for body in [
        "",
        "{",
        "[]",
        "{\"intent\":\"fly\"}",
        "{\"intent\":\"drain\"}",
    ] {
        let response = http::send(admin_address, "POST", "/v1/plans", &[], body)
            .expect("the VM did not respond");
        assert_eq!(response.status, 400, "{body}: {}", response.body);
        assert!(response.body.contains("remedy"), "{}", response.body);
    }
    let response = http::send(admin_address, "POST", "/v1/plans/none/confirm", &[], "");
    assert_eq!(response.expect("the VM did not respond").status, 404);
    let no_address = Command::new(BINARY)
        .arg("status")
        .output()
        .expect("failed to start the command");
    assert_eq!(no_address.status.code(), Some(2));
    let unreachable_args = ["status", "--admin", "127.0.0.1:9"];
    let unreachable = Command::new(BINARY)
        .args(unreachable_args)
        .output()
        .expect("failed to start the command");
    assert_eq!(unreachable.status.code(), Some(3));
}
