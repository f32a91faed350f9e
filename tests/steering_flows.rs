//! Where steering by tag sends the packets of flows, and which flows it resets.

use dragonflytrack::{
    core::steering::{
        decision::Decision,
        packet::{
            DropReason,
            Packet,
            ResetReason,
            Role,
            Verdict, //
        },
        store::BackendServer,
        tag::{
            BackendKey,
            Tag, //
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    World,
    acknowledgement,
    backend,
    data,
    flow,
    opening, //
};

/// One VM and `backends` warm backend servers beside it.
fn world(backends: u64) -> (World, Vec<Tag>) {
    let mut world = World::start(&["a"]);
    world.configure(1, &[("web", 1)]);
    let tags = (1..=backends)
        .map(|key| world.put_backend(&backend(key, "a")))
        .collect();
    world.run(Millis(200));
    (world, tags)
}

fn forwarded(verdict: Verdict) -> Tag {
    match verdict {
        Verdict::Forward(target) => target.tag,
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Opens a flow and lets its client use it.
fn open(world: &mut World, port: u16) -> Tag {
    let tag = forwarded(world.packet(0, &opening(port, 0)));
    world.run(Millis(5));
    world.packet(0, &acknowledgement(port, tag, 101, 500));
    tag
}

#[test]
fn a_packet_goes_where_its_tag_says_on_a_vm_that_has_just_started() {
    let (mut world, _) = world(5);
    let tag = open(&mut world, 1_000);
    world.restart(0);
    world.run(Millis(200));
    let verdict = world.packet(0, &data(1_000, tag, 101, 500));
    assert_eq!(forwarded(verdict), tag);
}

#[test]
fn the_same_first_packet_goes_to_the_same_backend_server() {
    let (mut world, _) = world(5);
    let first = forwarded(world.packet(0, &opening(1_000, 0)));
    for _ in 0..10 {
        assert_eq!(forwarded(world.packet(0, &opening(1_000, 0))), first);
    }
}

#[test]
fn each_further_copy_of_a_first_packet_goes_elsewhere() {
    let (mut world, _) = world(5);
    let first = forwarded(world.packet(0, &opening(1_000, 0)));
    world.run(Millis(200));
    let second = forwarded(world.packet(0, &opening(1_000, 1)));
    world.run(Millis(400));
    let third = forwarded(world.packet(0, &opening(1_000, 2)));
    assert!(first != second && second != third && first != third);
}

#[test]
fn a_flow_to_an_unknown_address_is_reset() {
    let (mut world, _) = world(1);
    let mut packet = opening(1_000, 0);
    packet.flow.service.set_port(9);
    let verdict = world.packet(0, &packet);
    assert_eq!(verdict, Verdict::Reset(ResetReason::NoRoute));
}

#[test]
fn an_unknown_tag_is_not_reset() {
    let (mut world, _) = world(1);
    let stranger = Tag::of(BackendKey(77));
    let verdict = world.packet(0, &data(1_000, stranger, 1, 1));
    assert_eq!(verdict, Verdict::Drop(DropReason::UnknownTag));
}

#[test]
fn a_reset_of_a_client_is_never_answered() {
    let (mut world, tags) = world(1);
    world.remove_backend(&backend(1, "a"));
    world.run(Millis(200));
    let packet = Packet {
        role: Role::Continue {
            closes: true,
            rejects: true,
        },
        ..data(1_000, tags[0], 1, 1)
    };
    let verdict = world.packet(0, &packet);
    assert_eq!(verdict, Verdict::Drop(DropReason::RejectedFlow));
}

#[test]
fn an_open_flow_survives_the_removal_of_its_route() {
    let (mut world, _) = world(2);
    let tag = open(&mut world, 1_000);
    world.configure(2, &[]);
    world.run(Millis(200));
    assert_eq!(forwarded(world.packet(0, &data(1_000, tag, 101, 500))), tag);
}

#[test]
fn an_open_flow_survives_a_drain_and_new_ones_go_elsewhere() {
    let (mut world, tags) = world(2);
    let tag = open(&mut world, 1_000);
    let key = if tag == tags[0] { 1 } else { 2 };
    world.put_backend(&BackendServer {
        draining: true,
        ..backend(key, "a")
    });
    world.run(Millis(200));
    assert_eq!(forwarded(world.packet(0, &data(1_000, tag, 101, 500))), tag);
    for port in 2_000..2_050 {
        assert_ne!(forwarded(world.packet(0, &opening(port, 0))), tag);
    }
}

#[test]
fn a_backend_server_that_is_gone_has_its_flows_reset_with_the_byte_clients_expect() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    world.packet(0, &acknowledgement(1_000, tags[0], 101, 7_500));
    world.remove_backend(&backend(1, "a"));
    world.run(Millis(200));
    let (_, reset) = world.resets[0];
    assert_eq!((reset.flow, reset.seq), (flow(1_000), 7_500));
    assert_eq!(reset.reason, ResetReason::BackendGone);
}

#[test]
fn a_later_start_under_the_same_key_ends_the_flows_of_the_earlier_one() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    world.put_backend(&BackendServer {
        started: 2_000,
        ..backend(1, "a")
    });
    world.run(Millis(200));
    assert_eq!(world.resets.len(), 1);
    assert_eq!(forwarded(world.packet(0, &opening(1_001, 0))), tags[0]);
}

#[test]
fn an_object_that_vanishes_during_trouble_of_the_store_ends_no_flow_at_once() {
    let (mut world, _) = world(1);
    let tag = open(&mut world, 1_000);
    world.storeless.insert(0);
    world.run(Millis(3_000));
    world.remove_backend(&backend(1, "a"));
    world.storeless.clear();
    world.run(Millis(1_200));
    assert!(world.resets.is_empty());
    assert_eq!(forwarded(world.packet(0, &data(1_000, tag, 101, 500))), tag);
    world.put_backend(&backend(1, "a"));
    world.run(Millis(4_000));
    assert!(world.resets.is_empty());
}

#[test]
fn an_object_that_stays_missing_after_trouble_of_the_store_ends_its_flows() {
    let (mut world, _) = world(1);
    open(&mut world, 1_000);
    world.storeless.insert(0);
    world.run(Millis(3_000));
    world.remove_backend(&backend(1, "a"));
    world.storeless.clear();
    world.run(Millis(5_000));
    assert_eq!(world.resets.len(), 1);
}

/// Clients of two flows repeat themselves at the times that the platform's
/// pages give.
fn repeat_in_vain(world: &mut World, tag: Tag) {
    for port in [1_000, 1_001] {
        world.packet(0, &data(port, tag, 101, 500));
    }
    for pause in [200, 400] {
        world.run(Millis(pause));
        for port in [1_000, 1_001] {
            world.packet(0, &data(port, tag, 101, 500));
        }
    }
    world.run(Millis(300));
}

#[test]
fn a_dead_backend_server_has_its_flows_reset_within_600_ms() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    open(&mut world, 1_001);
    // This client waits, too, but is silent.
    open(&mut world, 1_002);
    world.packet(0, &data(1_002, tags[0], 101, 500));
    world.silent.insert((0, tags[0]));
    let since = world.now;
    for port in [1_000, 1_001] {
        world.packet(0, &data(port, tags[0], 101, 500));
    }
    world.run(Millis(200));
    for port in [1_000, 1_001] {
        world.packet(0, &data(port, tags[0], 101, 500));
    }
    while world.resets.len() < 3 && world.now.since(since) < Millis(5_000) {
        world.run(Millis(5));
    }
    assert!(
        world.now.since(since) <= Millis(600),
        "{}",
        world.now.since(since)
    );
}

/// hunt-52a2-11 on trwsio-bookings: a backend server acknowledges a single
/// packet only with its answer, so a long queue looks like death.
#[test]
fn a_backend_server_that_accepts_connections_is_never_held_for_dead() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    open(&mut world, 1_001);
    repeat_in_vain(&mut world, tags[0]);
    assert!(world.resets.is_empty(), "{:?}", world.resets);
    let verdict = world.packet(0, &data(1_000, tags[0], 101, 500));
    assert_eq!(forwarded(verdict), tags[0]);
}

