//! Invalid objects written without a plan, and messages that cannot be decoded.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod intent_support;

use dragonflytrack::{
    core::{
        Event,
        configuration::Configuration,
        intent::{
            CONFIGURATION_KEY,
            Intent,
            IntentMessage,
            Record,
            validation::validate, //
        },
        message::Envelope,
        names::{
            Generation,
            Incarnation, //
        },
    },
    kernel::clock::Millis,
};
use intent_support::{
    TestFleet,
    drain,
    history::{
        check_chain,
        check_never_reverts, //
    },
    out, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    },
};
use serde_json::{
    Value,
    json, //
};

/// Writes the record without a plan under the next generation, with `edit`
/// applied, and waits until the VMs have handled it.
fn write_unplanned(f: &mut TestFleet, edit: impl Fn(&mut Value)) {
    let mut value = f.stored();
    value["generation"] = json!(value["generation"].as_u64().unwrap() + 1);
    edit(&mut value);
    f.fleet.platform.overwrite(CONFIGURATION_KEY, value);
    f.fleet.answer_watches();
    f.fleet.run_for(Millis::from_secs(7));
}

fn refused(f: &mut TestFleet, at: usize) -> String {
    f.status(at)["refused"].to_string()
}

#[test]
fn an_invalid_object_is_refused_whole_and_the_others_apply() {
    let mut f = TestFleet::new(1);
    write_unplanned(&mut f, |v| {
        // One object has two invalid fields and a valid one; another is valid.
        v["backends"][0]["slots"] = json!(0);
        v["backends"][0]["service"] = json!("ghost");
        v["backends"][0]["connections"] = json!(7);
        v["backends"][1]["slots"] = json!(9);
    });
    assert_eq!(f.generations(), [3; 6]);
    let cfg = f.cfg(5);
    assert_eq!(cfg.backends[0].slots, 2);
    assert_eq!(cfg.backends[0].connections, 2_000);
    assert_eq!(cfg.backends[1].slots, 9);
    for at in 0..6 {
        let reasons = refused(&mut f, at);
        assert!(reasons.contains("fitting-svc-00"), "{reasons}");
        assert!(reasons.contains("slots = 0"), "{reasons}");
        assert!(reasons.contains("service = ghost"), "{reasons}");
    }
    // A VM that starts later sees the same.
    f.fleet.kill(0);
    f.fleet.start(0);
    f.fleet.run_for(Millis::from_secs(3));
    assert_eq!(*f.cfg(0), *f.cfg(5));
}

#[test]
fn an_undecodable_object_is_refused_and_the_others_apply() {
    let mut f = TestFleet::new(2);
    write_unplanned(&mut f, |v| {
        v["services"][0]["address"] = json!("not an address");
        v["services"][1]["protocol"] = json!("udp");
        v["backends"][3] = json!(17);
        v["data_centres"][0]["colour"] = json!("red");
    });
    assert_eq!(f.generations(), [3; 6]);
    let cfg = f.cfg(2);
    assert_eq!(cfg.services.len(), 2);
    assert_eq!(cfg.data_centres.len(), 3);
    assert_eq!(
        cfg.backends.len(),
        18,
        "a nameless object has no last good version"
    );
    let reasons = refused(&mut f, 2);
    for part in ["fitting-svc", "colour", "bud-a"] {
        assert!(reasons.contains(part), "{part} in {reasons}");
    }
}

#[test]
fn an_undecodable_record_changes_nothing_and_is_replaced() {
    for (seed, invalid) in [json!(null), json!([1]), json!({ "generation": 9 })]
        .into_iter()
        .enumerate()
    {
        let mut f = TestFleet::new(seed as u64);
        let before = f.cfg(0);
        f.fleet.platform.overwrite(CONFIGURATION_KEY, invalid);
        f.fleet.answer_watches();
        f.fleet.run_for(Millis::from_secs(7));
        assert_eq!(f.cfg(3).backends, before.backends);
        assert_eq!(f.stored()["backends"].as_array().unwrap().len(), 19);
        let plan = f.plan(0, drain("fitting-svc-00"));
        assert_eq!(f.confirm(1, &plan).status, 200);
    }
}

