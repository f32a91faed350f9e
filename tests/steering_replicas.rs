//! Tests of flow replicas and of resets after the loss of a VM.

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
    Simulation,
    acknowledgement,
    backend,
    opening,
    route_address, //
};

/// Starts two VMs and three backend servers in each of three data centres.
fn start_sim() -> (Simulation, Vec<Tag>) {
    let mut sim = Simulation::start(&["a", "a", "b", "b", "c", "c"]);
    sim.configure(1, &[("web", 1)]);
    let mut tags = Vec::new();
    for (first, place) in [(1, "a"), (11, "b"), (21, "c")] {
        for key in first..first + 3 {
            tags.push(sim.put_backend(&backend(key, place)));
        }
    }
    sim.run(Millis(3_000));
    (sim, tags)
}

fn client(host: u8) -> FlowId {
    FlowId {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, host), 1_000),
        service: route_address(),
    }
}

/// Opens a flow of each client at one VM and waits for its replication.
fn open_all(sim: &mut Simulation, vm: usize, clients: std::ops::Range<u8>) -> Vec<(FlowId, Tag)> {
    let mut opened = Vec::new();
    for host in clients {
        let flow = client(host);
        let first = Packet {
            flow,
            ..opening(1, 0)
        };
        let Verdict::Forward(target) = sim.packet(vm, &first) else {
            panic!("a new flow was not placed");
        };
        let packet = Packet {
            flow,
            ..acknowledgement(1, target.tag, 101, 500)
        };
        sim.packet(vm, &packet);
        opened.push((flow, target.tag));
    }
    sim.run(Millis(500));
    opened
}

/// Opens another flow of each client at a VM.
fn arrive_at(sim: &mut Simulation, vm: usize, clients: std::ops::Range<u8>) {
    for host in clients {
        let mut packet = opening(2, 0);
        packet.flow = client(host);
        packet.flow.client.set_port(2_000);
        sim.packet(vm, &packet);
    }
}

fn make_unresponsive(sim: &mut Simulation, vms: std::ops::Range<usize>, tags: &[Tag]) {
    for vm in vms {
        sim.unresponsive.extend(tags.iter().map(|tag| (vm, *tag)));
    }
}

/// Kills the VMs and backend servers of the second data centre.
fn lose_power(sim: &mut Simulation, tags: &[Tag]) {
    sim.kill(2);
    sim.kill(3);
    make_unresponsive(sim, 0..6, &tags[3..6]);
}

fn count_resets(sim: &Simulation, opened: &[(FlowId, Tag)]) -> usize {
    let is_reset = |flow: &FlowId| sim.resets.iter().any(|(_, r)| r.flow == *flow);
    opened.iter().filter(|(flow, _)| is_reset(flow)).count()
}

#[test]
fn idle_flows_of_a_data_centre_without_power_are_reset_when_clients_arrive_elsewhere() {
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    lose_power(&mut sim, &tags);
    sim.run(Millis(1_000));
    assert_eq!(count_resets(&sim, &opened), 0, "no VM can know yet");
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(400));
    let in_b = opened.iter().filter(|(_, tag)| tags[3..6].contains(tag));
    assert_eq!(in_b.count(), 12, "the local data centre is preferred");
    assert_eq!(count_resets(&sim, &opened), 12);
    let (_, reset) = sim.resets[0];
    assert_eq!(reset.reason, ResetReason::VmAndBackendLost);
    assert_eq!(reset.seq, 500);
}

#[test]
fn flows_of_a_data_centre_that_is_only_partitioned_are_kept() {
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    partition_second(&mut sim, &tags);
    sim.run(Millis(6_000));
    assert_eq!(count_resets(&sim, &opened), 0);
}

#[test]
fn clients_that_move_while_their_backend_servers_live_keep_their_flows() {
    let (mut sim, _) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    sim.kill(2);
    sim.kill(3);
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(2_000));
    assert_eq!(count_resets(&sim, &opened), 0);
}

#[test]
fn a_restarted_vm_gets_its_flows_back() {
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    sim.kill(2);
    sim.run(Millis(300));
    sim.restart(2);
    sim.run(Millis(1_000));
    // Another flow makes it contact the replica holder.
    open_all(&mut sim, 2, 20..21);
    sim.run(Millis(1_000));
    for key in 11..14 {
        sim.remove_backend(&backend(key, "b"));
    }
    sim.run(Millis(300));
    assert!(opened.iter().all(|(_, tag)| tags[3..6].contains(tag)));
    assert_eq!(count_resets(&sim, &opened), 12);
}

