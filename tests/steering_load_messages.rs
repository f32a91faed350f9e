//! Tests of the messages with load sums: size, order and content.
//!
//! The load: a hub of 60 VMs, with 4 other data centres and 600 backend servers, which
//! take 50 ms for a request. Each VM has flows on all those of its data centre.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            Incarnation,
            ServiceId,
            VmId, //
        },
        steering::{
            Action, Identity, Steering, TICK,
            capability::ServiceTime,
            loads::message::{
                DataCentreLoads,
                FleetLoads,
                LoadsOrigin,
                ServiceDemand, //
            },
            peers::{
                Heartbeat,
                PeerMessage,
                TagLoad, //
            },
            store::BackendServer,
            tag::Tag,
        },
    },
    edge::steering::message_format,
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend, //
};

const DATA_CENTRES: [&str; 5] = ["dc-a", "dc-b", "dc-c", "dc-d", "dc-e"];

/// Receive buffer for a datagram.
const MAX_DATAGRAM: usize = 16_384;

fn server(key: u64) -> BackendServer {
    BackendServer {
        service: ServiceId::new(["web", "shop"][key as usize % 2]),
        ..backend(key, DATA_CENTRES[key as usize % 5])
    }
}

/// Returns a VM that knows all backend servers.
fn large_pool() -> Simulation {
    let mut sim = Simulation::start(&["dc-a"]);
    sim.configure(1, &[("web", 1), ("shop", 1)]);
    for key in 1..=600 {
        sim.put_backend(&server(key));
    }
    // The store lists them in pages.
    sim.run(Millis(5_000));
    let at = sim.now;
    assert_eq!(sim.vm(0).stats(at).backends, 600);
    sim
}

/// Returns the backend servers of the first data centre.
fn local_tags() -> Vec<Tag> {
    (0..120).map(|n| Tag::of(server(n * 5 + 5).key)).collect()
}

fn load(tag: Tag, flows: u32, samples: u16, mean_ms: u16) -> TagLoad {
    TagLoad {
        tag,
        flows,
        waiting: flows / 2,
        stalled: 0,
        is_answering: true,
        service_time: ServiceTime {
            samples,
            mean_ms,
            answers: 6,
            fast: 2,
            slow: 0,
        },
    }
}

fn identity(at: u8, data_centre: &str) -> Identity {
    Identity {
        vm: VmId::new(format!("vm-x{at:03}")),
        incarnation: Incarnation(1_700_000_000_000),
        data_centre: DataCentreId::new(data_centre),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 9, at), 7_000),
        millicores: 100,
    }
}

fn heartbeat(at: u8, data_centre: &str, loads: Vec<TagLoad>) -> Heartbeat {
    let me = identity(at, data_centre);
    let address = me.address;
    let mut vm = Steering::open(me, &[], 1, Time(1_000));
    Heartbeat {
        loads,
        ..vm.heartbeat(address, Time(1_000))
    }
}

fn origin(hub: SocketAddrV4, incarnation: u64, number: u64) -> LoadsOrigin {
    LoadsOrigin {
        hub,
        incarnation: Incarnation(incarnation),
        number,
    }
}

fn demand(origin: &str) -> Vec<ServiceDemand> {
    let row = |service: &str, destination: &str| ServiceDemand {
        service: ServiceId::new(service),
        origin: DataCentreId::new(origin),
        destination: DataCentreId::new(destination),
        outstanding: 300,
        flows: 3_000,
    };
    let rows = |service| DATA_CENTRES.map(|at| row(service, at));
    ["shop", "web"].into_iter().flat_map(rows).collect()
}

