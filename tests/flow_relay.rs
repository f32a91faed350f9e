//! Decoding of relayed packets and of packets that are answered with a reset.

use bytes::Bytes;
use dragonflytrack::core::flow::{
    relay::{
        RelayHeader,
        RelayKind, //
    },
    reply, //
};
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    }, //
};

fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn relay_header_round_trips() {
    let strategy = (
        any::<u64>(),
        vec(any::<u32>(), 0..=16),
        vec(any::<u8>(), 0..64),
    );
    let result = runner().run(&strategy, |(backend, vms, packet)| {
        let header = RelayHeader {
            kind: RelayKind::Record,
            backend,
            vms: vms.into_iter().collect(),
        };
        let packet = Bytes::from(packet);
        let split = RelayHeader::split(&header.prepend(&packet));
        assert_eq!(split, Some((header, packet)));
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    let result = runner().run(&vec(any::<u8>(), 0..128), |raw| {
        let _ = reply::tcp_reset(&raw);
        let _ = RelayHeader::split(&Bytes::from(raw));
        Ok(())
    });
    assert_eq!(result, Ok(()));
}
