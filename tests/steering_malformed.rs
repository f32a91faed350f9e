//! Tests of backend servers that other programs, or a fault, have written: numbers of
//! all sizes, and keys that are in use.

use dragonflytrack::{
    core::{
        names::ServiceId,
        steering::{
            decision::Decision,
            packet::Verdict,
            store::{
                BackendServer,
                Kind,
                Malformed, //
            },
            tag::Tag, //
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    data,
    restores::{
        DATA_CENTRES,
        is_used,
        server,
        start_sim, //
    },
};
use proptest::prelude::*;

/// An object with the key of a live backend server, under another name and with
/// another service, reset the flows of that backend server.
#[test]
fn an_object_with_the_key_of_another_resets_no_flow() {
    let mut sim = start_sim();
    let tag = Tag::of(server(1).key);
    let flow = data(5_000, tag, 1, 500);
    assert!(matches!(sim.packet(0, &flow), Verdict::Forward(_)));
    let other = BackendServer {
        service: ServiceId::new("inventory"),
        started_unix_ms: u64::MAX,
        ..server(1)
    };
    sim.put_named("other-01", &other);
    sim.run(Millis(3_000));
    sim.store.remove(Kind::BackendServers, "other-01");
    sim.run(Millis(3_000));
    assert!(sim.resets.is_empty(), "{:?}", sim.resets);
    assert!(is_used(&mut sim, tag));
    let is_reported = |(_, decision): &(usize, Decision)| matches!(decision, Decision::Malformed(Malformed::Object { name, .. }) if name == "other-01");
    assert!(sim.decisions.iter().any(is_reported));
}

/// Checks that an object in place of a backend server's own, which it writes again soon
/// after, resets no flow and that the backend server is used afterwards.
fn assert_harmless_for_a_moment(odd: &BackendServer) {
    let mut sim = start_sim();
    let tag = Tag::of(odd.key);
    for vm in 0..DATA_CENTRES.len() {
        let flow = data(5_000 + vm as u16, tag, 1, 500);
        assert!(matches!(sim.packet(vm, &flow), Verdict::Forward(_)));
    }
    sim.put_backend(odd);
    sim.run(Millis(700));
    sim.put_backend(&server(1));
    sim.run(Millis(3_000));
    assert!(sim.resets.is_empty(), "{:?}", sim.resets);
    assert!(is_used(&mut sim, tag));
}

/// An object with a service of another program in place of a backend server's own reset
/// the flows of that backend server (review/2).
#[test]
fn another_service_resets_no_flow() {
    assert_harmless_for_a_moment(&BackendServer {
        service: ServiceId::new("inventory"),
        ..server(1)
    });
}

/// An object without a start made the next one of the backend server itself count as a
/// restart, which reset its flows (review/2 with VARIANT=born).
#[test]
fn an_object_without_a_start_resets_no_flow() {
    assert_harmless_for_a_moment(&BackendServer {
        started_unix_ms: 0,
        ..server(1)
    });
}

/// A restart is still found behind such an object.
#[test]
fn a_restart_behind_an_object_without_a_start_resets_the_flows() {
    let mut sim = start_sim();
    let tag = Tag::of(server(1).key);
    let flow = data(5_000, tag, 1, 500);
    assert!(matches!(sim.packet(0, &flow), Verdict::Forward(_)));
    let start = |started_unix_ms| BackendServer {
        started_unix_ms,
        ..server(1)
    };
    for started in [0, server(1).started_unix_ms + 1] {
        sim.put_backend(&start(started));
        sim.run(Millis(1_000));
    }
    assert_eq!(sim.resets.len(), 1, "{:?}", sim.resets);
}

fn numbers() -> impl Strategy<Value = u64> {
    prop_oneof![
        0..10_u64,
        any::<u64>(),
        Just(u64::from(u32::MAX)),
        Just(u64::MAX),
        Just(u64::MAX - 1),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No number of an object ends a VM or takes the flows of the others. The sum of
    /// the slots overflowed.
    #[test]
    fn numbers_of_all_sizes_are_borne(
        odd in prop::collection::vec((numbers(), numbers(), numbers(), any::<bool>()), 1..8),
    ) {
        let mut sim = start_sim();
        for ((slots, cold_for, started, is_draining), key) in odd.iter().zip(100..) {
            let slots = u32::try_from(*slots).unwrap_or(u32::MAX);
            sim.put_backend(&BackendServer {
                slots,
                cold_for: Millis(*cold_for),
                started_unix_ms: *started,
                draining: *is_draining,
                ..server(key)
            });
        }
        sim.run(Millis(1_500));
        for vm in 0..DATA_CENTRES.len() {
            prop_assert!(sim.vm(vm).is_ready());
            prop_assert!(sim.place(vm, 7_000).is_some());
        }
        let flow = data(5_000, Tag::of(server(1).key), 1, 500);
        prop_assert!(matches!(sim.packet(0, &flow), Verdict::Forward(_)));
    }
}
