//! Flows of a VM that is lost: other VMs know them and tell their clients.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            Incarnation, //
        },
        steering::{
            packet::{
                FlowId,
                Packet,
                ResetReason,
                Role,
                Verdict, //
            },
            peers::{
                FlowRecord,
                ReplicaBatch, //
            },
            replicas::Replicas,
            replication_queue::REFRESH_INTERVAL,
            tag::{
                BackendKey,
                Tag, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::steering::{
    World,
    acknowledgement,
    backend,
    opening,
    route_address, //
};

/// Two VMs in each of three data centres, three backend servers beside each pair.
fn world() -> (World, Vec<Tag>) {
    let mut world = World::start(&["a", "a", "b", "b", "c", "c"]);
    world.configure(1, &[("web", 1)]);
    let mut tags = Vec::new();
    for (first, place) in [(1, "a"), (11, "b"), (21, "c")] {
        for key in first..first + 3 {
            tags.push(world.put_backend(&backend(key, place)));
        }
    }
    world.run(Millis(3_000));
    (world, tags)
}

fn client(number: u8) -> FlowId {
    FlowId {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, number), 1_000),
        service: route_address(),
    }
}

/// Opens a flow of each client through one VM and lets it rest.
fn open_all(world: &mut World, vm: usize, clients: std::ops::Range<u8>) -> Vec<(FlowId, Tag)> {
    let mut opened = Vec::new();
    for number in clients {
        let flow = client(number);
        let first = Packet {
            flow,
            ..opening(1, 0)
        };
        let Verdict::Forward(target) = world.packet(vm, &first) else {
            panic!("a new flow was not placed");
        };
        let packet = Packet {
            flow,
            ..acknowledgement(1, target.tag, 101, 500)
        };
        world.packet(vm, &packet);
        opened.push((flow, target.tag));
    }
    world.run(Millis(500));
    opened
}

/// Each client tries to open another flow through a VM.
fn turn_up(world: &mut World, vm: usize, clients: std::ops::Range<u8>) {
    for number in clients {
        let mut packet = opening(2, 0);
        packet.flow = client(number);
        packet.flow.client.set_port(2_000);
        world.packet(vm, &packet);
    }
}

fn silence(world: &mut World, vms: std::ops::Range<usize>, tags: &[Tag]) {
    for vm in vms {
        world.silent.extend(tags.iter().map(|tag| (vm, *tag)));
    }
}

/// The second data centre loses power.
fn lose_power(world: &mut World, tags: &[Tag]) {
    world.kill(2);
    world.kill(3);
    silence(world, 0..6, &tags[3..6]);
}

fn resets_of(world: &World, opened: &[(FlowId, Tag)]) -> usize {
    let is_reset = |flow: &FlowId| world.resets.iter().any(|(_, r)| r.flow == *flow);
    opened.iter().filter(|(flow, _)| is_reset(flow)).count()
}

#[test]
fn resting_flows_of_a_data_centre_without_power_are_reset_when_clients_turn_up_elsewhere() {
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..12);
    lose_power(&mut world, &tags);
    world.run(Millis(1_000));
    assert_eq!(resets_of(&world, &opened), 0, "nobody can know yet");
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(400));
    let in_b = opened.iter().filter(|(_, tag)| tags[3..6].contains(tag));
    assert_eq!(in_b.count(), 12, "the own data centre comes first");
    assert_eq!(resets_of(&world, &opened), 12);
    let (_, reset) = world.resets[0];
    assert_eq!(reset.reason, ResetReason::VmAndBackendLost);
    assert_eq!(reset.seq, 500);
}

#[test]
fn flows_of_a_data_centre_that_is_only_cut_off_are_left_alone() {
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..12);
    cut_off(&mut world, &tags);
    world.run(Millis(6_000));
    assert_eq!(resets_of(&world, &opened), 0);
}

#[test]
fn clients_that_move_while_their_backend_servers_live_keep_their_flows() {
    let (mut world, _) = world();
    let opened = open_all(&mut world, 2, 0..12);
    world.kill(2);
    world.kill(3);
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(2_000));
    assert_eq!(resets_of(&world, &opened), 0);
}

#[test]
fn a_vm_that_starts_again_gets_its_flows_back() {
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..12);
    world.kill(2);
    world.run(Millis(300));
    world.restart(2);
    world.run(Millis(1_000));
    // It finds the VM with its replicas by telling it of a flow.
    open_all(&mut world, 2, 20..21);
    world.run(Millis(1_000));
    for key in 11..14 {
        world.remove_backend(&backend(key, "b"));
    }
    world.run(Millis(300));
    assert!(opened.iter().all(|(_, tag)| tags[3..6].contains(tag)));
    assert_eq!(resets_of(&world, &opened), 12);
}

