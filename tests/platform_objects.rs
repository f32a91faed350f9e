//! Checks how the adapter builds store requests and parses the responses,
//! including malformed ones.

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            VmId, //
        },
        steering::{
            peers::{
                Contact,
                FleetRecord, //
            },
            store::{
                BackendServer,
                Configuration,
                Kind,
                Object,
                Position,
                Revision,
                StoreAnswer,
                StoreCall,
                Value, //
            },
            tag::BackendKey, //
        },
    },
    edge::steering::format::{
        Method,
        PlatformFormat, //
    },
    kernel::clock::Millis,
    platform::PlatformAdapter,
};
use dragonflytrack_testkit::store_calls::{
    ERA,
    list,
    server_spec,
    watch, //
};
use proptest::prelude::*;
use serde_json::{
    Value as Json,
    json, //
};

fn parse(call: &StoreCall, status: u16, body: &Json) -> StoreAnswer {
    read(call, status, body.to_string().as_bytes())
}

fn read(call: &StoreCall, status: u16, body: &[u8]) -> StoreAnswer {
    PlatformAdapter.read_answer(call, status, ERA, body).answer
}

fn item(name: &str, spec: Json) -> Json {
    json!({
        "meta": {"name": name, "revision": 41, "created": 9, "finalizers": [], "deleting": false},
        "spec": spec,
        "status": null,
    })
}

fn parse_page(kind: Kind, items: &[Json]) -> Vec<Object> {
    let body = json!({"items": items, "more": false, "storeRevision": 530});
    match parse(&list(kind), 200, &body) {
        StoreAnswer::Page { objects, .. } => objects,
        other => panic!("{other:?}"),
    }
}

fn parse_backend(spec: Json) -> Option<BackendServer> {
    let objects = parse_page(Kind::BackendServers, &[item("i-7f3a91c2", spec)]);
    match objects[0].value.clone() {
        Some(Value::BackendServer(server)) => Some(server),
        None => None,
        other => panic!("{other:?}"),
    }
}

fn parse_configuration(spec: Json) -> Option<Configuration> {
    let objects = parse_page(Kind::Configuration, &[item("main", spec)]);
    match objects[0].value.clone() {
        Some(Value::Configuration(cfg)) => Some(cfg),
        None => None,
        other => panic!("{other:?}"),
    }
}

