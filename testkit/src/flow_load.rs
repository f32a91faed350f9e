//! Callers with long flows, and the check of what reached the backend servers.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use dragonflytrack::{
    core::{
        configuration::{
            BackendState,
            Configuration,
            DataCentreState, //
        },
        flow::PacketHeaders,
        intent::CONFIGURATION_KEY,
        names::{
            BackendId,
            DataCentreId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    Fleet,
    packet::{
        self,
        Kind, //
    },
};

/// How often the callers are looked at.
const STEP: Millis = Millis(10);

/// How long a caller waits before it repeats a packet that opens a flow.
const SYN_TIMEOUT: Millis = Millis(1_000);

/// What a caller believes about its flow.
#[derive(Clone, Copy, Debug)]
struct Flow {
    number: u32,
    /// The backend server that took the first packet, as an index.
    backend: Option<usize>,
    opened: Time,
    next_packet: Time,
    ends: Time,
    ended: bool,
}

/// A packet of an established flow that did not reach its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Break {
    /// When.
    pub at: Time,
    /// The number of the flow.
    pub flow: u32,
    /// When the flow was opened.
    pub opened: Time,
    /// The backend server that took the first packet, as an index.
    pub expected: usize,
    /// The one that got the packet, or `None` for a reset.
    pub reached: Option<usize>,
}

/// Callers that open flows at a steady rate and keep them.
pub struct FlowLoad {
    /// The configuration that was written last.
    pub cfg: Configuration,
    /// The VMs that the fabric hands packets to.
    pub entries: Vec<usize>,
    /// How many flows are opened in a second.
    pub opened_per_second: u32,
    /// How long a flow lives.
    pub lifetime: Millis,
    /// The longest time between two packets of a flow.
    pub max_pause: Millis,
    service: usize,
    flows: Vec<Flow>,
    rng: SmallRng,
    owed: u32,
    read_deliveries: usize,
    read_replies: usize,
    broken: BTreeSet<u32>,
    /// What broke, in order.
    pub breaks: Vec<Break>,
    by_caller: BTreeMap<std::net::SocketAddr, usize>,
    /// The time and backend server of each opened flow.
    pub opened: Vec<(Time, usize)>,
    /// How many packets of established flows arrived.
    pub arrived: u64,
}

impl FlowLoad {
    /// Starts callers of the first service of `cfg`.
    pub fn new(fleet: &Fleet, cfg: &Configuration, seed: u64) -> FlowLoad {
        FlowLoad {
            cfg: cfg.clone(),
            entries: (0..fleet.nodes.len()).collect(),
            opened_per_second: 50,
            lifetime: Millis::from_secs(3_600),
            max_pause: Millis(600),
            service: 0,
            flows: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            owed: 0,
            read_deliveries: fleet.delivered.len(),
            read_replies: fleet.replies.len(),
            broken: BTreeSet::new(),
            breaks: Vec::new(),
            by_caller: BTreeMap::new(),
            opened: Vec::new(),
            arrived: 0,
        }
    }

    /// Lets callers work for `span`.
    pub fn run_for(&mut self, fleet: &mut Fleet, span: Millis) {
        let end = fleet.now + span;
        while fleet.now < end {
            self.open_flows(fleet);
            self.send_packets(fleet);
            fleet.run_for(STEP);
            self.read(fleet);
        }
    }

    /// Sends a packet of each flow through each VM that runs. Returns how many of them
    /// no backend server got.
    pub fn send_through_all(&mut self, fleet: &mut Fleet) -> usize {
        let before = fleet.delivered.len();
        let mut sent = 0;
        for at in 0..self.flows.len() {
            if self.flows[at].backend.is_none() || self.flows[at].ended {
                continue;
            }
            for vm in self.entries.clone() {
                if fleet.nodes[vm].engine.is_none() {
                    continue;
                }
                self.send(fleet, at, vm, Kind::Data);
                sent += 1;
            }
        }
        fleet.run_for(Millis(200));
        self.read(fleet);
        sent - (fleet.delivered.len() - before)
    }

    fn open_flows(&mut self, fleet: &mut Fleet) {
        self.owed += self.opened_per_second * STEP.0 as u32;
        while self.owed >= 1_000 {
            self.owed -= 1_000;
            let number = self.flows.len() as u32;
            self.by_caller
                .insert(packet::caller(number).into(), self.flows.len());
            self.flows.push(Flow {
                number,
                backend: None,
                opened: fleet.now,
                next_packet: fleet.now,
                ends: fleet.now + self.lifetime,
                ended: false,
            });
        }
    }

