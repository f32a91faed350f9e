//! Plans and their confirmation through one VM of a fleet.

mod intent_support;

use dragonflytrack::{
    core::{
        configuration::{
            BackendState,
            DataCentreState, //
        },
        intent::{
            AdminOp,
            Intent, //
        },
        names::Generation,
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::platform::PlatformMode;
use intent_support::{
    TestFleet,
    drain,
    out, //
};
use serde_json::json;

#[test]
fn nothing_changes_before_the_confirmation() {
    let mut f = TestFleet::new(1);
    let plan = f.plan(0, drain("fitting-svc-00"));
    f.fleet.run_for(Millis::from_secs(10));
    assert_eq!(f.generations(), [1; 6]);
    assert_eq!(plan["changes"][0]["old"], "active");
    assert_eq!(plan["changes"][0]["new"], "draining");
    assert_eq!(plan["base"]["generation"], 1);
}

#[test]
fn a_plan_made_at_one_vm_is_confirmed_at_another() {
    let mut f = TestFleet::new(2);
    let plan = f.plan(0, drain("fitting-svc-00"));
    let reply = f.confirm(4, &plan);
    assert_eq!(reply.status, 200);
    f.fleet.run_for(Millis::from_secs(2));
    assert_eq!(f.generations(), [2; 6]);
    let cfg = f.cfg(5);
    let backend = cfg.backend(&"fitting-svc-00".into()).unwrap();
    assert_eq!(backend.state, BackendState::Draining);
}

#[test]
fn the_second_of_two_plans_is_refused_and_told_to_plan_again() {
    let mut f = TestFleet::new(3);
    let first = f.plan(0, drain("fitting-svc-00"));
    let second = f.plan(1, out("bud-b"));
    assert_eq!(f.confirm(2, &first).status, 200);
    let reply = f.confirm(3, &second);
    assert_eq!(reply.status, 409);
    assert_eq!(reply.body["remedy"], "plan again");
    f.fleet.run_for(Millis::from_secs(2));
    assert_eq!(f.generations(), [2; 6]);
}

#[test]
fn a_confirm_whose_answer_is_lost_takes_effect_once() {
    let mut f = TestFleet::new(4);
    let plan = f.plan(0, drain("fitting-svc-00"));
    f.fleet.platform.mode = PlatformMode::AnswersLost;
    let reply = f.confirm(0, &plan);
    assert!(reply.status == 503 || reply.status == 504, "{reply:?}");
    f.fleet.platform.mode = PlatformMode::Normal;
    assert_eq!(f.confirm(1, &plan).status, 200);
    assert_eq!(f.confirm(2, &plan).status, 200);
    f.fleet.run_for(Millis::from_secs(2));
    assert_eq!(f.generations(), [2; 6]);
}

#[test]
fn a_confirm_reports_an_unknown_outcome() {
    let mut f = TestFleet::new(5);
    let plan = f.plan(0, drain("fitting-svc-00"));
    f.fleet.platform.mode = PlatformMode::DownAfterWrite;
    let reply = f.confirm(0, &plan);
    assert_eq!(reply.status, 504);
    assert!(reply.body["error"].as_str().unwrap().contains("unknown"));
    f.fleet.platform.mode = PlatformMode::Normal;
    assert_eq!(f.confirm(1, &plan).status, 200);
    f.fleet.run_for(Millis::from_secs(2));
    assert_eq!(f.generations(), [2; 6]);
}

#[test]
fn a_plan_while_the_platform_is_down_is_refused_and_changes_nothing() {
    let mut f = TestFleet::new(6);
    f.fleet.platform.mode = PlatformMode::Down;
    let reply = f.call(0, AdminOp::MakePlan(drain("fitting-svc-00")));
    assert_eq!(reply.status, 503);
}

#[test]
fn an_invalid_intent_is_refused_with_every_error() {
    let mut f = TestFleet::new(7);
    let unknown = f.call(0, AdminOp::MakePlan(drain("no-such")));
    assert_eq!(unknown.status, 404);
    let backend = json!({
        "name": "b1", "service": "ghost", "data_centre": "bud-z",
        "packets": "10.9.9.9:6080", "requests": "0.0.0.0:0",
        "slots": 0, "connections": 2000,
    });
    let intent = Intent::Apply {
        services: vec![],
        backends: vec![backend],
        data_centres: vec![json!({ "name": "bud-a", "share": 120 })],
    };
    let reply = f.call(0, AdminOp::MakePlan(intent));
    assert_eq!(reply.status, 422);
    let faults = reply.body["faults"].as_array().unwrap();
    for field in ["service", "data_centre", "requests", "slots", "share"] {
        let names = |f: &serde_json::Value| f.as_str().unwrap().contains(&format!("{field} ="));
        assert!(faults.iter().any(names), "{field} in {faults:?}");
    }
}

#[test]
fn a_plan_shows_capacity_and_risks() {
    let mut f = TestFleet::new(8);
    let plan = f.plan(0, out("bud-a"));
    let fitting = &plan["capacity"][0];
    assert_eq!(fitting["service"], "fitting-svc");
    assert_eq!(fitting["before"]["slots"], 30);
    assert_eq!(fitting["after"]["slots"], 20);
    assert_eq!(fitting["percent"], 66);
    let risks = plan["risks"].as_array().unwrap();
    assert!(risks.iter().any(|r| r["risk"] == "flows-given-up"));
}

#[test]
fn a_data_centre_returns_by_a_ramp_and_another_vm_takes_over() {
    let mut f = TestFleet::new(9);
    let plan = f.plan(0, out("bud-a"));
    assert_eq!(f.confirm(0, &plan).status, 200);
    let plan = f.plan(1, intent_support::return_to_service("bud-a"));
    assert_eq!(plan["ramp"].as_array().unwrap().len(), 5);
    assert_eq!(f.confirm(1, &plan).status, 200);
    let mut shares = Vec::new();
    for second in 0..80 {
        if second == 15 {
            f.fleet.kill(f.ramp_driver());
        }
        f.fleet.run_for(Millis::from_secs(1));
        let dc = f
            .cfg(f.alive())
            .data_centre(&"bud-a".into())
            .unwrap()
            .clone();
        if shares.last() != Some(&dc.share) {
            shares.push(dc.share);
        }
    }
    assert_eq!(shares, [10, 25, 50, 75, 100]);
    let dc = f
        .cfg(f.alive())
        .data_centre(&"bud-a".into())
        .unwrap()
        .clone();
    assert_eq!(dc.state, DataCentreState::In);
    assert_eq!(f.cfg(f.alive()).generation, Generation(7));
}

#[test]
fn a_plan_that_is_no_longer_listed_is_not_reported_as_failed() {
    let mut f = TestFleet::new(10);
    let plan = f.plan(0, drain("fitting-svc-00"));
    assert_eq!(f.confirm(0, &plan).status, 200);
    for n in 0..70 {
        let intent = match n % 2 {
            0 => drain("fitting-svc-01"),
            _ => intent_support::undrain("fitting-svc-01"),
        };
        let later = f.plan(1, intent);
        assert_eq!(f.confirm(1, &later).status, 200);
    }
    f.fleet.run_for(Millis::from_secs(1));
    assert_eq!(f.confirm(0, &plan).status, 410);
    assert_eq!(f.generations(), [72; 6]);
}

#[test]
fn a_plan_shows_the_work_that_it_touches() {
    let mut f = TestFleet::new(11);
    let plan = f.plan(0, drain("fitting-svc-00"));
    let touched = &plan["touched"][0];
    assert_eq!(touched["backend"], "fitting-svc-00");
    assert_eq!(touched["weight_percent"], 6);
    assert_eq!(touched["usage"]["requests"], 0);
    // Flows whose backend server follows from their hash are not counted.
    assert_eq!(touched["usage"]["flows"], serde_json::Value::Null);
}
