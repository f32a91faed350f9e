//! Measures the cost of a configuration record by its size, and the delay until
//! a change is in force by the size of the fleet.
//!
//! `cargo run --release --example intent_bench`

use std::{
    hint::black_box,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Instant,
};

use dragonflytrack::{
    core::{
        Event,
        configuration::{
            Backend,
            BackendState,
            Configuration, //
        },
        intent::{
            AdminCall,
            AdminCallId,
            AdminOp,
            Intent,
            Record,
            validation::validate, //
        },
        names::{
            BackendId,
            PlanId, //
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::{
    Fleet,
    sample, //
};

const BACKENDS: [u32; 4] = [100, 500, 2_000, 4_000];
const VMS_PER_DATA_CENTRE: [usize; 4] = [2, 4, 8, 16];
const IDLE_WINDOW: Millis = Millis::from_secs(60);
const SEEDS: u64 = 5;

fn main() {
    println!("backends  JSON bytes  peer bytes  JSON/backend  decode us  check us  change us");
    for backends in BACKENDS {
        measure_record(backends);
    }
    println!("\nvms  platform calls/s idle  slowest VM after the write, ms");
    for vms in VMS_PER_DATA_CENTRE {
        measure_fleet(vms);
    }
}

/// Builds a record with `backends` backend servers of one service.
fn record(backends: u32) -> Record {
    let mut cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES[..1]);
    let service = cfg.services[0].name.clone();
    cfg.backends.clear();
    for n in 0..backends {
        let host = Ipv4Addr::from(0x0a00_0000 + n);
        cfg.backends.push(Backend {
            name: BackendId::new(format!("fitting-svc-{n:06}")),
            service: service.clone(),
            data_centre: cfg.data_centres[n as usize % 3].name.clone(),
            packets: SocketAddr::from((host, 6_080)),
            requests: SocketAddr::from((host, 8_080)),
            slots: 2,
            connections: 2_000,
            state: BackendState::Active,
        });
    }
    Record {
        cfg: Arc::new(cfg),
        ..Record::default()
    }
}

fn measure_record(backends: u32) {
    let record = record(backends);
    let value = record.to_value();
    let json = value.to_string().len();
    let peer = postcard::to_stdvec(&record).map_or(0, |bytes| bytes.len());
    let intent = Intent::Drain {
        backend: record.cfg.backends[0].name.clone(),
    };
    let plan = PlanId::new("bench");
    let decode = micros(|| drop(black_box(Record::from_value(&value))));
    let validation = micros(|| drop(black_box(validate(&record.cfg))));
    let change = micros(|| {
        let cfg = intent.apply_to(&record.cfg).unwrap_or_default();
        drop(black_box(record.confirm(cfg, &plan).to_value()));
    });
    println!(
        "{backends:8}  {json:10}  {peer:10}  {:12.1}  {decode:9.0}  {validation:8.0}  {change:9.0}",
        f64::from(u32::try_from(json).unwrap_or(0)) / f64::from(backends),
    );
}

/// Returns the mean time of `work` in microseconds.
fn micros(mut work: impl FnMut()) -> f64 {
    const ROUNDS: u32 = 20;
    let started = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn measure_fleet(vms: usize) {
    let mut calls = 0;
    let mut slowest = Millis(0);
    for seed in 0..SEEDS {
        let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
        let mut fleet = Fleet::open(&cfg, vms, seed);
        fleet.run_for(Millis::from_secs(15));
        let before = fleet.platform.calls;
        fleet.run_for(IDLE_WINDOW);
        calls += fleet.platform.calls - before;
        slowest = slowest.max(activation_delay(&mut fleet, &cfg));
    }
    let seconds = SEEDS * IDLE_WINDOW.0 / 1_000;
    println!(
        "{:3}  {:21.2}  {}",
        vms * 3,
        calls as f64 / seconds as f64,
        slowest.0
    );
}

/// Confirms a drain and returns the delay from its write until it is in force on
/// all VMs.
fn activation_delay(fleet: &mut Fleet, cfg: &Configuration) -> Millis {
    let intent = Intent::Drain {
        backend: cfg.backends[0].name.clone(),
    };
    send_admin_call(fleet, 0, AdminOp::MakePlan(intent));
    let Some((_, reply)) = fleet.admin_replies.last().cloned() else {
        return Millis(0);
    };
    let plan = PlanId::new(reply.body["id"].as_str().unwrap_or_default());
    let write_count = |fleet: &Fleet| fleet.platform.writes.len();
    let before = write_count(fleet);
    let call = AdminCall {
        id: AdminCallId(1),
        op: AdminOp::Confirm(plan),
    };
    fleet.event(0, Event::Admin(call));
    while write_count(fleet) == before {
        fleet.run_for(Millis(1));
    }
    let written_at = fleet.now;
    while !all_at_generation(fleet, 2) {
        fleet.run_for(Millis(1));
    }
    fleet.now.since(written_at)
}

fn send_admin_call(fleet: &mut Fleet, id: u64, op: AdminOp) {
    let id = AdminCallId(id);
    fleet.event(0, Event::Admin(AdminCall { id, op }));
    fleet.run_for(Millis::from_secs(1));
}

fn all_at_generation(fleet: &Fleet, generation: u64) -> bool {
    let engines = fleet.nodes.iter().filter_map(|n| n.engine.as_ref());
    let mut generations = engines.map(|e| e.configuration().generation.0);
    generations.all(|g| g >= generation)
}
