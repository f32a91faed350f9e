//! Backend servers that start cold or return to a cold start without notice.

use dragonflytrack::{
    core::{
        capacity::{
            SlotReport,
            SlotResult,
            concurrency_limit::ConcurrencyLimit, //
        },
        configuration::{
            Configuration,
            DataCentreState, //
        },
        names::{
            BackendId,
            DataCentreId,
            Generation,
            ServiceId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::{
    cold::{
        LoadReport,
        WarmUp, //
    },
    sample,
    slots::{
        Policy,
        SlotFleet, //
    },
};

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const SERVICE_TIME: Millis = Millis(100);

const LAGGING: LoadReport = LoadReport::Lagging(Millis::from_secs(10));

const WITHOUT_LEASES: [Policy; 3] = [Policy::RoundRobin, Policy::Random, Policy::TwoChoices];

fn cfg() -> Configuration {
    sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES)
}

fn service() -> ServiceId {
    ServiceId::new("bench-diary")
}

fn load_for(fleet: &mut SlotFleet, share: f64, span: Millis) {
    fleet.load(&service(), 60.0 * share, SERVICE_TIME, span);
}

fn warm_fleet(policy: Policy, seed: u64) -> SlotFleet {
    let mut fleet = SlotFleet::open(&cfg(), 2, seed);
    fleet.policy = policy;
    fleet.run_for(Millis::from_secs(4));
    load_for(&mut fleet, 0.5, Millis::from_secs(15));
    fleet
}

/// How a backend server behaves during a cold start.
#[derive(Clone, Copy, Debug)]
struct ColdStart {
    warm_up: WarmUp,
    sheds: bool,
    reports_run: bool,
}

const COLD_STARTS: [ColdStart; 3] = [
    ColdStart {
        warm_up: WarmUp::Answers(4),
        sheds: true,
        reports_run: true,
    },
    ColdStart {
        warm_up: WarmUp::Answers(4),
        sheds: true,
        reports_run: false,
    },
    ColdStart {
        warm_up: WarmUp::Time(Millis::from_secs(3)),
        sheds: true,
        reports_run: false,
    },
];

/// A cold backend server that accepts requests beyond its capacity.
const NOT_SHEDDING: ColdStart = ColdStart {
    warm_up: WarmUp::Time(Millis::from_secs(3)),
    sheds: false,
    reports_run: false,
};

/// Puts three backend servers into a cold start under load.
fn unannounced_cold_start(
    policy: Policy,
    report: LoadReport,
    cold: ColdStart,
    seed: u64,
) -> SlotFleet {
    let mut fleet = warm_fleet(policy, seed);
    fleet.report = report;
    load_for(&mut fleet, 0.7, Millis::from_secs(5));
    fleet.tally = Default::default();
    for backend in fleet.backends.values_mut() {
        backend.excess = 0;
        backend.warm_up = cold.warm_up;
        backend.sheds = cold.sheds;
        backend.reports_run = cold.reports_run;
    }
    for n in [0, 4, 8] {
        let name = BackendId::new(format!("bench-diary-{n:02}"));
        let now = fleet.now;
        if let Some(backend) = fleet.backends.get_mut(&name) {
            backend.enter_cold_start(now);
        }
        load_for(&mut fleet, 0.7, Millis::from_secs(2));
    }
    load_for(&mut fleet, 0.7, Millis::from_secs(30));
    fleet
}

fn crashes(fleet: &SlotFleet) -> u64 {
    fleet.sum(|b| u64::from(b.crashes))
}

#[test]
fn naive_choices_make_a_cold_backend_server_fall_over() {
    for policy in WITHOUT_LEASES {
        for report in [LAGGING, LoadReport::Stuck, LoadReport::Zero] {
            let fleet = unannounced_cold_start(policy, report, COLD_STARTS[0], 1);
            println!(
                "{policy:?} {report:?}: {} crashes, {} over capacity, {} refused",
                crashes(&fleet),
                fleet.sum(|b| b.excess),
                fleet.tally.refused.len(),
            );
            assert!(crashes(&fleet) > 0);
        }
    }
}

#[test]
fn an_unannounced_cold_start_makes_no_backend_server_fall_over() {
    for cold in COLD_STARTS {
        for seed in 1..=3 {
            let fleet = unannounced_cold_start(Policy::Leases, LAGGING, cold, seed);
            println!(
                "{cold:?} seed {seed}: {} crashes, {} over capacity, {} refused, {} shed",
                crashes(&fleet),
                fleet.sum(|b| b.excess),
                fleet.tally.refused.len(),
                fleet.tally.shed,
            );
            assert_eq!(crashes(&fleet), 0);
            let is_warm = |b: &dragonflytrack_testkit::cold::ColdBackend| b.capacity == b.slots;
            assert!(fleet.backends.values().all(is_warm));
        }
    }
}

fn assert_no_crash_without_shedding(seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let fleet = unannounced_cold_start(Policy::Leases, LAGGING, NOT_SHEDDING, seed);
        println!(
            "{NOT_SHEDDING:?} seed {seed}: {} crashes, {} over capacity",
            crashes(&fleet),
            fleet.sum(|b| b.excess),
        );
        assert_eq!(crashes(&fleet), 0);
    }
}

#[test]
fn a_cold_backend_server_that_sheds_nothing_does_not_fall_over() {
    assert_no_crash_without_shedding(1..=20);
}

/// The seeds from 21 to 60 with a crash.
#[test]
fn a_cold_backend_server_that_sheds_nothing_does_not_fall_over_in_further_seeds() {
    assert_no_crash_without_shedding([21, 41]);
}

#[test]
fn a_backend_server_that_warms_with_its_answers_never_gets_more_than_its_capacity() {
    for seed in 1..=3 {
        let mut fleet = SlotFleet::open(&cfg(), 2, seed);
        for backend in fleet.backends.values_mut() {
            backend.enter_cold_start(Time(0));
        }
        fleet.run_for(Millis::from_secs(4));
        load_for(&mut fleet, 0.7, Millis::from_secs(30));
        println!(
            "seed {seed}: {} over capacity, {} answered, {} refused",
            fleet.sum(|b| b.excess),
            fleet.tally.answered,
            fleet.tally.refused.len(),
        );
        assert_eq!(fleet.sum(|b| b.excess), 0);
    }
}

#[test]
fn ordinary_variation_of_answer_times_is_not_taken_for_a_cold_start() {
    const ANSWERS: u64 = 20_000;
    const MEAN: f64 = 100.0;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut concurrency_limit = ConcurrencyLimit::new(4, Time(0));
    let mut now = Time(0);
    let mut resets = 0;
    for _ in 0..ANSWERS {
        now += Millis(70);
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let report = SlotReport {
            result: SlotResult::Answered,
            elapsed: Millis((-uniform.ln() * MEAN) as u64),
            backend_run: None,
        };
        resets += u64::from(concurrency_limit.record(now, 4, &report).is_some());
    }
    println!("exponential answer times: {resets} resets in {ANSWERS} answers");
    assert!(resets <= ANSWERS / 1_000);
}

fn set_state(fleet: &mut SlotFleet, state: DataCentreState, share: u8) {
    let mut cfg = fleet.cfg.clone();
    cfg.generation = Generation(cfg.generation.0 + 1);
    for data_centre in &mut cfg.data_centres {
        if data_centre.name == DataCentreId::new("wrecsam") {
            data_centre.state = state;
            data_centre.share = share;
        }
    }
    fleet.configure(cfg);
}

/// Takes a data centre out of service and ramps it up again with cold backend
/// servers. Returns the final imbalance too.
fn out_and_return(policy: Policy, seed: u64) -> (SlotFleet, f64) {
    let mut fleet = warm_fleet(policy, seed);
    load_for(&mut fleet, 0.45, Millis::from_secs(5));
    fleet.tally = Default::default();
    set_state(&mut fleet, DataCentreState::Out, 0);
    load_for(&mut fleet, 0.45, Millis::from_secs(5));
    let outside: Vec<_> = fleet
        .cfg
        .backends
        .iter()
        .filter(|b| b.data_centre == DataCentreId::new("wrecsam"))
        .map(|b| b.name.clone())
        .collect();
    let out_at = fleet.now;
    load_for(&mut fleet, 0.45, Millis::from_secs(10));
    for name in &outside {
        let start = fleet.last_start.get(name).copied().unwrap_or_default();
        assert!(start <= out_at, "{name} got work while out");
        let now = fleet.now;
        if let Some(backend) = fleet.backends.get_mut(name) {
            backend.enter_cold_start(now);
        }
    }
    for share in [10, 25, 50, 75] {
        set_state(&mut fleet, DataCentreState::Returning, share);
        load_for(&mut fleet, 0.6, Millis::from_secs(5));
    }
    set_state(&mut fleet, DataCentreState::In, 100);
    load_for(&mut fleet, 0.7, Millis::from_secs(30));
    fleet.reset_imbalance();
    load_for(&mut fleet, 0.7, Millis::from_secs(30));
    let imbalance = fleet.imbalance(&service());
    (fleet, imbalance)
}

#[test]
fn a_returning_data_centre_is_ramped_up() {
    for policy in WITHOUT_LEASES {
        let (fleet, imbalance) = out_and_return(policy, 1);
        println!(
            "{policy:?}: {} crashes, {} over slots, imbalance {imbalance:.3}",
            crashes(&fleet),
            fleet.sum(|b| b.over_slots),
        );
    }
    for seed in 1..=3 {
        let (fleet, imbalance) = out_and_return(Policy::Leases, seed);
        println!(
            "seed {seed}: {} crashes, {} over capacity, imbalance {imbalance:.3}, {} refused",
            crashes(&fleet),
            fleet.sum(|b| b.excess),
            fleet.tally.refused.len(),
        );
        assert_eq!(crashes(&fleet), 0);
        assert_eq!(fleet.sum(|b| b.over_slots), 0);
        assert!(imbalance <= 1.15);
    }
}