    fn send_packets(&mut self, fleet: &mut Fleet) {
        for at in 0..self.flows.len() {
            let flow = self.flows[at];
            if flow.ended || flow.next_packet > fleet.now {
                continue;
            }
            let vm = self.entries[self.rng.random_range(0..self.entries.len())];
            let (kind, pause) = match flow.backend {
                None => (Kind::Syn, SYN_TIMEOUT),
                Some(_) if flow.ends <= fleet.now => (Kind::Fin, STEP),
                Some(_) => (
                    Kind::Data,
                    Millis(self.rng.random_range(20..self.max_pause.0)),
                ),
            };
            self.flows[at].ended = kind == Kind::Fin;
            self.flows[at].next_packet = fleet.now + pause;
            self.send(fleet, at, vm, kind);
        }
    }

    fn send(&self, fleet: &mut Fleet, at: usize, vm: usize, kind: Kind) {
        let source = packet::caller(self.flows[at].number);
        let to = self.cfg.services[self.service].address;
        fleet.packet(vm, packet::tcp(source, to, kind));
    }

    /// Reads the records of the backend servers.
    fn read(&mut self, fleet: &Fleet) {
        for delivered in &fleet.delivered[self.read_deliveries..] {
            let Some(at) = self.by_caller.get(&delivered.packet.source).copied() else {
                continue;
            };
            self.arrived += 1;
            let flow = &mut self.flows[at];
            match flow.backend {
                None => {
                    flow.backend = Some(delivered.backend);
                    flow.opened = delivered.at;
                    flow.next_packet = fleet.now;
                    self.opened.push((delivered.at, delivered.backend));
                }
                Some(backend) if backend != delivered.backend => {
                    let reached = Some(delivered.backend);
                    self.broken.insert(flow.number);
                    self.breaks
                        .push(broken(flow, delivered.at, backend, reached));
                }
                Some(_) => {}
            }
        }
        self.read_deliveries = fleet.delivered.len();
        for (at_time, reply) in &fleet.replies[self.read_replies..] {
            let caller = PacketHeaders::parse(reply).map(|p| p.destination);
            let at = caller.and_then(|c| self.by_caller.get(&c).copied());
            let Some(flow) = at.map(|at| &self.flows[at]) else {
                continue;
            };
            if let Some(backend) = flow.backend {
                self.broken.insert(flow.number);
                self.breaks.push(broken(flow, *at_time, backend, None));
            }
        }
        self.read_replies = fleet.replies.len();
    }

    /// Returns how many established flows lost their backend server, those on
    /// `given_up` backend servers left out.
    pub fn broken(&self, given_up: &[usize]) -> usize {
        let kept = |n: &&u32| {
            let backend = self.flows[**n as usize].backend;
            !backend.is_some_and(|b| given_up.contains(&b))
        };
        self.broken.iter().filter(kept).count()
    }

    /// Returns how many flows were established.
    pub fn established(&self) -> usize {
        self.flows.iter().filter(|f| f.backend.is_some()).count()
    }

    /// Returns how many flows each of `backends` holds.
    pub fn held(&self, backends: &[usize]) -> Vec<usize> {
        let on = |b: &usize| {
            let open = self.flows.iter().filter(|f| !f.ended);
            open.filter(|f| f.backend == Some(*b)).count()
        };
        backends.iter().map(on).collect()
    }

    /// Writes the configuration with the next generation.
    pub fn write(&mut self, fleet: &mut Fleet) {
        self.cfg.generation.0 += 1;
        let value = serde_json::to_value(&self.cfg).unwrap_or_default();
        fleet.platform.force(CONFIGURATION_KEY, value);
        fleet.wake_watches();
    }

    /// Drains the backend server `at`, or ends that.
    pub fn set_state(&mut self, fleet: &mut Fleet, at: usize, state: BackendState) {
        let name = fleet.backends[at].name.clone();
        if let Some(backend) = self.cfg.backends.iter_mut().find(|b| b.name == name) {
            backend.state = state;
        }
        self.write(fleet);
    }

    /// Removes the backend server `name` from the configuration.
    pub fn remove(&mut self, fleet: &mut Fleet, name: &BackendId) {
        self.cfg.backends.retain(|b| b.name != *name);
        self.write(fleet);
    }

    /// Decides about a data centre.
    pub fn set_data_centre(
        &mut self,
        fleet: &mut Fleet,
        name: &str,
        state: DataCentreState,
        share: u8,
    ) {
        let id = DataCentreId::new(name);
        if let Some(found) = self.cfg.data_centres.iter_mut().find(|d| d.name == id) {
            found.state = state;
            found.share = share;
        }
        self.write(fleet);
    }
}

fn broken(flow: &Flow, at: Time, expected: usize, reached: Option<usize>) -> Break {
    Break {
        at,
        flow: flow.number,
        opened: flow.opened,
        expected,
        reached,
    }
}