#[test]
fn a_generation_that_leaves_no_room_for_successors_is_refused() {
    let mut f = TestFleet::new(8);
    let mut value = f.stored();
    value["generation"] = json!(u64::MAX);
    f.fleet.platform.overwrite(CONFIGURATION_KEY, value);
    f.fleet.answer_watches();
    f.fleet.run_for(Millis::from_secs(7));
    assert_eq!(f.generations(), [2; 6]);
    let plan = f.plan(0, drain("fitting-svc-00"));
    assert_eq!(f.confirm(1, &plan).status, 200);
    // Such a record from a peer is refused, too.
    let mut cfg = Configuration::clone(&f.cfg(0));
    cfg.generation = Generation(u64::MAX);
    let record = Record {
        cfg: cfg.into(),
        ..Record::default()
    };
    let msg = IntentMessage::Body {
        record: Box::new(record),
    };
    let envelope = Envelope {
        from: f.fleet.nodes[1].vm.id.clone(),
        incarnation: f.fleet.nodes[1].vm.incarnation,
        to_incarnation: Incarnation(0),
        msg: msg.into(),
    };
    f.fleet.event(0, Event::Peer(envelope));
    f.fleet.run_for(Millis::from_secs(1));
    assert_eq!(f.generations(), [3; 6]);
}

#[test]
fn two_backend_servers_with_one_address_are_not_put_in_force() {
    let mut f = TestFleet::new(4);
    write_unplanned(&mut f, |v| {
        let taken = v["backends"][1]["packets"].clone();
        v["backends"][0]["packets"] = taken;
    });
    assert!(validate(&f.cfg(0)).is_empty());
    assert!(refused(&mut f, 1).contains("has it already"));
}

/// A VM that missed a decision while it was cut off must not restore older
/// objects when it reads an invalid record three seconds before the others.
#[test]
fn an_invalid_record_does_not_revert_an_earlier_decision() {
    for seed in 0..12 {
        let mut f = TestFleet::new(seed);
        let names: Vec<String> = (0..6).map(|n| format!("vm{n}")).collect();
        let isolated = &names[seed as usize % 6];
        for other in &names {
            f.fleet.links.cut(isolated, other);
        }
        f.fleet.links.cut(isolated, "platform");
        let at = (seed as usize + 1) % 6;
        let plan = f.plan(at, out("bud-a"));
        assert_eq!(f.confirm(at, &plan).status, 200);
        f.fleet.run_for(Millis::from_secs(1));
        for name in &names {
            f.fleet.links.cut(name, "platform");
        }
        write_unplanned(&mut f, |v| v["data_centres"][0]["share"] = json!(130));
        f.fleet.links.heal_link(isolated, "platform");
        f.fleet.run_for(Millis::from_secs(3));
        for name in &names {
            f.fleet.links.heal_link(name, "platform");
        }
        f.fleet.run_for(Millis::from_secs(30));
        f.fleet.links.heal();
        f.fleet.run_for(Millis::from_secs(7));
        for at in 0..6 {
            let cfg = f.cfg(at);
            let share = cfg.data_centre(&"bud-a".into()).unwrap().share;
            assert_eq!(share, 0, "seed {seed}, vm{at}");
        }
        check_never_reverts(&f.fleet).unwrap();
    }
}

fn stored_object(f: &TestFleet, key: &str) -> Value {
    let object = f.fleet.platform.object(key);
    object.map(|o| o.value.clone()).unwrap_or_default()
}

#[test]
fn the_platform_shows_each_object_with_its_status() {
    let mut f = TestFleet::new(7);
    f.fleet.run_for(Millis::from_secs(20));
    let key = "backends/fitting-svc-00";
    assert_eq!(stored_object(&f, key)["status"]["state"], "in-force");
    assert_eq!(
        stored_object(&f, "services/lookbook-svc")["spec"]["protocol"],
        "tcp"
    );
    let plan = f.plan(0, drain("fitting-svc-00"));
    assert_eq!(f.confirm(0, &plan).status, 200);
    // The VM that writes the objects is killed before it wrote the change.
    f.fleet.run_for(Millis(100));
    f.fleet.kill(f.ramp_driver());
    f.fleet.run_for(Millis::from_secs(20));
    assert_eq!(stored_object(&f, key)["spec"]["state"], "draining");
    assert_eq!(stored_object(&f, key)["status"]["generation"], json!(2));
    write_unplanned(&mut f, |v| v["backends"][1]["slots"] = json!(0));
    f.fleet.run_for(Millis::from_secs(10));
    let refused_object = stored_object(&f, "backends/fitting-svc-01");
    assert_eq!(refused_object["status"]["state"], "refused");
    assert_eq!(refused_object["spec"]["slots"], json!(2));
    assert!(
        refused_object["status"]["reason"]
            .as_str()
            .unwrap()
            .contains("slots = 0")
    );
    write_unplanned(&mut f, |v| {
        v["backends"].as_array_mut().unwrap().remove(1);
        v["refused"] = json!([]);
    });
    f.fleet.run_for(Millis::from_secs(10));
    let removed = stored_object(&f, "backends/fitting-svc-01");
    assert_eq!(removed["status"]["state"], "removed");
}

