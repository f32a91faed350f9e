//! Tests of placement when backend servers reject new flows.

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
    Simulation,
    acknowledgement,
    backend,
    opening, //
};

/// Number of attempts of a client.
const MAX_TRIES: usize = 3;

/// Time from a client's opening packet to its next packet.
const ROUND_TRIP: Millis = Millis(10);

struct Client {
    port: u16,
    tries: usize,
    served: bool,
}

/// Sets the source address of a packet to that of the given client.
fn from_client(at: usize, mut packet: Packet) -> Packet {
    let [high, low] = (at as u16).to_be_bytes();
    packet.flow.client.set_ip(Ipv4Addr::new(100, 65, high, low));
    packet
}

/// Starts `client_count` clients at two VMs, one per `interval`. Backend
/// servers in `rejecting` reject flows at once. Returns the number of served
/// clients.
fn run_clients(
    sim: &mut Simulation,
    client_count: usize,
    interval: Millis,
    rejecting: &[Tag],
) -> usize {
    let mut clients: Vec<Client> = Vec::new();
    let mut next_port = 20_000;
    let mut arrived = 0;
    let mut pending: Vec<(usize, usize, Tag)> = Vec::new();
    let steps = client_count as u64 * interval.0 / ROUND_TRIP.0 + 20;
    for _ in 0..steps {
        for (client, vm, tag) in std::mem::take(&mut pending) {
            if rejecting.contains(&tag) {
                continue;
            }
            let packet = acknowledgement(clients[client].port, tag, 101, 500);
            sim.packet(vm, &from_client(client, packet));
            clients[client].served = true;
        }
        while arrived < client_count && arrived as u64 * interval.0 <= elapsed_ms(sim) {
            arrived += 1;
            clients.push(Client {
                port: 0,
                tries: 0,
                served: false,
            });
        }
        for (at, client) in clients.iter_mut().enumerate() {
            if client.served || client.tries == MAX_TRIES {
                continue;
            }
            client.tries += 1;
            client.port = next_port;
            next_port += 1;
            let vm = usize::from(client.port) % 2;
            if let Verdict::Forward(target) =
                sim.packet(vm, &from_client(at, opening(client.port, 0)))
            {
                pending.push((at, vm, target.tag));
            }
        }
        sim.run(ROUND_TRIP);
    }
    clients.iter().filter(|c| c.served).count()
}

/// Returns the milliseconds since the first client's start.
fn elapsed_ms(sim: &Simulation) -> u64 {
    sim.now.0 - START_MS
}

/// Start time of the first client, in milliseconds.
const START_MS: u64 = 4_000;

/// Starts two VMs with four local backend servers, and eight loaded backend
/// servers in other data centres.
fn start_sim() -> (Simulation, Vec<Tag>) {
    let mut sim = Simulation::start(&["b", "b", "a", "c"]);
    sim.configure(1, &[("web", 1)]);
    let local: Vec<Tag> = (1..=4)
        .map(|key| sim.put_backend(&backend(key, "b")))
        .collect();
    for key in 11..=18 {
        sim.put_backend(&backend(key, if key % 2 == 0 { "a" } else { "c" }));
    }
    sim.run(Millis(1_000));
    for port in 1_000..1_200 {
        let vm = 2 + usize::from(port) % 2;
        if let Verdict::Forward(target) = sim.packet(vm, &opening(port, 0)) {
            sim.packet(vm, &acknowledgement(port, target.tag, 101, 500));
        }
    }
    for port in 2_000..2_040 {
        let vm = usize::from(port) % 2;
        if let Verdict::Forward(target) = sim.packet(vm, &opening(port, 0)) {
            sim.run(ROUND_TRIP);
            sim.packet(vm, &acknowledgement(port, target.tag, 101, 500));
        }
    }
    let remaining = START_MS - sim.now.0;
    sim.run(Millis(remaining));
    (sim, local)
}

#[test]
fn clients_are_served_elsewhere_when_their_data_centre_rejects_all() {
    let (mut sim, local) = start_sim();
    let served = run_clients(&mut sim, 200, Millis(10), &local);
    assert!(served >= 196, "{served} of 200 clients were served");
}

#[test]
fn one_backend_server_that_rejects_all_does_not_attract_new_flows() {
    let (mut sim, local) = start_sim();
    let served = run_clients(&mut sim, 200, Millis(10), &local[..1]);
    assert_eq!(served, 200);
}

#[test]
fn a_backend_server_that_accepts_again_gets_new_flows_again() {
    let (mut sim, local) = start_sim();
    run_clients(&mut sim, 100, Millis(10), &local);
    sim.run(Millis(2_500));
    let gets_flows = (0..50).any(|port| {
        let verdict = sim.packet(0, &opening(40_000 + port, 0));
        matches!(verdict, Verdict::Forward(target) if local.contains(&target.tag))
    });
    assert!(gets_flows);
}
