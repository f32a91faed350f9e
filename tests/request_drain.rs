//! A draining backend server gets no new requests.

use bytes::Bytes;
use dragonflytrack::{
    core::{
        configuration::{
            BackendState,
            Configuration, //
        },
        intent::CONFIGURATION_KEY,
        names::{
            Generation,
            ServiceId, //
        },
        request::{
            Call,
            CallId,
            Headers,
            HttpRequest, //
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::{
    Fleet,
    sample, //
};

/// Maximum time after the drain at which a request may still start there.
const DRAIN_LIMIT: Millis = Millis::from_secs(5);

/// Time between two requests, which loads the fleet to a third of its capacity.
const INTERVAL: Millis = Millis(5);

/// Minimum number of runs elsewhere that shows that the fleet still serves.
const MIN_RUNS: usize = 300;

const VMS: u64 = 6;

fn configuration() -> Configuration {
    sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES)
}

/// Sends requests to the VMs in rotation for `span`.
fn load(fleet: &mut Fleet, next: &mut u64, span: Millis) {
    for _ in 0..span.0 / INTERVAL.0 {
        let call = Call {
            id: CallId(*next),
            service: ServiceId::new("fitting-svc"),
            request: HttpRequest {
                method: "GET".to_owned(),
                path: format!("/fitting/{next}"),
                headers: Headers::new(),
                body: Bytes::new(),
            },
            ticket: None,
            deadline: fleet.now + Millis::from_secs(5),
        };
        fleet.call((*next % VMS) as usize, call);
        *next += 1;
        fleet.run_for(INTERVAL);
    }
}

fn drain(fleet: &mut Fleet, cfg: &Configuration, backend: usize) {
    let mut next = cfg.clone();
    next.generation = Generation(cfg.generation.0 + 1);
    next.backends[backend].state = BackendState::Draining;
    let value = serde_json::to_value(&next).expect("a configuration is JSON");
    fleet.platform.overwrite(CONFIGURATION_KEY, value);
    fleet.answer_watches();
}

/// Injects a fault, drains a backend server and checks that no request starts
/// there after [`DRAIN_LIMIT`].
fn assert_no_late_run(inject_fault: impl Fn(&mut Fleet)) {
    for seed in 1..4 {
        let cfg = configuration();
        let mut fleet = Fleet::open(&cfg, 2, seed);
        fleet.run_for(Millis::from_secs(15));
        let mut next = 0;
        load(&mut fleet, &mut next, Millis::from_secs(10));
        assert!(
            fleet.backends[0].runs.len() > 20,
            "the backend server got too few requests before the drain"
        );
        inject_fault(&mut fleet);
        drain(&mut fleet, &cfg, 0);
        let drained = fleet.now;
        load(&mut fleet, &mut next, Millis::from_secs(30));

        let late = fleet.backends[0]
            .runs
            .iter()
            .filter(|r| r.at > drained + DRAIN_LIMIT);
        assert_eq!(late.count(), 0, "seed {seed}");
        let elsewhere = fleet.backends[1..].iter().flat_map(|b| &b.runs);
        let elsewhere = elsewhere.filter(|r| r.at > drained + DRAIN_LIMIT).count();
        assert!(elsewhere > MIN_RUNS, "seed {seed}: {elsewhere} runs");
    }
}

#[test]
fn in_a_healthy_fleet() {
    assert_no_late_run(|_| ());
}

#[test]
fn while_a_vm_is_frozen() {
    assert_no_late_run(|fleet| fleet.freeze(1, Millis::from_secs(20)));
}

#[test]
fn while_its_owner_is_killed() {
    assert_no_late_run(|fleet| fleet.kill(0));
}

#[test]
fn while_messages_are_lost() {
    assert_no_late_run(|fleet| fleet.links.loss = 0.1);
}
