//! Measures flow decisions: time per packet, memory per flow, lookup tables,
//! control traffic, and the flows that stateless hashing would break.
//!
//! `cargo run --release --example flow_bench`

use std::{
    hint::black_box,
    net::SocketAddr,
    time::Instant, //
};

use bytes::Bytes;
use dragonflytrack::{
    core::{
        Counter,
        Counters,
        Cx,
        PeerMessage,
        configuration::{
            BackendState,
            Configuration,
            DataCentreState, //
        },
        flow::{
            FlowMessage,
            Flows,
            PacketHeaders,
            PacketSource,
            buckets::bucket_of,
            message::Pins,
            table::{
                Candidate,
                LookupTable, //
            }, //
        },
        membership::{
            View,
            Vm, //
        },
        message::Envelope,
        names::{
            BackendId,
            Incarnation,
            VmId, //
        }, //
    },
    kernel::clock::{
        Millis,
        Time,
        WallTime, //
    },
};
use dragonflytrack_testkit::{
    Fleet,
    FlowLoad,
    packet::{
        self,
        SegmentKind, //
    },
    sample, //
};
use hashbrown::HashMap;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const SEED: u64 = 4;
const FLOW_COUNTS: [u32; 3] = [1_000, 100_000, 1_000_000];
const LOOKUPS: usize = 2_000_000;

fn main() {
    println!("seed {SEED}");
    println!("\ndecision time for each packet");
    for flows in FLOW_COUNTS {
        decision_time(flows);
    }
    println!("\nlookup tables");
    for backends in [4, 15, 60, 240] {
        table_time(backends);
    }
    println!("\nflows that a drain of 1 of 15 backend servers moves");
    stateless_hashing();
    println!("\ncontrol at 3,000 new flows a second and 300,000 held, 6 VMs");
    control_of_change(Change::Drain);
    control_of_change(Change::DataCentreOut);
    full_replication();
    println!("\ncontrol by new flows a second, 1 of 15 backend servers drained");
    for rate in [300, 1_000, 3_000] {
        control_by_rate(rate);
    }
}

/// A VM without peers.
struct SingleVm {
    flows: Flows,
    view: View,
    cfg: Configuration,
    now: Time,
    rng: SmallRng,
    counters: Counters,
}

impl SingleVm {
    fn open(cfg: Configuration) -> SingleVm {
        let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
        let me = Vm {
            id: VmId::new("vm0"),
            data_centre: cfg.data_centres[0].name.clone(),
            incarnation: Incarnation(1),
            peer_address: address,
            relay_address: address,
        };
        let mut vm = SingleVm {
            flows: Flows::open(),
            view: View::new(me, Time(0)),
            cfg,
            now: Time(0),
            rng: SmallRng::seed_from_u64(SEED),
            counters: Counters::default(),
        };
        vm.with_cx(Flows::on_configuration);
        vm.advance(Millis::from_secs(3));
        vm
    }

    fn with_cx(&mut self, f: impl FnOnce(&mut Flows, &mut Cx<'_>)) {
        let mut out = Vec::new();
        let mut cx = Cx {
            now: self.now,
            wall: WallTime(0),
            view: &self.view,
            cfg: &self.cfg,
            rng: &mut self.rng,
            counters: &mut self.counters,
            out: &mut out,
        };
        f(&mut self.flows, &mut cx);
        black_box(out);
    }

    fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += Millis(100);
            self.with_cx(Flows::tick);
        }
    }

    fn packet(&mut self, packet: &Bytes) {
        let packet = packet.clone();
        self.with_cx(|flows, cx| flows.on_packet(cx, PacketSource::Fabric, packet));
    }

    /// Replaces all backend servers, which changes every bucket.
    fn change_all(&mut self) {
        let old = self.cfg.backends.clone();
        for backend in &mut self.cfg.backends {
            backend.state = BackendState::Draining;
        }
        for (at, mut backend) in old.into_iter().enumerate() {
            backend.name = BackendId::new(format!("{}-new", backend.name));
            backend.packets = SocketAddr::from(([10, 9, 0, at as u8], 6_080));
            self.cfg.backends.push(backend);
        }
        self.cfg.generation.0 += 1;
        self.with_cx(Flows::on_configuration);
        self.advance(Millis::from_secs(3));
    }
}

fn configuration() -> Configuration {
    sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES)
}