#[test]
fn a_closed_flow_is_removed_from_all_vms() {
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    for (flow, tag) in &opened[..6] {
        let packet = Packet {
            flow: *flow,
            role: Role::Continue {
                closes: true,
                rejects: false,
            },
            ..acknowledgement(1, *tag, 101, 900)
        };
        sim.packet(2, &packet);
    }
    sim.run(Millis(500));
    lose_power(&mut sim, &tags);
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(1_500));
    assert_eq!(count_resets(&sim, &opened[..6]), 0);
    assert_eq!(count_resets(&sim, &opened[6..]), 6);
}

#[test]
fn another_vm_holds_the_replicas_if_the_first_is_lost() {
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    let held = |sim: &mut Simulation, vm: usize| {
        let now = sim.now;
        sim.vm(vm).stats(now).replicas
    };
    let first = [0, 1, 4, 5]
        .into_iter()
        .find(|vm| held(&mut sim, *vm) == 12)
        .expect("a VM holds the replicas");
    sim.kill(first);
    sim.run(Millis(3_000));
    lose_power(&mut sim, &tags);
    for vm in [0, 1, 4, 5].into_iter().filter(|vm| *vm != first) {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(1_500));
    assert_eq!(count_resets(&sim, &opened), 12);
}

#[test]
fn a_reset_names_a_byte_near_to_what_the_client_expects_however_long_the_flow() {
    /// Maximum distance of a reset from the number that a client expects.
    const MAX_RESET_OFFSET: u32 = 76_800;
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..4);
    let mut ack = 500;
    for _ in 0..50 {
        ack += 9_000;
        for (flow, tag) in &opened {
            let packet = Packet {
                flow: *flow,
                ..acknowledgement(1, *tag, 101, ack)
            };
            sim.packet(2, &packet);
        }
        sim.run(Millis(50));
    }
    lose_power(&mut sim, &tags);
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..4);
    }
    sim.run(Millis(1_500));
    assert_eq!(count_resets(&sim, &opened), 4);
    for (_, reset) in &sim.resets {
        assert!(ack - reset.seq < MAX_RESET_OFFSET, "{} of {ack}", reset.seq);
    }
}

#[test]
fn replicas_of_unused_flows_expire() {
    let (mut sim, _) = start_sim();
    open_all(&mut sim, 2, 0..12);
    sim.kill(2);
    let replicas = |sim: &mut Simulation| -> usize {
        let now = sim.now;
        [0, 1, 4, 5]
            .into_iter()
            .map(|vm| sim.vm(vm).stats(now).replicas)
            .sum()
    };
    assert_eq!(replicas(&mut sim), 12);
    sim.run(Millis(17_000) + REFRESH_INTERVAL);
    assert_eq!(replicas(&mut sim), 0);
}

/// Partitions the second data centre from the others.
fn partition_second(sim: &mut Simulation, tags: &[Tag]) {
    for inside in [2, 3] {
        for outside in [0, 1, 4, 5] {
            sim.partitions
                .insert((inside.min(outside), inside.max(outside)));
        }
    }
    make_unresponsive(sim, 0..2, &tags[3..6]);
    make_unresponsive(sim, 4..6, &tags[3..6]);
}

#[test]
fn clients_spread_over_two_data_centres_are_no_evidence_against_either() {
    let (mut sim, tags) = start_sim();
    // Clients of a third data centre whose VMs are lost.
    let opened = open_all(&mut sim, 2, 0..12);
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(1_000));
    partition_second(&mut sim, &tags);
    sim.run(Millis(2_000));
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(2_000));
    assert_eq!(count_resets(&sim, &opened), 0);
}

#[test]
fn probe_outcomes_of_a_partition_do_not_end_flows_after_it() {
    let (mut sim, tags) = start_sim();
    let opened = open_all(&mut sim, 2, 0..12);
    partition_second(&mut sim, &tags);
    sim.run(Millis(2_000));
    // The VMs inside are killed as the partition heals; the backend servers
    // live.
    sim.kill(2);
    sim.kill(3);
    sim.partitions.clear();
    sim.unresponsive.clear();
    for vm in [0, 1, 4, 5] {
        arrive_at(&mut sim, vm, 0..12);
    }
    sim.run(Millis(2_000));
    assert_eq!(count_resets(&sim, &opened), 0);
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
    assert_eq!(replicas.apply(&batch(9_000, 1, 1), Time(1)), []);
    assert_eq!(
        replicas.apply(&batch(9_000, 1, 2), Time(2)),
        [],
        "a resent batch"
    );
    assert_eq!(replicas.len(), 1);
    // The wall clock went back before the VM restarted.
    assert_eq!(replicas.apply(&batch(6_600, 1, 3), Time(3)).len(), 1);
    assert_eq!(replicas.len(), 2);
}