/// Passes the messages of the other VMs to the hub.
fn report(hub: &mut Steering, number: u64, now: Time) {
    let tags = local_tags().into_iter();
    let loads: Vec<TagLoad> = tags.map(|tag| load(tag, 3, 5, 50)).collect();
    for at in 0..59 {
        hub.on_heartbeat(heartbeat(at, "dc-a", loads.clone()), now);
    }
    for (at, data_centre) in DATA_CENTRES[1..].iter().enumerate() {
        for at in [60 + 2 * at as u8, 61 + 2 * at as u8] {
            hub.on_heartbeat(heartbeat(at, data_centre, Vec::new()), now);
        }
        let loads = DataCentreLoads {
            origin: origin(identity(60 + 2 * at as u8, data_centre).address, 1, number),
            data_centre: DataCentreId::new(data_centre),
            backends: loads.clone(),
            services: demand(data_centre),
            routes: Vec::new(),
        };
        hub.on_message(PeerMessage::DataCentreLoads(loads), now);
    }
}

/// Guards against a hub that sends more than the 250 KB/s of a VM, and against
/// datagrams that the receive buffer cuts off.
#[test]
fn a_hub_of_300_vms_sends_at_most_250_kb_per_second() {
    let mut sim = large_pool();
    for port in 1_000..1_300 {
        let tag = sim.place(0, port).expect("the flow is placed");
        sim.packet(0, &acknowledgement(port, tag, 101, 500));
    }
    let (mut now, mut bytes, mut sums, mut largest) = (sim.now, 0, 0, 0);
    let hub = sim.vm(0);
    for tick in 0..360 {
        now += TICK;
        if tick % 10 == 0 {
            report(hub, tick, now);
        }
        hub.tick(now);
        for action in hub.take_actions() {
            let msg = match action {
                Action::Heartbeat { to } => PeerMessage::Heartbeat(hub.heartbeat(to, now)),
                Action::Send { msg, .. } => msg,
                _ => continue,
            };
            let size = message_format::encode(&msg)
                .expect("it can be encoded")
                .len();
            largest = largest.max(size);
            // The last 4.5 s, which are ten intervals.
            if tick >= 180 {
                bytes += size;
                sums += usize::from(matches!(msg, PeerMessage::FleetLoads(_)));
            }
        }
    }
    let rate = bytes * 10 / 45;
    println!("{rate} bytes/s, {sums} sums, largest {largest} bytes");
    assert_eq!(sums, 10 * 59);
    assert!(rate <= 250_000, "{rate} bytes per second");
    assert!(largest <= MAX_DATAGRAM, "{largest} bytes");
}

/// A VM of a large fleet that hears its hub.
fn member() -> (Steering, SocketAddrV4, Time) {
    let mut vm = Steering::open(identity(200, "dc-a"), &[], 1, Time(1_000));
    let mut now = Time(1_000);
    for _ in 0..20 {
        for at in 0..20 {
            let mut other = heartbeat(at, "dc-a", Vec::new());
            other.millicores = 500;
            vm.on_heartbeat(other, now);
        }
        now += TICK;
        vm.tick(now);
    }
    (vm, identity(0, "dc-a").address, now)
}

fn sums(origin: LoadsOrigin, flows: u32) -> PeerMessage {
    PeerMessage::FleetLoads(FleetLoads {
        origin,
        age: Millis(100),
        backends: vec![load(Tag::of(server(1).key), flows, 9, 40)],
        services: demand("dc-a"),
        routes: Vec::new(),
        lost_paths: Vec::new(),
    })
}

/// Guards against old loads that replace newer ones when messages overtake each
/// other.
#[test]
fn a_late_message_does_not_replace_a_newer_one() {
    let (mut vm, hub, now) = member();
    let tag = Tag::of(server(1).key);
    // Each with the loads that count after it.
    let messages = [
        (origin(hub, 5, 7), 10, 10),
        (origin(hub, 5, 6), 20, 10),
        (origin(hub, 4, 9), 30, 10),
        (origin(hub, 6, 1), 40, 40),
        (origin(identity(1, "dc-a").address, 1, 1), 50, 50),
        (origin(hub, 5, 8), 60, 50),
    ];
    for (origin, flows, expected) in messages {
        vm.on_message(sums(origin, flows), now);
        assert_eq!(vm.remote_loads().load(tag).flows, expected);
    }
}