#[test]
fn a_flow_that_has_ended_is_forgotten_by_all() {
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..12);
    for (flow, tag) in &opened[..6] {
        let packet = Packet {
            flow: *flow,
            role: Role::Continue {
                closes: true,
                rejects: false,
            },
            ..acknowledgement(1, *tag, 101, 900)
        };
        world.packet(2, &packet);
    }
    world.run(Millis(500));
    lose_power(&mut world, &tags);
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(1_500));
    assert_eq!(resets_of(&world, &opened[..6]), 0);
    assert_eq!(resets_of(&world, &opened[6..]), 6);
}

#[test]
fn another_vm_takes_the_replicas_if_the_first_is_lost() {
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..12);
    let held = |world: &mut World, vm: usize| {
        let now = world.now;
        world.vm(vm).stats(now).replicas
    };
    let first = [0, 1, 4, 5]
        .into_iter()
        .find(|vm| held(&mut world, *vm) == 12)
        .expect("a VM keeps the replicas");
    world.kill(first);
    world.run(Millis(3_000));
    lose_power(&mut world, &tags);
    for vm in [0, 1, 4, 5].into_iter().filter(|vm| *vm != first) {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(1_500));
    assert_eq!(resets_of(&world, &opened), 12);
}

#[test]
fn a_reset_names_a_byte_near_to_what_the_client_expects_however_long_the_flow() {
    /// How far a client lets the number of a reset be from what it expects.
    const ACCEPTED: u32 = 76_800;
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..4);
    let mut ack = 500;
    for _ in 0..50 {
        ack += 9_000;
        for (flow, tag) in &opened {
            let packet = Packet {
                flow: *flow,
                ..acknowledgement(1, *tag, 101, ack)
            };
            world.packet(2, &packet);
        }
        world.run(Millis(50));
    }
    lose_power(&mut world, &tags);
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..4);
    }
    world.run(Millis(1_500));
    assert_eq!(resets_of(&world, &opened), 4);
    for (_, reset) in &world.resets {
        assert!(ack - reset.seq < ACCEPTED, "{} of {ack}", reset.seq);
    }
}

#[test]
fn replicas_of_flows_that_nobody_uses_expire() {
    let (mut world, _) = world();
    open_all(&mut world, 2, 0..12);
    world.kill(2);
    let replicas = |world: &mut World| -> usize {
        let now = world.now;
        [0, 1, 4, 5]
            .into_iter()
            .map(|vm| world.vm(vm).stats(now).replicas)
            .sum()
    };
    assert_eq!(replicas(&mut world), 12);
    world.run(Millis(17_000) + REFRESH_INTERVAL);
    assert_eq!(replicas(&mut world), 0);
}

/// Cuts the second data centre from the others.
fn cut_off(world: &mut World, tags: &[Tag]) {
    for inside in [2, 3] {
        for outside in [0, 1, 4, 5] {
            world
                .cuts
                .insert((inside.min(outside), inside.max(outside)));
        }
    }
    silence(world, 0..2, &tags[3..6]);
    silence(world, 4..6, &tags[3..6]);
}

#[test]
fn clients_that_the_routers_spread_over_two_data_centres_show_nothing_about_one_of_them() {
    let (mut world, tags) = world();
    // The clients of a third data centre, whose VMs are lost.
    let opened = open_all(&mut world, 2, 0..12);
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(1_000));
    cut_off(&mut world, &tags);
    world.run(Millis(2_000));
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(2_000));
    assert_eq!(resets_of(&world, &opened), 0);
}

#[test]
fn what_was_found_out_during_a_cut_does_not_end_flows_after_it() {
    let (mut world, tags) = world();
    let opened = open_all(&mut world, 2, 0..12);
    cut_off(&mut world, &tags);
    world.run(Millis(2_000));
    // The VMs inside are killed as the cut heals; the backend servers live.
    world.kill(2);
    world.kill(3);
    world.cuts.clear();
    world.silent.clear();
    for vm in [0, 1, 4, 5] {
        turn_up(&mut world, vm, 0..12);
    }
    world.run(Millis(2_000));
    assert_eq!(resets_of(&world, &opened), 0);
}

#[test]
fn a_run_that_began_at_an_earlier_time_of_day_is_a_new_run() {
    let batch = |incarnation, number, flow| ReplicaBatch {
        owner: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000),
        incarnation: Incarnation(incarnation),
        data_centre: DataCentreId::new("a"),
        number,
        flows: vec![FlowRecord {
            flow: client(flow),
            tag: Some(Tag::of(BackendKey(1))),
            ack: 1,
        }],
    };
    let mut replicas = Replicas::default();
    assert_eq!(replicas.take(&batch(9_000, 1, 1), Time(1)), []);
    assert_eq!(replicas.take(&batch(9_000, 1, 2), Time(2)), [], "a repeat");
    assert_eq!(replicas.len(), 1);
    // The clock went back before the VM started again.
    assert_eq!(replicas.take(&batch(6_600, 1, 3), Time(3)).len(), 1);
    assert_eq!(replicas.len(), 2);
}
