//! Tests of the load sums of a fleet above a full mesh.
//!
//! The load: 80 VMs in three data centres, 40 backend servers in each.

use std::collections::BTreeMap;

use dragonflytrack::{
    core::steering::tag::Tag,
    kernel::clock::Millis, //
};
use dragonflytrack_testkit::steering::{
    Simulation,
    acknowledgement,
    backend,
    route_address, //
};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

const VMS: usize = 80;

const BACKENDS: u64 = 120;

/// Time after which a hub sends sums although another one is heard.
const SETTLING: Millis = Millis(4_500);

/// Time after which a change is known everywhere.
const SPREADING: Millis = Millis(1_500);

/// Greatest age of the loads in normal operation: 0.75 s for the own data centre
/// and 0.5 s more for others.
const MAX_AGE: Millis = Millis(1_250);

struct Fleet {
    sim: Simulation,
    tags: Vec<Tag>,
    /// Flows by VM and backend server.
    flows: BTreeMap<(usize, Tag), u32>,
    next_port: u16,
}

impl Fleet {
    fn start() -> Fleet {
        let data_centres: Vec<&str> = (0..VMS).map(data_centre).collect();
        let mut sim = Simulation::start(&data_centres);
        sim.configure(1, &[("web", 1)]);
        let tags = (1..=BACKENDS)
            .map(|key| sim.put_backend(&backend(key, data_centre(key as usize))))
            .collect();
        sim.run(SETTLING);
        Fleet {
            sim,
            tags,
            flows: BTreeMap::new(),
            next_port: 1_000,
        }
    }

    fn open(&mut self, vm: usize) -> Tag {
        let port = self.next_port;
        self.next_port += 1;
        let tag = self.sim.place(vm, port).expect("the flow is placed");
        self.sim.packet(vm, &acknowledgement(port, tag, 101, 500));
        *self.flows.entry((vm, tag)).or_default() += 1;
        tag
    }

    /// Opens flows at all VMs in turn, one every 5 ms.
    fn open_in_turn(&mut self, flows: usize) {
        for at in 0..flows {
            self.open(at % VMS);
            self.sim.run(Millis(5));
        }
    }

    /// Returns the flows of the given VMs on a backend server.
    fn count(&self, tag: Tag, counts: impl Fn(usize) -> bool) -> u32 {
        let flows = self.flows.iter();
        let flows = flows.filter(|((vm, t), _)| *t == tag && counts(*vm));
        flows.map(|(_, n)| n).sum()
    }

    fn load(&mut self, vm: usize, tag: Tag) -> u32 {
        self.sim.vm(vm).remote_loads().load(tag).flows
    }

    /// Checks what a VM knows of the flows of the VMs that `counts` selects, on the
    /// backend servers of its own data centre.
    fn check_local_loads(&mut self, vm: usize, counts: impl Fn(usize) -> bool) {
        let local = |at: &usize| data_centre(*at + 1) == data_centre(vm);
        let tags: Vec<Tag> = (0..self.tags.len())
            .filter(local)
            .map(|at| self.tags[at])
            .collect();
        for tag in tags {
            let expected = self.count(tag, |v| v != vm && counts(v));
            assert_eq!(self.load(vm, tag), expected, "{tag} at VM {vm}");
        }
    }

    fn oldest(&mut self, vms: impl Iterator<Item = usize>) -> Option<Millis> {
        let now = self.sim.now;
        let mut oldest = Some(Millis(0));
        for vm in vms {
            oldest = oldest.max(Some(self.sim.vm(vm).remote_loads().age(now)?));
        }
        oldest
    }
}

fn data_centre(at: usize) -> &'static str {
    DATA_CENTRES[at % 3]
}

/// Guards against sums that count a VM twice or not at all, and stale ones.
#[test]
fn each_vm_knows_the_flows_of_all_others() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(400);
    fleet.sim.run(SPREADING);
    for vm in 0..VMS {
        fleet.check_local_loads(vm, |_| true);
        let loads = fleet.sim.vm(vm).remote_loads();
        let demand = loads.demands().iter().map(|d| d.flows);
        assert_eq!(demand.sum::<u32>(), 400, "VM {vm}");
        let served = loads.demands().iter().map(|d| (&d.origin, &d.destination));
        assert!(served.into_iter().all(|(origin, at)| origin == at));
    }
    for _ in 0..20 {
        fleet.sim.run(Millis(65));
        assert!(fleet.oldest(0..VMS).is_some_and(|age| age <= MAX_AGE));
    }
}

/// Guards against demand on a route that is counted at one VM only.
#[test]
fn each_vm_knows_the_rate_of_new_flows() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(600);
    for vm in 0..VMS {
        let routes = fleet.sim.vm(vm).remote_loads().routes();
        assert_eq!(routes.len(), 1);
        assert_eq!(routes[0].route, route_address());
        let rate = routes[0].arrivals_per_s;
        assert!((180..=220).contains(&rate), "{rate} per second at VM {vm}");
    }
}