/// Guards against sums that are used without renewal.
#[test]
fn sums_expire() {
    let (mut vm, hub, now) = member();
    vm.on_message(sums(origin(hub, 5, 7), 10), now);
    assert!(vm.remote_loads().age(now).is_some());
    assert_eq!(vm.remote_loads().demand(&ServiceId::new("web")).len(), 5);
    vm.tick(now + Millis(1_500));
    assert_eq!(vm.remote_loads().age(now + Millis(1_500)), None);
    assert_eq!(vm.remote_loads().load(Tag::of(server(1).key)).flows, 0);
    assert!(vm.remote_loads().demands().is_empty());
}

/// Guards against flows that leave because the sums have no room for the backend
/// servers of other data centres, which then look idle.
#[test]
fn backend_servers_that_the_sums_leave_out_do_not_look_idle() {
    let mut sim = large_pool();
    let now = sim.now;
    let vm = sim.vm(0);
    for at in 0..20 {
        let mut other = heartbeat(at, "dc-a", Vec::new());
        other.millicores = 500;
        vm.on_heartbeat(other, now);
    }
    vm.tick(now + Millis(100));
    // 1.6 times as busy as the other data centres by the demand, which is no reason to
    // leave; over 200 times as busy by the sums alone.
    let local_load = |tag| TagLoad {
        waiting: 10,
        ..load(tag, 40, 5, 50)
    };
    let entries = local_tags().into_iter().map(local_load);
    let PeerMessage::FleetLoads(mut loads) = sums(origin(identity(0, "a").address, 5, 7), 1) else {
        unreachable!("it is a sum");
    };
    loads.backends = entries.collect();
    vm.on_message(PeerMessage::FleetLoads(loads), now);
    let local = local_tags();
    for port in 1_000..1_050 {
        let tag = sim.place(0, port).expect("the flow is placed");
        assert!(local.contains(&tag));
    }
}

/// Guards against a mean that is weighted wrongly, or that keeps a former report.
#[test]
fn service_times_are_weighted_by_their_samples() {
    let mut vm = Steering::open(identity(200, "dc-a"), &[], 1, Time(1_000));
    let tag = Tag::of(server(1).key);
    let now = Time(1_000);
    vm.on_heartbeat(heartbeat(1, "dc-a", vec![load(tag, 1, 5, 500)]), now);
    vm.on_heartbeat(heartbeat(1, "dc-a", vec![load(tag, 1, 10, 30)]), now);
    vm.on_heartbeat(heartbeat(2, "dc-a", vec![load(tag, 1, 30, 70)]), now);
    let expected = ServiceTime {
        samples: 40,
        mean_ms: 60,
        answers: 12,
        fast: 4,
        slow: 0,
    };
    assert_eq!(vm.remote_loads().load(tag).service_time, expected);
}

/// Guards against an encoding that loses a part of an entry.
#[test]
fn sums_are_read_as_they_were_sent() {
    let mut tags: Vec<Tag> = (0..9).map(|key| Tag::of(server(key).key)).collect();
    tags.sort_unstable();
    let entry = |(at, tag): (usize, &Tag)| TagLoad {
        stalled: at as u32,
        is_answering: at % 2 == 0,
        ..load(*tag, 70_000, 60_000, 60_000)
    };
    let backends: Vec<TagLoad> = tags.iter().enumerate().map(entry).collect();
    let PeerMessage::FleetLoads(mut loads) = sums(origin(identity(0, "a").address, 5, 7), 1) else {
        unreachable!("it is a sum");
    };
    loads.backends = backends;
    let msg = PeerMessage::FleetLoads(loads);
    let buf = message_format::encode(&msg).expect("it can be encoded");
    assert_eq!(message_format::decode(&buf), Ok(msg));
}
