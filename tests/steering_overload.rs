//! Tests of admission control by VMs that share their loads.

use dragonflytrack::{
    core::steering::{
        decision::Decision,
        packet::{
            Packet,
            ResetReason,
            Verdict, //
        },
        placement::spill_update::PlacementOptions,
        store::{
            Kind,
            Value, //
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend,
    configuration,
    data,
    opening, //
};

/// Starts VMs with a route of each of the given priorities, on ports from 443.
fn start_sim(data_centres: &[&str], priorities: &[u8]) -> Simulation {
    let mut sim = Simulation::start(data_centres);
    for vm in 0..data_centres.len() {
        sim.vm(vm).set_placement_options(PlacementOptions {
            refuses_by_priority: true,
            ..PlacementOptions::default()
        });
    }
    let mut cfg = configuration(1, &[("web", 1)]);
    let template = cfg.routes.remove(0);
    for (at, priority) in priorities.iter().enumerate() {
        let mut route = template.clone();
        route.address.set_port(443 + at as u16);
        route.priority = *priority;
        cfg.routes.push(route);
    }
    let value = Value::Configuration(cfg);
    sim.store.put(Kind::Configuration, "main", Some(value));
    for key in 1..=4 {
        sim.put_backend(&backend(key, "a"));
    }
    sim.run(Millis(1_500));
    sim
}

fn on_route(at: u16, mut packet: Packet) -> Packet {
    packet.flow.service.set_port(443 + at);
    packet
}

/// Opens flows at VM 0 on the route at position 1, each with a request that is not
/// answered. Returns their ports.
fn overload(sim: &mut Simulation) -> Vec<u16> {
    let mut ports = Vec::new();
    for port in 1_000..1_200 {
        if let Verdict::Forward(target) = sim.packet(0, &on_route(1, opening(port, 0))) {
            let request = data(port, target.tag, 101, 500);
            sim.packet(0, &on_route(1, request));
            ports.push(port);
        }
        sim.run(Millis(10));
    }
    ports
}

fn refuses(sim: &mut Simulation, vm: usize, route: u16, ports: std::ops::Range<u16>) -> bool {
    let overload = Verdict::Reset(ResetReason::Overload);
    let mut refused = ports.map(|p| sim.packet(vm, &on_route(route, opening(p, 0))) == overload);
    refused.any(|is_refused| is_refused)
}

fn changes(sim: &Simulation, vm: usize) -> Vec<bool> {
    let at_vm = sim.decisions.iter().filter(|(at, _)| *at == vm);
    let change = at_vm.filter_map(|(_, decision)| match decision {
        Decision::OverloadChanged(change) => Some(change.is_overloaded),
        _ => None,
    });
    change.collect()
}

/// Guards against VMs that know only the load of their own flows, and against events
/// that flap.
#[test]
fn a_vm_refuses_less_urgent_flows_by_the_load_of_another_one() {
    let mut sim = start_sim(&["a", "a"], &[0, 1]);
    let ports = overload(&mut sim);
    assert!(refuses(&mut sim, 1, 1, 2_000..2_010));
    assert!(!refuses(&mut sim, 1, 0, 3_000..3_010));
    assert_eq!(changes(&sim, 1), [true]);
    let refused = sim.vm(1).admission_counts()[1].1.refused;
    assert!(refused[0] > 0, "{refused:?}");
    for port in ports {
        let Verdict::Forward(target) = sim.packet(0, &on_route(1, opening(port, 1))) else {
            continue;
        };
        let answered = acknowledgement(port, target.tag, 201, 900);
        sim.packet(0, &on_route(1, answered));
    }
    sim.run(Millis(5_000));
    assert!(!refuses(&mut sim, 1, 1, 4_000..4_010));
    assert_eq!(changes(&sim, 1), [true, false]);
}

/// Guards against a retransmission that ends a flow another VM has accepted, and
/// against refusals where all routes have the same priority.
#[test]
fn retransmissions_and_routes_of_equal_priority_are_not_refused() {
    let mut sim = start_sim(&["a", "a"], &[0, 1]);
    overload(&mut sim);
    for port in 2_000..2_050 {
        let verdict = sim.packet(1, &on_route(1, opening(port, 1)));
        assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
    }
    let mut sim = start_sim(&["a", "a"], &[1, 1]);
    overload(&mut sim);
    assert!(!refuses(&mut sim, 1, 1, 2_000..2_050));
}
