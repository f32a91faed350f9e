//! Flows and requests through entry VMs that run as separate processes.

use std::time::Duration;

use dragonflytrack_testkit::process::{
    Spec,
    System, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

#[test]
fn flows_and_requests_pass_through_six_processes() {
    let system = System::start(BINARY, &Spec::default());
    assert_eq!(system.vms.len(), 6);
    let callers = system.start_callers(1, &["--flows", "10", "--rate", "20", "--duration", "2000"]);
    let summary = callers.finish(Duration::from_secs(40));
    assert!(summary.is_clean(), "{:?}", summary.faults);
    assert_eq!(summary.kept, 20);
    assert_eq!(summary.answered, 80, "{:?}", summary.refusals);
}
