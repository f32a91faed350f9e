//! Tests of the service times that whole VMs exchange.
//!
//! The load: 20 VMs in two data centres and 12 backend servers. Clients send one
//! request on each flow, which is closed before the next heartbeat.

use dragonflytrack::{
    core::steering::{
        packet::{
            Packet,
            Role, //
        },
        tag::Tag, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend,
    data, //
};

const VMS: usize = 20;

const BACKENDS: usize = 12;

/// Round trip between a VM and a client.
const ROUND_TRIP: Millis = Millis(10);

struct Load {
    sim: Simulation,
    tags: Vec<Tag>,
    /// Backend server that rejects all requests.
    rejecting: Option<Tag>,
    next_port: u16,
}

impl Load {
    fn start() -> Load {
        let data_centres: Vec<&str> = (0..VMS).map(|vm| ["a", "b"][vm % 2]).collect();
        let mut sim = Simulation::start(&data_centres);
        sim.configure(1, &[("web", 1)]);
        let backends = (0..BACKENDS).map(|at| backend(at as u64 + 1, ["a", "b"][at % 2]));
        let tags = backends.map(|server| sim.put_backend(&server)).collect();
        sim.run(Millis(6_000));
        Load {
            sim,
            tags,
            rejecting: None,
            next_port: 1_000,
        }
    }

    /// Lets one client of each VM send a request, which takes 50 ms, and returns the
    /// backend servers that got them.
    fn round(&mut self) -> Vec<Tag> {
        let first = self.next_port;
        self.next_port += VMS as u16;
        let ports = |vm: usize| first + vm as u16;
        let place = |vm| self.sim.place(vm, ports(vm)).expect("a backend server");
        let placed: Vec<Tag> = (0..VMS).map(place).collect();
        self.sim.run(ROUND_TRIP);
        for (vm, tag) in placed.iter().enumerate() {
            self.sim.packet(vm, &data(ports(vm), *tag, 101, 500));
        }
        for (wait, is_rejected) in [(ROUND_TRIP, true), (Millis(50), false)] {
            self.sim.run(wait);
            let is_due = |tag: &Tag| (Some(*tag) == self.rejecting) == is_rejected;
            for (vm, tag) in placed.iter().enumerate().filter(|(_, tag)| is_due(tag)) {
                let closing = Packet {
                    role: Role::Continue {
                        closes: true,
                        rejects: false,
                    },
                    ..acknowledgement(ports(vm), *tag, 201, 900)
                };
                self.sim.packet(vm, &closing);
            }
        }
        placed
    }

    fn rounds(&mut self, count: usize) -> Vec<Tag> {
        (0..count).flat_map(|_| self.round()).collect()
    }

    fn estimated(&mut self, vm: usize) -> usize {
        let now = self.sim.now;
        self.sim.vm(vm).stats(now).estimated
    }
}

#[test]
fn each_vm_knows_all_service_times_from_flows_with_one_request() {
    let mut load = Load::start();
    load.rounds(60);
    for vm in 0..VMS {
        assert_eq!(load.estimated(vm), BACKENDS, "VM {vm}");
    }
    load.sim.restart(19);
    load.sim.run(Millis(1_500));
    assert_eq!(load.estimated(19), BACKENDS, "after its restart");
}

#[test]
fn a_backend_server_that_rejects_all_requests_gets_far_fewer_flows() {
    let mut load = Load::start();
    load.rounds(60);
    load.rejecting = Some(load.tags[0]);
    load.rounds(20);
    let placed = load.rounds(120);
    let got = placed.iter().filter(|tag| **tag == load.tags[0]).count();
    // Without doubt it gets an even share, 200. It is tried again every 2 s.
    assert!(got <= 110, "{got} of {} flows", placed.len());
}