#[test]
fn a_failed_probe_alone_ends_no_flow() {
    let (mut world, tags) = world(1);
    let tag = open(&mut world, 1_000);
    world.silent.insert((0, tags[0]));
    world.run(Millis(3_000));
    assert_eq!(forwarded(world.packet(0, &data(1_000, tag, 101, 500))), tag);
    assert!(world.resets.is_empty());
}

#[test]
fn copies_that_were_held_up_together_show_nothing() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    open(&mut world, 1_001);
    world.silent.insert((0, tags[0]));
    for _ in 0..5 {
        for port in [1_000, 1_001] {
            world.packet(0, &data(port, tags[0], 101, 500));
        }
    }
    world.run(Millis(2_000));
    assert!(world.resets.is_empty());
}

#[test]
fn a_backend_server_held_for_dead_is_used_again_when_it_accepts() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    open(&mut world, 1_001);
    world.silent.insert((0, tags[0]));
    repeat_in_vain(&mut world, tags[0]);
    assert_eq!(world.resets.len(), 2);
    world.silent.clear();
    world.run(Millis(1_500));
    assert_eq!(forwarded(world.packet(0, &opening(1_010, 0))), tags[0]);
}

/// hunt-a9dd-11 on trwsio-bookings: a data centre that is cut off is noticed as
/// a whole, not one backend server after the other.
#[test]
fn two_dead_backend_servers_bring_the_others_of_their_data_centre_to_trial() {
    let (mut world, tags) = world(6);
    let open_on = |tag: Tag, world: &mut World, from: u16| -> Vec<u16> {
        let mut ports = Vec::new();
        for port in from..from + 100 {
            if open(world, port) == tag {
                ports.push(port);
            }
        }
        ports
    };
    let first = open_on(tags[0], &mut world, 1_000);
    let second = open_on(tags[1], &mut world, 2_000);
    for tag in &tags {
        world.silent.insert((0, *tag));
    }
    for _ in 0..3 {
        for (ports, tag) in [(&first, tags[0]), (&second, tags[1])] {
            for port in ports {
                world.packet(0, &data(*port, tag, 101, 500));
            }
        }
        world.run(Millis(200));
    }
    world.run(Millis(800));
    assert!(!world.vm(0).is_ready());
    let dead = world
        .decisions
        .iter()
        .filter(|(_, d)| matches!(d, Decision::BackendDead { .. }))
        .count();
    assert_eq!(dead, 6);
}

