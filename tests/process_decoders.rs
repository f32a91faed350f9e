//! No bytes from outside panic a decoder or stop a process.

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
        Kind, //
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

/// Random bytes, and a good packet with a few bytes changed and its end cut.
fn almost_packets() -> impl Strategy<Value = Vec<u8>> {
    let good = packet::tcp(
        packet::caller(1),
        "198.51.100.1:443".parse().expect("an address"),
        Kind::Syn,
    );
    let changes = prop::collection::vec((0..good.len(), any::<u8>()), 0..6);
    let damaged = (changes, 0..=good.len()).prop_map(move |(changes, len)| {
        let mut bytes = good.to_vec();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        bytes.truncate(len);
        bytes
    });
    prop_oneof![prop::collection::vec(any::<u8>(), 0..200), damaged]
}

#[test]
fn no_bytes_panic_the_packet_decoders() {
    runner(20_000)
        .run(&almost_packets(), |bytes| {
            if let Some(packet) = PacketHeaders::parse(&bytes) {
                prop_assert_eq!(packet.flow_hash(), packet.flow_hash());
            }
            let _ = gue::decapsulate(&Bytes::from(bytes));
            Ok(())
        })
        .unwrap();
}

#[test]
fn what_is_encapsulated_is_decapsulated_unchanged() {
    runner(2_000)
        .run(&prop::collection::vec(any::<u8>(), 0..200), |bytes| {
            let inner = gue::decapsulate(&gue::encapsulate(&bytes));
            prop_assert_eq!(inner, Some(Bytes::from(bytes)));
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_bytes_panic_the_message_decoder() {
    runner(20_000)
        .run(&prop::collection::vec(any::<u8>(), 0..300), |bytes| {
            if let Ok(envelope) = Envelope::decode(&bytes) {
                prop_assert!(envelope.encode().is_ok());
            }
            Ok(())
        })
        .unwrap();
}

fn counter(system: &System, name: &str) -> u64 {
    let text = http::get(system.vms[0].admin_address, "/metrics")
        .map_or_else(|_| String::new(), |r| r.body);
    let name = format!("dragonflytrack_{name}_total ");
    text.lines()
        .find_map(|line| line.strip_prefix(&name)?.parse().ok())
        .unwrap_or(0)
}

#[test]
fn a_process_counts_malformed_input_and_goes_on() {
    let system = System::start(BINARY, &Spec::default());
    let vm = &system.vms[0];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for to in [vm.fabric_address, vm.relay_address] {
        for datagram in [
            &b""[..],
            b"x",
            b"\xff\xff\xff\xff\xff",
            &[0, 4, 0, 0, 0x45, 1],
        ] {
            socket.send_to(datagram, to).unwrap();
        }
    }
    for address in [vm.peer_address, vm.caller_address, vm.admin_address] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&[0xff; 4_096]).unwrap();
    }
    let push = nng::Socket::new(nng::Protocol::Push0).unwrap();
    push.dial(&format!("tcp://{}", vm.peer_address)).unwrap();
    for message in [&b""[..], b"no envelope", &[0xff; 1_000]] {
        push.send(message).unwrap();
    }
    wait_until("it counts", Duration::from_secs(5), || {
        counter(&system, "packets_malformed") >= 8
            && counter(&system, "peer_messages_malformed") == 3
    });
    let callers = system.start_callers(1, &["--flows", "4", "--rate", "10", "--duration", "500"]);
    let summary = callers.finish(Duration::from_secs(40));
    assert!(summary.is_clean(), "{:?}", summary.faults);
    assert_eq!((summary.kept, summary.answered), (8, 10));
}
