//! Three data centres between which paths fail.
//!
//! The load: 24 VMs. The data centre `a` has no backend servers unless asked for, `b`
//! and `c` have eight each. One flow opens at each VM of `a` every 40 ms, which is 200
//! flows per second.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr, //
};

use dragonflytrack::{
    core::{
        names::DataCentreId,
        steering::{
            decision::Decision,
            packet::{
                Packet,
                Verdict, //
            },
            paths::PathEvidence,
            tag::Tag, //
        },
    },
    kernel::clock::Millis,
};

use super::{
    Simulation,
    acknowledgement,
    backend,
    opening, //
};

/// VMs in each data centre.
pub const VMS_PER_DATA_CENTRE: usize = 8;

/// Backend servers in each data centre that has some.
const BACKENDS_PER_DATA_CENTRE: u64 = 8;

/// Time of one step.
pub const STEP: Millis = Millis(5);

/// What happens to the heartbeats of a data centre that is lost.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// All are still heard.
    OneDirection,
    /// Those to and from `a` are lost.
    BothDirections,
    /// All are lost.
    NoPower,
}

/// VMs in the data centres `a`, `b` and `c` whose clients in `a` open flows.
pub struct Network {
    /// VMs, those of `a` first.
    pub sim: Simulation,
    /// Backend servers in `a`.
    pub a: Vec<Tag>,
    /// Backend servers in `b`.
    pub b: Vec<Tag>,
    /// Backend servers in `c`.
    pub c: Vec<Tag>,
    /// Handshake time in steps, 1 unless given.
    pub slow: BTreeMap<Tag, u64>,
    /// Handshakes in flight.
    opening: Vec<Opening>,
    steps: usize,
    port: u16,
}

/// A handshake in flight.
struct Opening {
    steps_left: u64,
    vm: usize,
    port: u16,
    tag: Tag,
}

impl Network {
    /// Starts without backend servers in `a`.
    pub fn start() -> Network {
        Network::open(VMS_PER_DATA_CENTRE, 0)
    }

    /// Starts with backend servers in all data centres.
    pub fn start_with_local_backends() -> Network {
        Network::open(VMS_PER_DATA_CENTRE, BACKENDS_PER_DATA_CENTRE)
    }

    /// Starts as many VMs in `b` and `c` as given.
    pub fn with_vms(vms: usize) -> Network {
        Network::open(vms, 0)
    }

    fn open(vms: usize, local_backends: u64) -> Network {
        let a = vec!["a"; VMS_PER_DATA_CENTRE];
        let data_centres = [a, vec!["b"; vms], vec!["c"; vms]];
        let mut sim = Simulation::start(&data_centres.concat());
        sim.configure(1, &[("web", 1)]);
        let mut put = |first, count, data_centre| -> Vec<Tag> {
            let keys = first..first + count;
            keys.map(|key| sim.put_backend(&backend(key, data_centre)))
                .collect()
        };
        let a = put(21, local_backends, "a");
        let b = put(1, BACKENDS_PER_DATA_CENTRE, "b");
        let c = put(11, BACKENDS_PER_DATA_CENTRE, "c");
        // Until 4 s after their start, the hubs may take turns.
        sim.run(Millis(5_000));
        let mut net = Network {
            sim,
            a,
            b,
            c,
            slow: BTreeMap::new(),
            opening: Vec::new(),
            steps: 0,
            port: 1_000,
        };
        net.run(100);
        net
    }

    /// Cuts the path between VMs and backend servers, in the direction that
    /// handshakes need.
    pub fn cut(&mut self, vms: impl Iterator<Item = usize>, tags: &[Tag]) {
        for vm in vms {
            self.sim.unresponsive.extend(tags.iter().map(|t| (vm, *t)));
        }
    }