fn decision_time(flows: u32) {
    let mut vm = SingleVm::open(configuration());
    let to = vm.cfg.services[0].address;
    let order = random_order(flows);
    let data: Vec<Bytes> = (0..flows)
        .map(|n| packet::tcp(packet::caller_address(n), to, SegmentKind::Data))
        .collect();
    let parse = nanos_per_call(&order, |n| {
        black_box(PacketHeaders::parse(&data[n]).map(|p| p.flow_hash()));
    });
    let by_table = nanos_per_call(&order, |n| vm.packet(&data[n]));
    vm.change_all();
    for n in 0..flows {
        vm.packet(&packet::tcp(
            packet::caller_address(n),
            to,
            SegmentKind::Syn,
        ));
    }
    let by_pin = nanos_per_call(&order, |n| vm.packet(&data[n]));
    let stats = vm.flows.stats();
    let map = map_lookup(flows, &order);
    println!(
        "{flows:>8} flows: map look-up {map:.0} ns, parse and hash {parse:.0} ns, \
         by table {by_table:.0} ns ({:.1}x), by pin {by_pin:.0} ns ({:.1}x), \
         {} entries of {:.1} bytes",
        by_table / map,
        by_pin / map,
        stats.entries,
        stats.entry_bytes as f64 / stats.entries as f64,
    );
}

fn random_order(flows: u32) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    (0..LOOKUPS).map(|_| rng.random_range(0..flows)).collect()
}

/// Returns the mean time of a call of `f` in nanoseconds.
fn nanos_per_call(order: &[u32], mut f: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for n in order {
        f(*n as usize);
    }
    start.elapsed().as_nanos() as f64 / order.len() as f64
}

/// Returns the mean time in nanoseconds to look up a flow by its addresses in a
/// hash map.
fn map_lookup(flows: u32, order: &[u32]) -> f64 {
    let key = |n: u32| (packet::caller_address(n), 443_u16);
    let map: HashMap<_, u32> = (0..flows).map(|n| (key(n), n)).collect();
    let keys: Vec<_> = (0..flows).map(key).collect();
    nanos_per_call(order, |n| {
        black_box(map.get(&keys[n]));
    })
}

fn candidates(names: &[BackendId]) -> Vec<Candidate<'_>> {
    let candidate = |(at, name)| Candidate {
        name,
        target: at as u16,
        weight: 100,
    };
    names.iter().enumerate().map(candidate).collect()
}

fn names(count: usize) -> Vec<BackendId> {
    (0..count)
        .map(|n| BackendId::new(format!("backend-{n:03}")))
        .collect()
}

fn table_time(backends: usize) {
    const REPEATS: u32 = 200;
    let names = names(backends);
    let candidates = candidates(&names);
    let start = Instant::now();
    for _ in 0..REPEATS {
        black_box(LookupTable::build(&candidates));
    }
    let micros = start.elapsed().as_micros() as f64 / f64::from(REPEATS);
    let table = LookupTable::build(&candidates);
    let mut counts = vec![0u32; backends];
    for entry in table.entries() {
        counts[usize::from(*entry)] += 1;
    }
    let mean = table.entries().len() as f64 / backends as f64;
    let most = counts.iter().max().copied().unwrap_or(0);
    println!(
        "{backends:>4} backend servers: compiled in {micros:.0} us, {} bytes, \
         largest share {:.3} of the mean",
        size_of_val(table.entries()),
        f64::from(most) / mean,
    );
}

/// Prints the share of flows that change their backend server if no flow state
/// is kept.
fn stateless_hashing() {
    const FLOWS: u32 = 300_000;
    let to = configuration().services[0].address;
    let names = names(15);
    let before = LookupTable::build(&candidates(&names));
    let after = LookupTable::build(&candidates(&names)[1..]);
    let (mut modulo, mut table, mut drained) = (0, 0, 0);
    for n in 0..FLOWS {
        let packet = packet::tcp(packet::caller_address(n), to, SegmentKind::Data);
        let Some(flow) = PacketHeaders::parse(&packet).map(|p| p.flow_hash()) else {
            continue;
        };
        modulo += u32::from(flow % 15 != flow % 14 + 1);
        let bucket = bucket_of(flow);
        table += u32::from(before.get(bucket) != after.get(bucket));
        drained += u32::from(before.get(bucket) == 0);
    }
    let percent = |n: u32| 100.0 * f64::from(n) / f64::from(FLOWS);
    println!("hash modulo the list: {:.1}%", percent(modulo));
    println!("consistent hashing without memory: {:.1}%", percent(table));
    println!("(flows on the drained one: {:.1}%)", percent(drained));
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Drain,
    DataCentreOut,
}

