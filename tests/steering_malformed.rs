//! Tests of backend servers that other programs, or a fault, have written.

use dragonflytrack::{
    core::steering::{
        packet::Verdict,
        store::BackendServer,
        tag::Tag, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    data,
    restores::{
        DATA_CENTRES,
        server,
        start_sim, //
    },
};
use proptest::prelude::*;

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
