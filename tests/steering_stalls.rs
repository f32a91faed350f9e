//! Tests of backend servers that accept requests and answer none.
//!
//! The load: 60 VMs with 12 flows each on 100 backend servers, so that most VMs have
//! no flow on a given one. A client sends a request every 1.5 s and gets the answer
//! after 50 ms.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use dragonflytrack::{
    core::steering::tag::Tag,
    kernel::clock::Millis, //
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend,
    data, //
};

const VMS: usize = 60;

const BACKENDS: u64 = 100;

const FLOWS_PER_VM: u16 = 12;

const REQUEST_INTERVAL: u64 = 1_500;

const ANSWER_TIME: Millis = Millis(50);

/// Time by which new flows avoid the backend servers that hang.
const NOTICE_TIME: u64 = 3_000;

/// A client's open flow.
struct Flow {
    vm: usize,
    port: u16,
    tag: Tag,
    seq: u32,
    ack: u32,
    is_waiting: bool,
}

struct Load {
    sim: Simulation,
    flows: Vec<Flow>,
    /// Backend servers that answer no request.
    hung: BTreeSet<Tag>,
    next_port: u16,
}

impl Load {
    fn start() -> (Load, Vec<Tag>) {
        let mut sim = Simulation::start(&["a"; VMS]);
        sim.configure(1, &[("web", 1)]);
        let tags = (1..=BACKENDS)
            .map(|key| sim.put_backend(&backend(key, "a")))
            .collect();
        sim.run(Millis(3_000));
        let mut load = Load {
            sim,
            flows: Vec::new(),
            hung: BTreeSet::new(),
            next_port: 1_000,
        };
        for _ in 0..FLOWS_PER_VM {
            (0..VMS).for_each(|vm| load.open(vm));
        }
        load.run(4_000);
        (load, tags)
    }

    fn open(&mut self, vm: usize) {
        let port = self.next_port;
        self.next_port += 1;
        let tag = self.sim.place(vm, port).expect("a backend server");
        self.sim.packet(vm, &acknowledgement(port, tag, 101, 500));
        self.flows.push(Flow {
            vm,
            port,
            tag,
            seq: 101,
            ack: 500,
            is_waiting: false,
        });
    }

    /// Opens one flow at each VM and returns how many got one of `tags`.
    fn new_flows_at(&mut self, tags: &BTreeSet<Tag>) -> usize {
        let before = self.flows.len();
        (0..VMS).for_each(|vm| self.open(vm));
        let new = self.flows.drain(before..);
        new.filter(|f| tags.contains(&f.tag)).count()
    }

    /// Lets all clients send requests for a time in milliseconds.
    fn run(&mut self, span: u64) {
        for step in 0..span / ANSWER_TIME.0 {
            let clients = REQUEST_INTERVAL / ANSWER_TIME.0;
            let due = |at: usize| at as u64 % clients == step % clients;
            for at in (0..self.flows.len()).filter(|at| due(*at)) {
                self.send(at);
            }
            self.sim.run(ANSWER_TIME);
            for at in (0..self.flows.len()).filter(|at| due(*at)) {
                self.answer(at);
            }
        }
    }

    fn send(&mut self, at: usize) {
        let flow = &mut self.flows[at];
        // A client that waits for an answer sends no other request.
        if std::mem::replace(&mut flow.is_waiting, true) {
            return;
        }
        let packet = data(flow.port, flow.tag, flow.seq, flow.ack);
        flow.seq += 100;
        self.sim.packet(flow.vm, &packet);
    }

    fn answer(&mut self, at: usize) {
        let flow = &mut self.flows[at];
        if self.hung.contains(&flow.tag) {
            return;
        }
        flow.is_waiting = false;
        flow.ack += 500;
        let packet = acknowledgement(flow.port, flow.tag, flow.seq, flow.ack);
        self.sim.packet(flow.vm, &packet);
    }
}

#[test]
fn new_flows_avoid_one_in_ten_backend_servers_that_hang() {
    let (mut load, tags) = Load::start();
    load.hung.extend(&tags[..10]);
    load.run(NOTICE_TIME);
    let hung = load.hung.clone();
    let mut got = 0;
    for _ in 0..10 {
        got += load.new_flows_at(&hung);
        load.run(200);
    }
    // A tenth of what balance would give them.
    assert!(got <= 6, "{got} of 600 flows");
}

#[test]
fn a_service_that_hangs_as_a_whole_gets_its_flows_everywhere() {
    let (mut load, tags) = Load::start();
    load.hung.extend(&tags);
    load.run(NOTICE_TIME);
    let mut counts: BTreeMap<Tag, usize> = BTreeMap::new();
    for _ in 0..10 {
        let before = load.flows.len();
        (0..VMS).for_each(|vm| load.open(vm));
        for flow in load.flows.drain(before..) {
            *counts.entry(flow.tag).or_default() += 1;
        }
        load.run(200);
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(
        most <= 24,
        "{most} of 600 flows on one of 100 backend servers"
    );
}

#[test]
fn a_backend_server_that_answers_again_gets_new_flows() {
    let (mut load, tags) = Load::start();
    load.hung.extend(&tags[..10]);
    load.run(NOTICE_TIME);
    let returned = std::mem::take(&mut load.hung);
    load.run(2_500);
    let mut got = 0;
    for _ in 0..10 {
        got += load.new_flows_at(&returned);
        load.run(200);
    }
    assert!(got >= 20, "{got} of 600 flows");
}