#[test]
fn apply_replaces_objects_and_keeps_what_operators_decided() {
    let mut f = TestFleet::new(5);
    for intent in [drain("fitting-svc-01"), out("bud-b")] {
        let plan = f.plan(0, intent);
        assert_eq!(f.confirm(0, &plan).status, 200);
    }
    let mut want = f.stored();
    for backend in want["backends"].as_array_mut().unwrap() {
        backend.as_object_mut().unwrap().remove("state");
        backend["slots"] = json!(3);
    }
    for dc in want["data_centres"].as_array_mut().unwrap() {
        *dc = json!({ "name": dc["name"] });
    }
    let list = |name: &str| want[name].as_array().unwrap().clone();
    let plan = f.plan(
        2,
        Intent::Apply {
            services: list("services"),
            backends: list("backends"),
            data_centres: list("data_centres"),
        },
    );
    assert_eq!(f.confirm(3, &plan).status, 200);
    f.fleet.run_for(Millis::from_secs(1));
    let cfg = f.cfg(4);
    assert!(cfg.backends.iter().all(|b| b.slots == 3));
    assert_eq!(cfg.new_work_share(&cfg.backends[1]), 0);
    assert_eq!(cfg.data_centre(&"bud-b".into()).unwrap().share, 0);
    check_chain(1, &f.fleet.platform.writes).unwrap();
}

/// Runs `check` on random values from a fixed seed.
fn check_random<S: Strategy>(strategy: &S, check: impl Fn(S::Value)) {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(strategy, |value| {
        check(value);
        Ok(())
    });
    outcome.unwrap();
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[ -~]{0,12}".prop_map(Value::from),
    ];
    let names = prop_oneof![
        Just("name".to_owned()),
        Just("generation".to_owned()),
        Just("services".to_owned()),
        Just("backends".to_owned()),
        Just("data_centres".to_owned()),
        Just("confirmed".to_owned()),
        "[a-z]{1,6}",
    ];
    leaf.prop_recursive(4, 48, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(names.clone(), inner, 0..6)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

#[test]
fn no_stored_value_breaks_a_vm() {
    let edit = (0..3_usize, 0..19_usize, any_json());
    check_random(&edit, |(list, at, value)| {
        let mut f = TestFleet::with_vms(1, 1);
        let mut record = f.stored();
        record["generation"] = json!(2);
        let name = ["services", "backends", "data_centres"][list];
        let objects = record[name].as_array_mut().unwrap();
        let at = at % objects.len();
        objects[at] = value;
        f.fleet.platform.overwrite(CONFIGURATION_KEY, record);
        f.fleet.answer_watches();
        f.fleet.run_for(Millis::from_secs(3));
        assert!(validate(&f.cfg(0)).is_empty());
        assert_eq!(f.generations(), [3; 3]);
    });
}

#[test]
fn decoders_survive_any_input() {
    check_random(&any_json(), |value| {
        let _ = Record::from_value(&value);
        let _ = serde_json::from_value::<Intent>(value);
    });
    check_random(&prop::collection::vec(any::<u8>(), 0..200), |bytes| {
        let _ = Envelope::decode(&bytes);
    });
}

#[test]
fn a_record_survives_its_codecs() {
    let f = TestFleet::new(6);
    let record = Record::from_value(&f.stored()).unwrap().record;
    let again = Record::from_value(&record.to_value()).unwrap().record;
    assert_eq!(again, record);
    assert_eq!(again.digest(), record.digest());
}
