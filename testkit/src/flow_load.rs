//! Load generator with long flows that detects packets which reach the wrong
//! backend server.

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
        SegmentKind, //
    },
};

/// Simulated time between two rounds of sending.
const STEP: Millis = Millis(10);

/// How long a caller waits before it retransmits a SYN.
const SYN_TIMEOUT: Millis = Millis(1_000);

/// The state of a flow at its caller.
#[derive(Clone, Copy, Debug)]
struct Flow {
    id: u32,
    /// Index of the backend server that received the first packet.
    backend: Option<usize>,
    opened_at: Time,
    next_packet: Time,
    ends_at: Time,
    ended: bool,
}

/// A packet of an established flow that did not reach its backend server.
#[derive(Clone, Copy, Debug)]
pub struct FlowBreak {
    /// When the packet or reset arrived.
    pub at: Time,
    /// Identifier of the flow.
    pub flow: u32,
    /// When the flow was opened.
    pub opened_at: Time,
    /// Index of the backend server that received the first packet.
    pub expected: usize,
    /// Index of the backend server that received the packet, or `None` if the
    /// caller received a reset.
    pub reached: Option<usize>,
}

/// Callers that open flows at a constant rate and keep sending on them.
pub struct FlowLoad {
    /// The configuration that was last written to the platform.
    pub cfg: Configuration,
    /// Indexes of the VMs that the fabric sends packets to.
    pub entry_vms: Vec<usize>,
    /// Flows opened per second.
    pub opened_per_second: u32,
    /// Time from opening a flow to its FIN.
    pub lifetime: Millis,
    /// Upper bound of the random time between two packets of a flow.
    pub max_pause: Millis,
    service: usize,
    flows: Vec<Flow>,
    rng: SmallRng,
    /// Flows that are due to be opened, in thousandths.
    open_credit: u32,
    read_deliveries: usize,
    read_replies: usize,
    broken_flows: BTreeSet<u32>,
    /// All packets that did not reach their backend server, in order.
    pub breaks: Vec<FlowBreak>,
    by_caller: BTreeMap<std::net::SocketAddr, usize>,
    /// Opening time and backend server index of each opened flow.
    pub opened_flows: Vec<(Time, usize)>,
    /// Number of packets that backend servers received.
    pub arrived_packets: u64,
}

impl FlowLoad {
    /// Creates callers of the first service of `cfg`.
    pub fn open(fleet: &Fleet, cfg: &Configuration, seed: u64) -> FlowLoad {
        FlowLoad {
            cfg: cfg.clone(),
            entry_vms: (0..fleet.nodes.len()).collect(),
            opened_per_second: 50,
            lifetime: Millis::from_secs(3_600),
            max_pause: Millis(600),
            service: 0,
            flows: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            open_credit: 0,
            read_deliveries: fleet.delivered.len(),
            read_replies: fleet.replies.len(),
            broken_flows: BTreeSet::new(),
            breaks: Vec::new(),
            by_caller: BTreeMap::new(),
            opened_flows: Vec::new(),
            arrived_packets: 0,
        }
    }

    /// Runs the fleet and the callers for `span`.
    pub fn run_for(&mut self, fleet: &mut Fleet, span: Millis) {
        let end = fleet.now + span;
        while fleet.now < end {
            self.open_flows(fleet);
            self.send_packets(fleet);
            fleet.run_for(STEP);
            self.record_results(fleet);
        }
    }

    /// Sends a packet of each open flow through each running VM. Returns how
    /// many of the packets reached no backend server.
    pub fn send_through_all(&mut self, fleet: &mut Fleet) -> usize {
        let before = fleet.delivered.len();
        let mut sent = 0;
        for index in 0..self.flows.len() {
            if self.flows[index].backend.is_none() || self.flows[index].ended {
                continue;
            }
            for vm in self.entry_vms.clone() {
                if fleet.nodes[vm].engine.is_none() {
                    continue;
                }
                self.send(fleet, index, vm, SegmentKind::Data);
                sent += 1;
            }
        }
        fleet.run_for(Millis(200));
        self.record_results(fleet);
        sent - (fleet.delivered.len() - before)
    }

    fn open_flows(&mut self, fleet: &mut Fleet) {
        self.open_credit += self.opened_per_second * STEP.0 as u32;
        while self.open_credit >= 1_000 {
            self.open_credit -= 1_000;
            let id = self.flows.len() as u32;
            self.by_caller
                .insert(packet::caller_address(id).into(), self.flows.len());
            self.flows.push(Flow {
                id,
                backend: None,
                opened_at: fleet.now,
                next_packet: fleet.now,
                ends_at: fleet.now + self.lifetime,
                ended: false,
            });
        }
    }