    /// Stops the heartbeats between the data centre at `at` and `a`, or all others.
    pub fn silence(&mut self, at: usize, cut: Cut) {
        let others = match cut {
            Cut::OneDirection => 0..0,
            Cut::BothDirections => all(),
            Cut::NoPower => 0..3 * VMS_PER_DATA_CENTRE,
        };
        for vm in at * VMS_PER_DATA_CENTRE..(at + 1) * VMS_PER_DATA_CENTRE {
            let pairs = others.clone().map(|o| (o.min(vm), o.max(vm)));
            self.sim.partitions.extend(pairs);
        }
    }

    /// Cuts the VMs of `a` off from the two other data centres.
    pub fn cut_off_a(&mut self) {
        let tags = [self.b.clone(), self.c.clone()].concat();
        self.cut(all(), &tags);
        self.silence(1, Cut::BothDirections);
        self.silence(2, Cut::BothDirections);
    }

    /// Opens flows for a number of steps. Returns the verdicts with the VMs.
    pub fn run(&mut self, steps: usize) -> Vec<(usize, Verdict)> {
        (0..steps).map(|_| self.step()).collect()
    }

    /// Opens a flow at the next VM of `a`. Returns its number and the verdict.
    pub fn step(&mut self) -> (usize, Verdict) {
        self.steps += 1;
        self.complete_handshakes();
        self.port += 1;
        let vm = self.steps % VMS_PER_DATA_CENTRE;
        let verdict = self.sim.packet(vm, &from_own_client(opening(self.port, 0)));
        if let Verdict::Forward(target) = verdict {
            let steps = self.slow.get(&target.tag).copied().unwrap_or(1) - 1;
            self.opening.push(Opening {
                steps_left: steps,
                vm,
                port: self.port,
                tag: target.tag,
            });
        }
        self.sim.run(STEP);
        (vm, verdict)
    }

    fn complete_handshakes(&mut self) {
        for mut handshake in std::mem::take(&mut self.opening) {
            let Opening { vm, port, tag, .. } = handshake;
            if handshake.steps_left > 0 {
                handshake.steps_left -= 1;
                self.opening.push(handshake);
            } else if !self.sim.unresponsive.contains(&(vm, tag)) {
                let packet = acknowledgement(port, tag, 101, 500);
                self.sim.packet(vm, &from_own_client(packet));
            }
        }
    }

    /// Cuts the first hub off from all VMs.
    pub fn lose_hub(&mut self) {
        self.sim
            .partitions
            .extend((1..3 * VMS_PER_DATA_CENTRE).map(|vm| (0, vm)));
    }

    /// Returns the VMs of `a` that consider the path to a data centre lost.
    pub fn losers(&mut self, data_centre: &str) -> Vec<usize> {
        let (now, data_centre) = (self.sim.now, DataCentreId::new(data_centre));
        let vms = 0..VMS_PER_DATA_CENTRE;
        vms.filter(|vm| self.sim.vm(*vm).paths().is_lost(&data_centre, now))
            .collect()
    }

    /// Returns the evidence for all paths found lost.
    pub fn evidence(&self) -> Vec<PathEvidence> {
        let decisions = self.sim.decisions.iter();
        let evidence = decisions.filter_map(|(_, d)| match d {
            Decision::PathLost { evidence, .. } => Some(*evidence),
            _ => None,
        });
        evidence.collect()
    }
}

/// Gives each flow its own client, so that no flow counts as a retry of another.
pub fn from_own_client(mut packet: Packet) -> Packet {
    let [high, low] = packet.flow.client.port().to_be_bytes();
    packet.flow.client.set_ip(Ipv4Addr::new(100, 66, high, low));
    packet
}

/// Returns how many flows went to the given backend servers.
pub fn count_at(verdicts: &[(usize, Verdict)], tags: &[Tag]) -> usize {
    let is_there = |v: &Verdict| matches!(v, Verdict::Forward(t) if tags.contains(&t.tag));
    verdicts.iter().filter(|(_, v)| is_there(v)).count()
}

/// Returns the VMs of `a`.
pub fn all() -> std::ops::Range<usize> {
    0..VMS_PER_DATA_CENTRE
}
