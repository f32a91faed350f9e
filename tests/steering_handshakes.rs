//! Backend servers that reject new flows, and what callers get then.

use std::net::Ipv4Addr;

use dragonflytrack::{
    core::steering::{
        packet::{
            Packet,
            Verdict, //
        },
        tag::Tag, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    World,
    acknowledgement,
    backend,
    opening, //
};

/// How often a caller tries.
const TRIES: usize = 3;

/// From a client's first packet to the answer to it, and on to its next packet.
const ROUND_TRIP: Millis = Millis(10);

struct Caller {
    port: u16,
    tries: usize,
    served: bool,
}

/// A packet of a caller, each of which has an address of its own.
fn of_caller(at: usize, mut packet: Packet) -> Packet {
    let [high, low] = (at as u16).to_be_bytes();
    packet.flow.client.set_ip(Ipv4Addr::new(100, 65, high, low));
    packet
}

/// Lets callers arrive at two VMs, one each `gap`. Flows at `rejecting` are
/// rejected at once. Returns how many callers were served.
fn play(world: &mut World, callers: usize, gap: Millis, rejecting: &[Tag]) -> usize {
    let mut all: Vec<Caller> = Vec::new();
    let mut next_port = 20_000;
    let mut arrived = 0;
    let mut pending: Vec<(usize, usize, Tag)> = Vec::new();
    let steps = callers as u64 * gap.0 / ROUND_TRIP.0 + 20;
    for _ in 0..steps {
        for (caller, vm, tag) in std::mem::take(&mut pending) {
            if rejecting.contains(&tag) {
                continue;
            }
            let packet = acknowledgement(all[caller].port, tag, 101, 500);
            world.packet(vm, &of_caller(caller, packet));
            all[caller].served = true;
        }
        while arrived < callers && arrived as u64 * gap.0 <= all_time(world) {
            arrived += 1;
            all.push(Caller {
                port: 0,
                tries: 0,
                served: false,
            });
        }
        for (at, caller) in all.iter_mut().enumerate() {
            if caller.served || caller.tries == TRIES {
                continue;
            }
            caller.tries += 1;
            caller.port = next_port;
            next_port += 1;
            let vm = usize::from(caller.port) % 2;
            if let Verdict::Forward(target) =
                world.packet(vm, &of_caller(at, opening(caller.port, 0)))
            {
                pending.push((at, vm, target.tag));
            }
        }
        world.run(ROUND_TRIP);
    }
    all.iter().filter(|c| c.served).count()
}

/// The time since the world was ready for callers.
fn all_time(world: &World) -> u64 {
    world.now.0 - READY_AT
}

/// When callers begin.
const READY_AT: u64 = 4_000;

/// Two VMs beside four backend servers, eight more elsewhere that are busy.
fn world() -> (World, Vec<Tag>) {
    let mut world = World::start(&["b", "b", "a", "c"]);
    world.configure(1, &[("web", 1)]);
    let home: Vec<Tag> = (1..=4)
        .map(|key| world.put_backend(&backend(key, "b")))
        .collect();
    for key in 11..=18 {
        world.put_backend(&backend(key, if key % 2 == 0 { "a" } else { "c" }));
    }
    world.run(Millis(1_000));
    for port in 1_000..1_200 {
        let vm = 2 + usize::from(port) % 2;
        if let Verdict::Forward(target) = world.packet(vm, &opening(port, 0)) {
            world.packet(vm, &acknowledgement(port, target.tag, 101, 500));
        }
    }
    for port in 2_000..2_040 {
        let vm = usize::from(port) % 2;
        if let Verdict::Forward(target) = world.packet(vm, &opening(port, 0)) {
            world.run(ROUND_TRIP);
            world.packet(vm, &acknowledgement(port, target.tag, 101, 500));
        }
    }
    let rest = READY_AT - world.now.0;
    world.run(Millis(rest));
    (world, home)
}

#[test]
fn callers_are_served_elsewhere_when_the_own_data_centre_rejects_all() {
    let (mut world, home) = world();
    let served = play(&mut world, 200, Millis(10), &home);
    assert!(served >= 196, "{served} of 200 callers were served");
}

#[test]
fn one_backend_server_that_rejects_all_does_not_attract_new_flows() {
    let (mut world, home) = world();
    let served = play(&mut world, 200, Millis(10), &home[..1]);
    assert_eq!(served, 200);
}

#[test]
fn a_backend_server_that_accepts_again_gets_new_flows_again() {
    let (mut world, home) = world();
    play(&mut world, 100, Millis(10), &home);
    world.run(Millis(2_500));
    let gets_some = (0..50).any(|port| {
        let verdict = world.packet(0, &opening(40_000 + port, 0));
        matches!(verdict, Verdict::Forward(target) if home.contains(&target.tag))
    });
    assert!(gets_some);
}
