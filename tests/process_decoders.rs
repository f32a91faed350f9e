//! Malformed input neither panics a decoder nor stops a process.

use std::{
    io::Write,
    net::{
        TcpStream,
        UdpSocket, //
    },
    time::Duration,
};

use bytes::Bytes;
use dragonflytrack::{
    core::{
        flow::packet::PacketHeaders,
        message::Envelope, //
    },
    edge::gue,
};
use dragonflytrack_testkit::{
    packet::{
        self,
        SegmentKind, //
    },
    process::{
        Spec,
        System,
        http,
        wait_until, //
    },
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

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Generates random bytes, or a valid packet that is truncated and has a few
/// bytes changed.
fn malformed_packets() -> impl Strategy<Value = Vec<u8>> {
    let valid = packet::tcp(
        packet::caller_address(1),
        "198.51.100.1:443".parse().expect("invalid address"),
        SegmentKind::Syn,
    );
    let changes = prop::collection::vec((0..valid.len(), any::<u8>()), 0..6);
    let corrupted = (changes, 0..=valid.len()).prop_map(move |(changes, len)| {
        let mut bytes = valid.to_vec();
        for (index, byte) in changes {
            bytes[index] = byte;
        }
        bytes.truncate(len);
        bytes
    });
    prop_oneof![prop::collection::vec(any::<u8>(), 0..200), corrupted]
}

#[test]
fn malformed_packets_do_not_panic_the_decoders() {
    runner(20_000)
        .run(&malformed_packets(), |bytes| {
            if let Some(packet) = PacketHeaders::parse(&bytes) {
                prop_assert_eq!(packet.flow_hash(), packet.flow_hash());
            }
            let _ = gue::decapsulate(&Bytes::from(bytes));
            Ok(())
        })
        .unwrap();
}

#[test]
fn decapsulation_restores_the_encapsulated_packet() {
    runner(2_000)
        .run(&prop::collection::vec(any::<u8>(), 0..200), |bytes| {
            let inner = gue::decapsulate(&gue::encapsulate(&bytes));
            prop_assert_eq!(inner, Some(Bytes::from(bytes)));
            Ok(())
        })
        .unwrap();
}

#[test]
fn malformed_messages_do_not_panic_the_decoder() {
    runner(20_000)
        .run(&prop::collection::vec(any::<u8>(), 0..300), |bytes| {
            if let Ok(envelope) = Envelope::decode(&bytes) {
                prop_assert!(envelope.encode().is_ok());
            }
            Ok(())
        })
        .unwrap();
}

/// Reads a counter of the first entry VM, or zero if it is missing.
fn read_counter(system: &System, name: &str) -> u64 {
    let metrics = http::get(system.vms[0].admin_address, "/metrics")
        .map_or_else(|_| String::new(), |r| r.body);
    let name = format!("dragonflytrack_{name}_total ");
    metrics
        .lines()
        .find_map(|line| line.strip_prefix(&name)?.parse().ok())
        .unwrap_or(0)
}

#[test]
fn a_process_counts_malformed_input_and_keeps_serving() {
    let system = System::start(BINARY, &Spec::default());
    let vm = &system.vms[0];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for address in [vm.fabric_address, vm.relay_address] {
        for datagram in [
            &b""[..],
            b"x",
            b"\xff\xff\xff\xff\xff",
            &[0, 4, 0, 0, 0x45, 1],
        ] {
            socket.send_to(datagram, address).unwrap();
        }
    }
    for address in [vm.peer_address, vm.caller_address, vm.admin_address] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&[0xff; 4_096]).unwrap();
    }
    let push_socket = nng::Socket::new(nng::Protocol::Push0).unwrap();
    push_socket
        .dial(&format!("tcp://{}", vm.peer_address))
        .unwrap();
    for message in [&b""[..], b"no envelope", &[0xff; 1_000]] {
        push_socket.send(message).unwrap();
    }
    wait_until(
        "the malformed input is counted",
        Duration::from_secs(5),
        || {
            read_counter(&system, "packets_malformed") >= 8
                && read_counter(&system, "peer_messages_malformed") == 3
        },
    );
    let callers = system.start_callers(1, &["--flows", "4", "--rate", "10", "--duration", "500"]);
    let summary = callers.finish(Duration::from_secs(40));
    assert!(summary.is_clean(), "{:?}", summary.faults);
    assert_eq!((summary.kept, summary.answered), (8, 10));
}
