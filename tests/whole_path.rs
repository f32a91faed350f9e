//! End-to-end tests of the core with one flow or one request.

use bytes::Bytes;
use dragonflytrack::{
    core::{
        names::ServiceId,
        request::{
            Answer,
            Call,
            CallId,
            Headers,
            HttpRequest, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::{
    Fleet,
    packet::{
        self,
        SegmentKind, //
    },
    sample, //
};

fn fleet() -> Fleet {
    let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
    let mut fleet = Fleet::open(&cfg, 2, 1);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

#[test]
fn packets_of_a_flow_reach_one_backend_server_through_any_vm() {
    let mut fleet = fleet();
    let service = "198.51.100.1:443".parse().unwrap();
    for n in 0..50 {
        let source = packet::caller_address(n);
        fleet.packet(
            n as usize % 6,
            packet::tcp(source, service, SegmentKind::Syn),
        );
        fleet.run_for(Millis(10));
        for vm in 0..6 {
            fleet.packet(vm, packet::tcp(source, service, SegmentKind::Data));
        }
        fleet.run_for(Millis(10));
    }
    assert_eq!(fleet.delivered.len(), 350);
    assert!(fleet.delivered.iter().all(|d| d.known));
}

#[test]
fn a_packet_for_no_service_is_dropped() {
    let mut fleet = fleet();
    let unknown_service = "203.0.113.1:443".parse().unwrap();
    fleet.packet(
        0,
        packet::tcp(packet::caller_address(1), unknown_service, SegmentKind::Syn),
    );
    fleet.run_for(Millis(10));
    assert!(fleet.delivered.is_empty());
}

#[test]
fn a_request_gets_its_own_answer() {
    let mut fleet = fleet();
    let body = Bytes::from_static(b"hold dress 7");
    fleet.call(
        3,
        Call {
            id: CallId(1),
            service: ServiceId::new("fitting-svc"),
            request: HttpRequest {
                method: "GET".to_owned(),
                path: "/hold".to_owned(),
                headers: Headers::new(),
                body: body.clone(),
            },
            ticket: None,
            deadline: Time(60_000),
        },
    );
    fleet.run_for(Millis::from_secs(1));
    let [answered] = fleet.answers.as_slice() else {
        panic!("expected one answer, got {:?}", fleet.answers);
    };
    assert!(matches!(&answered.answer, Answer::Answered(r) if r.body == body));
}