#[test]
fn a_vm_that_stops_being_ready_leaves_first_packets_to_others_for_a_moment() {
    let (mut world, tags) = world(1);
    open(&mut world, 1_000);
    open(&mut world, 1_001);
    world.silent.insert((0, tags[0]));
    repeat_in_vain(&mut world, tags[0]);
    let early = world.packet(0, &opening(1_010, 0));
    assert_eq!(early, Verdict::Drop(DropReason::NoBackend));
    world.run(Millis(3_000));
    let late = world.packet(0, &opening(1_011, 0));
    assert_eq!(late, Verdict::Reset(ResetReason::NoBackend));
}

/// trouble-3 on trwsio-bookings: a data centre lost power with its VMs and
/// backend servers; clients that the routers moved waited two more seconds.
#[test]
fn a_data_centre_whose_vms_fall_silent_is_probed_at_once() {
    let mut world = World::start(&["a", "b"]);
    world.configure(1, &[("web", 1)]);
    let here = world.put_backend(&backend(1, "a"));
    let there = world.put_backend(&backend(2, "b"));
    world.run(Millis(1_000));
    world.kill(1);
    world.silent.insert((0, there));
    world.run(Millis(1_400));
    let moved = world.packet(0, &data(1_000, there, 101, 500));
    assert_eq!(moved, Verdict::Reset(ResetReason::BackendDead));
    let own = world.packet(0, &data(1_001, here, 101, 500));
    assert_eq!(forwarded(own), here);
}

#[test]
fn a_data_centre_whose_vms_alone_fall_silent_keeps_its_flows() {
    let mut world = World::start(&["a", "b"]);
    world.configure(1, &[("web", 1)]);
    world.put_backend(&backend(1, "a"));
    let there = world.put_backend(&backend(2, "b"));
    world.run(Millis(1_000));
    world.kill(1);
    world.run(Millis(3_000));
    let moved = world.packet(0, &data(1_000, there, 101, 500));
    assert_eq!(forwarded(moved), there);
}

#[test]
fn a_flow_whose_backend_server_the_store_still_does_not_list_later_is_over() {
    let (mut world, _) = world(1);
    world.run(Millis(3_000));
    let stranger = Tag::of(BackendKey(77));
    let verdict = world.packet(0, &data(1_000, stranger, 1, 700));
    assert_eq!(verdict, Verdict::Drop(DropReason::UnknownTag));
    world.run(Millis(2_000));
    let (_, reset) = world.resets[0];
    assert_eq!((reset.flow, reset.seq), (flow(1_000), 700));
    let verdict = world.packet(0, &data(1_001, stranger, 1, 1));
    assert_eq!(verdict, Verdict::Reset(ResetReason::BackendUnlisted));
}

#[test]
fn a_vm_that_has_just_started_waits_for_backend_servers_that_lapsed() {
    let (mut world, tags) = world(1);
    world.remove_backend(&backend(1, "a"));
    world.restart(0);
    world.run(Millis(100));
    world.packet(0, &data(1_000, tags[0], 1, 1));
    world.run(Millis(2_200));
    assert!(world.resets.is_empty());
    world.put_backend(&backend(1, "a"));
    world.run(Millis(3_000));
    assert!(world.resets.is_empty());
    let verdict = world.packet(0, &data(1_000, tags[0], 1, 1));
    assert_eq!(forwarded(verdict), tags[0]);
}

#[test]
fn an_unknown_tag_is_not_reset_while_the_store_does_not_answer() {
    let (mut world, _) = world(1);
    world.run(Millis(3_000));
    world.storeless.insert(0);
    let stranger = Tag::of(BackendKey(77));
    world.packet(0, &data(1_000, stranger, 1, 1));
    world.run(Millis(10_000));
    assert!(world.resets.is_empty());
}