fn configuration_spec() -> Json {
    json!({
        "version": 7,
        "routes": [
            {"name": "r-a", "host": "198.18.0.1", "pathPrefix": "/8443/", "type": "safe", "timeoutMs": 4000,
             "targetLatencyMs": 250, "priority": 2, "maxAttempts": 2,
             "trafficSplit": [{"service": "huvo11a", "weight": 90}, {"service": "wuno96b", "weight": 10}]},
            {"name": "r-b", "host": "198.18.0.2", "pathPrefix": "/80/", "type": "unsafe", "timeoutMs": 4000,
             "targetLatencyMs": 250, "priority": 2, "maxAttempts": 2, "service": "wuno96b"},
        ],
        "services": [{"name": "huvo11a", "healthPath": "/health", "maxFlows": 2000, "protocol": "h1",
                      "tls": false, "warmupS": 2.0, "warmupPerS": 0.5}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

fn path(call: &StoreCall) -> String {
    let request = PlatformAdapter.store_request(call);
    assert_eq!((request.method, &request.body), (Method::Get, &None));
    request.path
}

fn contact() -> Contact {
    Contact {
        vm: VmId::new("vm-1"),
        data_centre: DataCentreId::new("bud-a"),
        address: "10.1.0.7:7200".parse().expect("an address"),
        millicores: 250,
    }
}

fn record(early_readers: Vec<Contact>, vms: usize) -> FleetRecord {
    FleetRecord {
        contact: contact(),
        vms,
        early_readers,
    }
}

#[test]
fn records_of_the_fleet_are_registered_and_looked_up() {
    let record = record(vec![contact()], 7);
    let register = |replaces| StoreCall::Register {
        record: record.clone(),
        replaces,
    };
    let first = PlatformAdapter.store_request(&register(false));
    assert_eq!(first.method, Method::Post);
    let later = PlatformAdapter.store_request(&register(true));
    assert_eq!(later.method, Method::Put);
    assert_eq!(later.path, format!("{}/bud%2Da", first.path));
    let spec = first.body.expect("a body")["spec"].clone();
    let body = json!({"items": [item("bud-a", spec), item("x", json!(3))], "more": false, "storeRevision": 5});
    let answer = parse(&StoreCall::Lookup, 200, &body);
    assert_eq!(answer, StoreAnswer::Records(vec![record.clone()]));
    let answer = parse(&register(false), 409, &json!({}));
    assert_eq!(answer, StoreAnswer::RegistrationConflict);
}

#[test]
fn paths_match_the_platform_documentation() {
    let servers = list(Kind::BackendServers);
    assert_eq!(path(&servers), "/api/objects/servers");
    let next = StoreCall::List {
        kind: Kind::BackendServers,
        after: Some("i-7f/&".to_owned()),
        allow_stale: true,
    };
    assert_eq!(
        path(&next),
        "/api/objects/servers?allowStale=1&after=i%2D7f%2F%26"
    );
    let config = watch(Kind::Configuration);
    assert_eq!(path(&config), "/api/objects/config?watch=530&waitMs=1500");
}

#[test]
fn a_backend_server_is_parsed() {
    let server = parse_backend(server_spec()).expect("a backend server");
    assert_eq!(server.key, BackendKey(0x7f3a_91c2));
    assert_eq!(server.service.as_str(), "huvo11a");
    assert_eq!(server.data_centre.as_str(), "caerdydd");
    assert_eq!((server.slots, server.draining), (4, false));
    assert_eq!(server.cold_for, Millis(700));
    assert_eq!(server.started_unix_ms, 1_790_000_000_123);
}

#[test]
fn a_backend_server_with_a_missing_or_invalid_field_has_no_value() {
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "concurrency",
        "state",
        "warmupLeftMs",
        "sequence",
    ];
    for field in fields {
        let mut missing = server_spec();
        missing.as_object_mut().expect("an object").remove(field);
        assert_eq!(parse_backend(missing), None, "{field} is missing");
        let mut invalid = server_spec();
        invalid[field] = json!({"odd": true});
        assert_eq!(parse_backend(invalid), None, "{field} is invalid");
    }
    let mut state = server_spec();
    state["state"] = json!("asleep");
    assert_eq!(parse_backend(state), None);
}

#[test]
fn a_malformed_object_does_not_affect_others() {
    let items = [
        item("i-01", json!("not an object")),
        json!({"no": "meta"}),
        item("no digits!", server_spec()),
        item("i-02", server_spec()),
    ];
    let objects = parse_page(Kind::BackendServers, &items);
    let usable: Vec<&str> = objects
        .iter()
        .filter(|o| o.value.is_some())
        .map(|o| o.name.as_str())
        .collect();
    assert_eq!(usable, ["i-02"]);
}

#[test]
fn invalid_utf8_affects_one_object_only() {
    let body = json!({"items": [item("i-01", json!("XX")), item("i-02", server_spec())],
        "more": false, "storeRevision": 530});
    let mut bytes = body.to_string().into_bytes();
    let offset = bytes
        .windows(2)
        .position(|w| w == b"XX")
        .expect("the placeholder");
    bytes[offset] = 0xff;
    let answer = read(&list(Kind::BackendServers), 200, &bytes);
    let StoreAnswer::Page { objects, .. } = answer else {
        panic!("{answer:?}");
    };
    assert!(objects[0].value.is_none() && objects[1].value.is_some());
}

#[test]
fn a_configuration_is_parsed() {
    let cfg = parse_configuration(configuration_spec()).expect("a configuration");
    assert_eq!(cfg.version, 7);
    assert_eq!(cfg.idle_timeout, Millis(15_000));
    assert_eq!(
        cfg.routes[0].address,
        "198.18.0.1:8443".parse().expect("an address")
    );
    let weights: Vec<u32> = cfg.routes[0].shares.iter().map(|s| s.weight).collect();
    assert_eq!(weights[0], 9 * weights[1]);
    assert_eq!(cfg.routes[1].shares[0].service.as_str(), "wuno96b");
    let route = &cfg.routes[0];
    assert_eq!(route.priority, 2);
    assert_eq!(route.target_latency, Millis(250));
    assert_eq!(route.timeout, Millis(4_000));
    assert_eq!(cfg.services[0].cold_start, Millis(2_000));
    assert!((cfg.services[0].cold_flows_per_second - 0.5).abs() < f64::EPSILON);
}

#[test]
fn only_the_object_named_main_is_a_configuration() {
    assert!(parse_page(Kind::Configuration, &[item("other", configuration_spec())]).is_empty());
}

#[test]
fn changes_are_parsed_with_their_removal_flag() {
    let body = json!({"storeRevision": 533, "events": [
        {"deleted": true, "object": item("bud-a", json!({}))},
        {"deleted": false, "object": item("bud-b", json!({}))},
    ]});
    let answer = parse(&watch(Kind::Evacuations), 200, &body);
    let StoreAnswer::Changes { changes, position } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(position, Position::new(ERA, Revision(533)));
    assert!(changes[0].removed && !changes[1].removed);
    assert!(
        matches!(&changes[1].object.value, Some(Value::Evacuation(p)) if p.as_str() == "bud-b")
    );
}

#[test]
fn each_http_status_maps_to_an_answer() {
    let call = watch(Kind::Configuration);
    let body = json!({});
    assert_eq!(parse(&call, 410, &body), StoreAnswer::HistoryGone);
    assert_eq!(parse(&call, 429, &body), StoreAnswer::Busy);
    assert_eq!(parse(&call, 503, &body), StoreAnswer::Busy);
    assert_eq!(parse(&call, 500, &body), StoreAnswer::NoAnswer);
    assert_eq!(parse(&call, 200, &body), StoreAnswer::NoAnswer);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_body_is_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for kind in Kind::ALL {
            for call in [list(kind), watch(kind)] {
                let _ = PlatformAdapter.read_answer(&call, 200, ERA, &bytes);
            }
        }
    }

    #[test]
    fn any_change_of_one_byte_is_handled(offset in 0..2_000_usize, byte in any::<u8>()) {
        let body = json!({"items": [item("main", configuration_spec())], "more": false, "storeRevision": 530});
        let mut bytes = body.to_string().into_bytes();
        let offset = offset % bytes.len();
        bytes[offset] = byte;
        let _ = PlatformAdapter.read_answer(&list(Kind::Configuration), 200, ERA, &bytes);
    }
}

/// During a roll-out, the record may be that of a build that registered its
/// contact only.
#[test]
fn a_record_without_a_count_is_read() {
    let spec = serde_json::to_value(contact()).expect("a contact");
    let body = json!({"items": [item("bud-a", spec)], "more": false, "storeRevision": 5});
    let answer = parse(&StoreCall::Lookup, 200, &body);
    assert_eq!(answer, StoreAnswer::Records(vec![record(Vec::new(), 0)]));
}
