//! Checks how the adapter parses and writes packets, with the examples of the
//! platform's documentation.

use std::net::SocketAddrV4;

use dragonflytrack::{
    core::steering::{
        packet::{
            FlowId,
            Reset,
            ResetReason,
            Role,
            Target, //
        },
        tag::{
            BackendKey,
            Tag, //
        },
    },
    edge::steering::format::{
        PacketError,
        PlatformFormat, //
    },
    platform::PlatformAdapter,
};
use proptest::prelude::*;

/// The opening packet in the platform's documentation.
const OPENING: [u8; 32] = [
    0x10, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00,
    0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00,
];

/// The reset in the platform's documentation.
const RESET: [u8; 32] = [
    0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00,
];

const TAG_RANGE: std::ops::Range<usize> = 28..32;

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("an address")
}

fn flow() -> FlowId {
    FlowId {
        client: address("100.64.0.7:40001"),
        service: address("198.18.0.1:443"),
    }
}

fn target(key: u64) -> Target {
    Target {
        key: BackendKey(key),
        address: address("10.1.64.3:8080"),
        tag: Tag::of(BackendKey(key)),
    }
}

#[test]
fn the_documented_opening_packet_is_parsed() {
    let packet = PlatformAdapter.read_packet(&OPENING).expect("a packet");
    assert_eq!(packet.flow, flow());
    assert_eq!(packet.role, Role::Open { copy: 0 });
    assert_eq!((packet.tag, packet.seq, packet.len), (None, 0x1122_3344, 0));
}

#[test]
fn the_documented_reset_is_written() {
    let reset = Reset {
        flow: flow(),
        seq: 0,
        reason: ResetReason::NoRoute,
    };
    let mut buf = vec![9; 3];
    PlatformAdapter.write_reset(&reset, &mut buf);
    assert_eq!(buf, RESET);
}

#[test]
fn an_opening_packet_has_the_number_of_earlier_copies() {
    let mut copy = OPENING;
    copy[9] = 2;
    let packet = PlatformAdapter.read_packet(&copy).expect("a packet");
    assert_eq!(packet.role, Role::Open { copy: 2 });
}

#[test]
fn a_length_mismatch_reports_both_lengths() {
    let result = PlatformAdapter.read_packet(&OPENING[..31]);
    assert_eq!(result, Err(PacketError::Length { got: 31, want: 32 }));
    let mut longer = OPENING;
    longer[15] = 4;
    let result = PlatformAdapter.read_packet(&longer);
    assert_eq!(result, Err(PacketError::Length { got: 32, want: 36 }));
}

#[test]
fn invalid_flags_are_rejected() {
    for flags in [0, 16 | 32, 16 | 1, 64] {
        let mut packet = OPENING;
        packet[0] = flags;
        let result = PlatformAdapter.read_packet(&packet);
        assert_eq!(result, Err(PacketError::Flags { flags }));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        let _ = PlatformAdapter.read_packet(&bytes);
    }

    #[test]
    fn a_forwarded_packet_is_unchanged_except_for_the_tag(
        header in prop::array::uniform32(any::<u8>()),
        body in prop::collection::vec(any::<u8>(), 0..1_200),
        key in any::<u64>(),
    ) {
        let mut datagram = header.to_vec();
        datagram.extend(&body);
        let mut forwarded = Vec::new();
        PlatformAdapter.write_forward(&datagram, &target(key), &mut forwarded);
        prop_assert_eq!(&forwarded[..8], &key.to_be_bytes()[..]);
        let packet = &forwarded[8..];
        prop_assert_eq!(packet.len(), datagram.len());
        let tag = Tag::of(BackendKey(key)).to_wire().to_be_bytes();
        prop_assert_eq!(&packet[TAG_RANGE], &tag[..]);
        prop_assert_eq!(&packet[..TAG_RANGE.start], &datagram[..TAG_RANGE.start]);
        prop_assert_eq!(&packet[TAG_RANGE.end..], &datagram[TAG_RANGE.end..]);
    }
}