fn control_of_change(change: Change) {
    const WINDOW: Millis = Millis::from_secs(20);
    let cfg = configuration();
    let mut fleet = Fleet::open(&cfg, 2, SEED);
    fleet.run_for(Millis::from_secs(5));
    let mut load = FlowLoad::open(&fleet, &cfg, SEED);
    load.max_pause = Millis::from_secs(20);
    load.lifetime = Millis::from_secs(100);
    load.opened_per_second = 30_000;
    load.run_for(&mut fleet, Millis::from_secs(10));
    load.opened_per_second = 3_000;
    let gone: Vec<usize> = match change {
        Change::Drain => {
            load.set_backend_state(&mut fleet, 0, BackendState::Draining);
            Vec::new()
        }
        Change::DataCentreOut => {
            load.set_data_centre(&mut fleet, "abertawe", DataCentreState::Out, 0);
            (0..15).filter(|b| b % 3 == 1).collect()
        }
    };
    load.run_for(&mut fleet, Millis::from_secs(5));
    let before = Totals::of(&fleet);
    load.run_for(&mut fleet, WINDOW);
    let rates = Totals::of(&fleet).since(&before, WINDOW);
    let broken = load.broken_count(&gone);
    println!(
        "{change:?}: {rates}, {broken} broken of {}",
        load.established_count()
    );
}

fn control_by_rate(rate: u32) {
    const WINDOW: Millis = Millis::from_secs(20);
    let cfg = configuration();
    let mut fleet = Fleet::open(&cfg, 2, SEED);
    fleet.run_for(Millis::from_secs(5));
    let mut load = FlowLoad::open(&fleet, &cfg, SEED);
    load.max_pause = Millis::from_secs(2);
    load.lifetime = Millis::from_secs(20);
    load.opened_per_second = rate;
    load.set_backend_state(&mut fleet, 0, BackendState::Draining);
    load.run_for(&mut fleet, Millis::from_secs(10));
    let before = Totals::of(&fleet);
    load.run_for(&mut fleet, WINDOW);
    let rates = Totals::of(&fleet).since(&before, WINDOW);
    println!("{rate:>5} new flows a second: {rates}");
}

/// Counter totals of a fleet.
struct Totals {
    control_bytes: Vec<u64>,
    relayed: u64,
    forwarded: u64,
}

/// Counter increases per second.
#[derive(derive_more::Display)]
#[display(
    "at most {control} B/s of control for a VM, {relayed} relayed of \
     {forwarded} packets a second in the fleet"
)]
struct Rates {
    control: u64,
    relayed: u64,
    forwarded: u64,
}

impl Totals {
    fn of(fleet: &Fleet) -> Totals {
        let sum = |counter| {
            let engines = fleet.nodes.iter().filter_map(|n| n.engine.as_ref());
            engines.map(|e| e.counters().get(counter)).sum()
        };
        Totals {
            control_bytes: fleet.nodes.iter().map(|n| n.control_bytes).collect(),
            relayed: sum(Counter::PacketRelayed),
            forwarded: sum(Counter::PacketForwarded),
        }
    }

    fn since(&self, earlier: &Totals, span: Millis) -> Rates {
        let pairs = self.control_bytes.iter().zip(&earlier.control_bytes);
        let most = pairs.map(|(a, b)| a - b).max().unwrap_or(0);
        let per_second = |n: u64| n * 1_000 / span.0;
        Rates {
            control: per_second(most),
            relayed: per_second(self.relayed - earlier.relayed),
            forwarded: per_second(self.forwarded - earlier.forwarded),
        }
    }
}

/// Prints the bytes per second that a VM would send to announce each new flow to
/// all peers, computed from the encoded size of the messages.
fn full_replication() {
    const PEERS: usize = 5;
    const OPENED_HERE: usize = 500;
    const MESSAGES: usize = 2;
    const BACKENDS: usize = 15;
    let flows = vec![[7; 8]; OPENED_HERE / MESSAGES / BACKENDS];
    let pins = |name: &BackendId| Pins {
        service: "bench-diary".into(),
        backend: name.clone(),
        flows: flows.clone(),
    };
    let msg = FlowMessage::Answers(names(BACKENDS).iter().map(pins).collect());
    let envelope = Envelope {
        from: VmId::new("vm0"),
        incarnation: Incarnation(1_800_000_000_000),
        to_incarnation: Incarnation(1_800_000_000_000),
        msg: PeerMessage::Flow(msg),
    };
    let bytes = envelope.encoded_len() * MESSAGES * PEERS;
    println!("full replication: {bytes} B/s for a VM");
}