    fn send_packets(&mut self, fleet: &mut Fleet) {
        for index in 0..self.flows.len() {
            let flow = self.flows[index];
            if flow.ended || flow.next_packet > fleet.now {
                continue;
            }
            let vm = self.entry_vms[self.rng.random_range(0..self.entry_vms.len())];
            let (kind, pause) = match flow.backend {
                None => (SegmentKind::Syn, SYN_TIMEOUT),
                Some(_) if flow.ends_at <= fleet.now => (SegmentKind::Fin, STEP),
                Some(_) => (
                    SegmentKind::Data,
                    Millis(self.rng.random_range(20..self.max_pause.0)),
                ),
            };
            self.flows[index].ended = kind == SegmentKind::Fin;
            self.flows[index].next_packet = fleet.now + pause;
            self.send(fleet, index, vm, kind);
        }
    }

    fn send(&self, fleet: &mut Fleet, index: usize, vm: usize, kind: SegmentKind) {
        let source = packet::caller_address(self.flows[index].id);
        let to = self.cfg.services[self.service].address;
        fleet.packet(vm, packet::tcp(source, to, kind));
    }

    /// Evaluates the deliveries and resets since the last call.
    fn record_results(&mut self, fleet: &Fleet) {
        for delivered in &fleet.delivered[self.read_deliveries..] {
            let Some(index) = self.by_caller.get(&delivered.packet.source).copied() else {
                continue;
            };
            self.arrived_packets += 1;
            let flow = &mut self.flows[index];
            match flow.backend {
                None => {
                    flow.backend = Some(delivered.backend);
                    flow.opened_at = delivered.at;
                    flow.next_packet = fleet.now;
                    self.opened_flows.push((delivered.at, delivered.backend));
                }
                Some(backend) if backend != delivered.backend => {
                    let reached = Some(delivered.backend);
                    self.broken_flows.insert(flow.id);
                    self.breaks
                        .push(flow_break(flow, delivered.at, backend, reached));
                }
                Some(_) => {}
            }
        }
        self.read_deliveries = fleet.delivered.len();
        for (at, reply) in &fleet.replies[self.read_replies..] {
            let caller = PacketHeaders::parse(reply).map(|p| p.destination);
            let index = caller.and_then(|c| self.by_caller.get(&c).copied());
            let Some(flow) = index.map(|i| &self.flows[i]) else {
                continue;
            };
            if let Some(backend) = flow.backend {
                self.broken_flows.insert(flow.id);
                self.breaks.push(flow_break(flow, *at, backend, None));
            }
        }
        self.read_replies = fleet.replies.len();
    }

    /// Returns the number of flows that lost their backend server, without the
    /// flows on the backend servers in `excluded`.
    pub fn broken_count(&self, excluded: &[usize]) -> usize {
        let included = |id: &&u32| {
            let backend = self.flows[**id as usize].backend;
            !backend.is_some_and(|b| excluded.contains(&b))
        };
        self.broken_flows.iter().filter(included).count()
    }

    /// Returns the number of flows that were established.
    pub fn established_count(&self) -> usize {
        self.flows.iter().filter(|f| f.backend.is_some()).count()
    }

    /// Returns the number of open flows on each of `backends`.
    pub fn open_flows_on(&self, backends: &[usize]) -> Vec<usize> {
        let count_on = |b: &usize| {
            let open = self.flows.iter().filter(|f| !f.ended);
            open.filter(|f| f.backend == Some(*b)).count()
        };
        backends.iter().map(count_on).collect()
    }

    /// Writes the configuration to the platform with the next generation.
    pub fn write_configuration(&mut self, fleet: &mut Fleet) {
        self.cfg.generation.0 += 1;
        let value = serde_json::to_value(&self.cfg).unwrap_or_default();
        fleet.platform.overwrite(CONFIGURATION_KEY, value);
        fleet.answer_watches();
    }

    /// Sets the state of the backend server at `index` and writes the
    /// configuration.
    pub fn set_backend_state(&mut self, fleet: &mut Fleet, index: usize, state: BackendState) {
        let name = fleet.backends[index].name.clone();
        if let Some(backend) = self.cfg.backends.iter_mut().find(|b| b.name == name) {
            backend.state = state;
        }
        self.write_configuration(fleet);
    }

    /// Removes the backend server `name` and writes the configuration.
    pub fn remove_backend(&mut self, fleet: &mut Fleet, name: &BackendId) {
        self.cfg.backends.retain(|b| b.name != *name);
        self.write_configuration(fleet);
    }

    /// Sets the state and traffic share of a data centre and writes the
    /// configuration.
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
        self.write_configuration(fleet);
    }
}

fn flow_break(flow: &Flow, at: Time, expected: usize, reached: Option<usize>) -> FlowBreak {
    FlowBreak {
        at,
        flow: flow.id,
        opened_at: flow.opened_at,
        expected,
        reached,
    }
}