/// Guards against the imbalance of VMs that each know little.
#[test]
fn flows_are_balanced() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(2_000);
    let counts = fleet.tags.iter().map(|tag| fleet.count(*tag, |_| true));
    let busiest = counts.max().map_or(0.0, f64::from);
    let ratio = busiest / (2_000.0 / BACKENDS as f64);
    assert!(ratio <= 1.3, "{ratio}");
}

/// Guards against VMs that all choose the backend server that was idle when the sum
/// was taken.
#[test]
fn vms_with_the_same_old_sum_choose_differently() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(1_200);
    let idle = fleet.sim.put_backend(&backend(BACKENDS + 3, "a"));
    fleet.sim.run(Millis(200));
    let mut herd = 0;
    for vm in (0..VMS).filter(|vm| data_centre(*vm) == "a") {
        herd += (0..4).filter(|_| fleet.open(vm) == idle).count();
    }
    // 108 flows, of which a fair choice of three among 41 sends 8 there.
    assert!((1..=20).contains(&herd), "{herd}");
}

/// Guards against loads that are lost, or a hub whose flows remain, when it dies.
#[test]
fn the_other_hub_sends_when_one_dies() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(400);
    fleet.sim.kill(0);
    for _ in 0..30 {
        fleet.sim.run(Millis(100));
        let age = fleet.oldest(1..VMS);
        assert!(age.is_some_and(|age| age <= Millis(2_000)), "{age:?}");
    }
    for vm in 1..VMS {
        fleet.check_local_loads(vm, |v| v != 0);
    }
}

/// Guards against a hub that restarts and sends sums before all VMs report to it.
#[test]
fn a_hub_that_restarts_sends_no_incomplete_sums() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(800);
    fleet.sim.run(SPREADING);
    fleet.sim.restart(0);
    for _ in 0..50 {
        fleet.sim.run(Millis(130));
        let age = fleet.oldest(1..VMS);
        assert!(age.is_some_and(|age| age <= Millis(2_000)), "{age:?}");
        for vm in [3, 6, 30, 78] {
            for at in 0..fleet.tags.len() {
                let tag = fleet.tags[at];
                let least = fleet.count(tag, |v| ![vm, 0].contains(&v));
                let load = fleet.load(vm, tag);
                assert!(load >= least, "{load} of {least} at VM {vm}");
            }
        }
    }
    for vm in 1..VMS {
        fleet.check_local_loads(vm, |v| v != 0);
    }
}

/// Guards against loads that are counted twice while both hubs send them.
#[test]
fn two_hubs_that_both_send_are_not_counted_twice() {
    let mut fleet = Fleet::start();
    fleet.open_in_turn(400);
    // The hubs of data centre `a` do not hear each other.
    fleet.sim.partitions.insert((0, 3));
    fleet.sim.run(Millis(3_000));
    for vm in (0..VMS).filter(|vm| ![0, 3].contains(vm)) {
        for at in 0..fleet.tags.len() {
            let tag = fleet.tags[at];
            let all = fleet.count(tag, |v| v != vm);
            let least = fleet.count(tag, |v| ![vm, 0, 3].contains(&v));
            let load = fleet.load(vm, tag);
            assert!((least..=all).contains(&load), "{load} at VM {vm}");
        }
    }
}

/// Guards against the loads of a data centre that stay after it was cut off.
#[test]
fn the_loads_of_a_data_centre_that_is_cut_off_expire() {
    let mut fleet = Fleet::start();
    // Flows from `c` reach backend servers of `a` while their own are drained.
    for key in (1..=BACKENDS).filter(|key| data_centre(*key as usize) == "c") {
        let mut server = backend(key, "c");
        server.draining = true;
        fleet.sim.put_backend(&server);
    }
    fleet.sim.run(Millis(300));
    fleet.open_in_turn(400);
    fleet.sim.run(SPREADING);
    let is_cut_off = |vm: usize| data_centre(vm) == "c";
    let remote = fleet.flows.keys().filter(|(vm, _)| is_cut_off(*vm));
    assert!(remote.count() > 50);
    fleet.check_local_loads(0, |_| true);
    let cut = (0..VMS).filter(|vm| is_cut_off(*vm));
    for vm in cut {
        let others = (0..VMS).filter(|other| !is_cut_off(*other));
        let pairs = others.map(|other| (vm.min(other), vm.max(other)));
        fleet.sim.partitions.extend(pairs);
    }
    fleet.sim.run(Millis(3_000));
    for vm in [0, 1, 6, 7] {
        fleet.check_local_loads(vm, |v| !is_cut_off(v));
    }
    fleet.sim.partitions.clear();
    fleet.sim.run(Millis(5_000));
    for vm in [0, 1, 6, 7] {
        fleet.check_local_loads(vm, |_| true);
    }
}
