//! Histories of concurrent requests under random faults, checked against the
//! records of callers and backend servers alone.

use std::collections::BTreeSet;

use dragonflytrack::{
    core::{
        Engine,
        request::{
            Answer,
            CallId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::{
    FakeBackend,
    Fleet,
    caller::{
        Callers,
        RetryPolicy, //
    },
    history::{
        History,
        OpId,
        Outcome,
        Record,
        RequestId,
        Violation, //
    },
    sample, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const STEP: Millis = Millis(20);
const SERVICE: &str = "fitting-svc";

fn fleet(seed: u64) -> Fleet {
    let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
    let mut fleet = Fleet::open(&cfg, 2, seed);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

/// Injects one random fault.
fn inject_fault(fleet: &mut Fleet, stopping: &mut BTreeSet<usize>, rng: &mut SmallRng) {
    let vm = rng.random_range(0..fleet.nodes.len());
    let other = rng.random_range(0..fleet.nodes.len());
    let name = |at: usize| format!("vm{at}");
    let backend = rng.random_range(0..fleet.backends.len());
    match rng.random_range(0..10) {
        0 => fleet.kill(vm),
        // Callers wait for 20 s, which covers one freeze but not two in a row.
        1 if !fleet.is_frozen(vm) => fleet.freeze(vm, Millis(rng.random_range(500..15_000))),
        2 if fleet.nodes[vm].engine.is_some() => {
            stopping.insert(vm);
            fleet.stop(vm);
        }
        3 => fleet.links.cut(&name(vm), &name(other)),
        4 => fleet.links.cut_one_way(name(vm), name(other)),
        5 => fleet.links.heal(),
        6 => restart_backend(&mut fleet.backends, backend, rng),
        7 => make_unresponsive(&mut fleet.backends, backend),
        8 => fleet.backends[backend].service_time = Millis(rng.random_range(5..800)),
        _ => {
            fleet.links.loss = rng.random_range(0.0..0.15);
            fleet.links.duplication = rng.random_range(0.0..0.3);
            fleet.links.max_delay = Millis(rng.random_range(2..300));
        }
    }
}

/// Starts the backend servers that are down, and stops one with a probability of
/// two thirds.
fn restart_backend(backends: &mut [FakeBackend], at: usize, rng: &mut SmallRng) {
    for backend in backends.iter_mut().filter(|b| !b.alive) {
        backend.alive = true;
        backend.process_run += 1;
    }
    backends[at].alive = rng.random_bool(0.33);
}

/// Makes exactly one backend server run requests without answering.
fn make_unresponsive(backends: &mut [FakeBackend], at: usize) {
    for backend in backends.iter_mut() {
        backend.unresponsive = false;
    }
    backends[at].unresponsive = true;
}

/// Ends processes that have completed their graceful shutdown, and restarts
/// ended ones at random.
fn restart(fleet: &mut Fleet, stopping: &mut BTreeSet<usize>, rng: &mut SmallRng) {
    for vm in 0..fleet.nodes.len() {
        let is_idle = fleet.nodes[vm].engine.as_ref().is_none_or(Engine::is_idle);
        if is_idle && stopping.remove(&vm) {
            fleet.kill(vm);
        }
        let is_down = fleet.nodes[vm].engine.is_none();
        if is_down && rng.random_bool(0.02) {
            fleet.start(vm);
        }
    }
}

fn run(seed: u64, retry_policy: RetryPolicy) -> (History, Callers, Fleet) {
    let mut fleet = fleet(seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut stopping = BTreeSet::new();
    let mut callers = Callers::open(SERVICE);
    callers.retry_policy = retry_policy;
    for step in 0..3_000 {
        if rng.random_bool(0.5) {
            let method = if rng.random_bool(0.7) { "POST" } else { "GET" };
            let timeout = Millis(rng.random_range(200..4_000));
            callers.start_request(&mut fleet, method, timeout);
        }
        if step % 40 == 0 {
            inject_fault(&mut fleet, &mut stopping, &mut rng);
        }
        restart(&mut fleet, &mut stopping, &mut rng);
        fleet.run_for(STEP);
        callers.poll(&mut fleet);
    }
    // Longer than any freeze, so that late events arrive too.
    let end = fleet.now + Millis::from_secs(16);
    while fleet.now < end || callers.pending_requests() > 0 {
        fleet.run_for(STEP);
        callers.poll(&mut fleet);
    }
    let mut history = callers.history.clone();
    history.add_runs(&fleet.backends);
    (history, callers, fleet)
}

#[test]
fn no_violation_in_random_histories() {
    check_histories(1..=10);
}

#[test]
fn no_violation_in_more_random_histories() {
    check_histories(11..=24);
}

fn check_histories(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let (history, callers, _) = run(seed, RetryPolicy::SameTicket);
        assert_eq!(history.check(), [], "seed {seed}");
        println!(
            "seed {seed}: {} answered, {} not run, {} unknown",
            callers.answered, callers.not_run, callers.unknown
        );
        // Guards against a vacuous pass: both successes and failures must occur.
        assert!(callers.answered > 300, "seed {seed}: {}", callers.answered);
        assert!(callers.unknown > 20, "seed {seed}: {}", callers.unknown);
    }
}

#[test]
fn repeats_with_new_tickets_run_twice() {
    let mut double_runs = 0;
    for seed in 1..=3 {
        let (history, _, _) = run(seed, RetryPolicy::NewTicket);
        let violations = history.check();
        double_runs += violations
            .iter()
            .filter(|v| matches!(v, Violation::DoubleRun(_)))
            .count();
    }
    assert!(double_runs > 0);
}

const FIRST: RequestId = RequestId {
    vm: 0,
    call: CallId(1),
};

fn sent_record() -> Record {
    Record::Sent {
        request_id: FIRST,
        op: OpId(7),
        idempotent: false,
    }
}

fn answer_record(outcome: Outcome) -> Record {
    Record::Answer {
        request_id: FIRST,
        outcome,
    }
}

fn run_record(op: u64) -> Record {
    Record::Run {
        at: Time(5),
        op: OpId(op),
    }
}

fn check(records: Vec<Record>) -> Vec<Violation> {
    History { records }.check()
}

#[test]
fn the_checker_accepts_a_valid_history() {
    let answered = answer_record(Outcome::Answered("op 7".to_owned()));
    assert_eq!(check(vec![sent_record(), run_record(7), answered]), []);
    assert_eq!(
        check(vec![sent_record(), answer_record(Outcome::NotRun)]),
        []
    );
    assert_eq!(
        check(vec![
            sent_record(),
            run_record(7),
            answer_record(Outcome::Unknown)
        ]),
        []
    );
    assert_eq!(
        check(vec![sent_record(), Record::GaveUp { request_id: FIRST }]),
        []
    );
}

#[test]
fn the_checker_detects_each_violation() {
    let answered = answer_record(Outcome::Answered("op 7".to_owned()));
    let twice = vec![
        sent_record(),
        run_record(7),
        run_record(7),
        answered.clone(),
    ];
    assert_eq!(check(twice), [Violation::DoubleRun(OpId(7))]);

    let not_run = vec![sent_record(), run_record(7), answer_record(Outcome::NotRun)];
    assert_eq!(check(not_run), [Violation::FalseNotRun(OpId(7))]);

    let missing = vec![sent_record(), run_record(7)];
    assert_eq!(check(missing), [Violation::MissingAnswer(FIRST)]);

    let wrong = vec![
        sent_record(),
        run_record(7),
        answer_record(Outcome::Answered("op 8".to_owned())),
    ];
    assert_eq!(check(wrong), [Violation::WrongAnswer(FIRST)]);

    let duplicate = vec![
        sent_record(),
        run_record(7),
        answered.clone(),
        answer_record(Outcome::Unknown),
    ];
    assert_eq!(check(duplicate), [Violation::DuplicateAnswer(FIRST)]);

    let spurious = vec![sent_record(), answered];
    assert_eq!(check(spurious), [Violation::SpuriousAnswer(FIRST)]);
}

#[test]
fn a_ticket_is_needed_for_a_post() {
    let mut fleet = fleet(1);
    let mut callers = Callers::open(SERVICE);
    callers.start_request(&mut fleet, "POST", Millis::from_secs(1));
    fleet.run_for(STEP);
    let [first] = fleet.answers.as_slice() else {
        panic!("expected one answer, got {:?}", fleet.answers);
    };
    assert!(matches!(first.answer, Answer::TicketNeeded { .. }));
}
