//! Established flows survive planned configuration changes.

use dragonflytrack::{
    core::configuration::{
        BackendState,
        Configuration,
        DataCentreState, //
    },
    kernel::clock::Millis, //
};
use dragonflytrack_testkit::{
    Fleet,
    FlowLoad,
    flow_check,
    links::Links,
    platform::PlatformMode,
    sample, //
};

const SEEDS: [u64; 3] = [1, 2, 3];

fn configuration() -> Configuration {
    sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES)
}

fn expect_none_broken(scenario: impl Fn(&mut Fleet, &mut FlowLoad)) {
    flow_check::expect_none_broken(&configuration(), &SEEDS, scenario);
}

#[test]
fn drain() {
    expect_none_broken(|fleet, load| {
        load.set_backend_state(fleet, 0, BackendState::Draining);
        let drained_at = fleet.now;
        load.run_for(fleet, Millis::from_secs(10));
        let opened_late = load
            .opened_flows
            .iter()
            .filter(|(at, b)| *b == 0 && *at > drained_at + Millis::from_secs(5));
        assert_eq!(opened_late.count(), 0);
    });
}

#[test]
fn drain_second_drain_and_undo() {
    expect_none_broken(|fleet, load| {
        load.set_backend_state(fleet, 0, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(4));
        load.set_backend_state(fleet, 1, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(4));
        load.set_backend_state(fleet, 0, BackendState::Active);
        load.run_for(fleet, Millis::from_secs(4));
        load.set_backend_state(fleet, 1, BackendState::Active);
    });
}

#[test]
fn drain_undone_before_it_was_in_force() {
    expect_none_broken(|fleet, load| {
        for pause in [100, 300, 700, 1_100, 1_500] {
            load.set_backend_state(fleet, 2, BackendState::Draining);
            load.run_for(fleet, Millis(pause));
            load.set_backend_state(fleet, 2, BackendState::Active);
            load.run_for(fleet, Millis(pause));
        }
    });
}

#[test]
fn two_generations_at_once() {
    expect_none_broken(|fleet, load| {
        fleet.links.cut("vm1", "platform");
        fleet.links.cut("vm4", "platform");
        load.set_backend_state(fleet, 3, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(6));
        load.set_backend_state(fleet, 4, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(6));
        fleet.links.heal();
    });
}

#[test]
fn backend_server_added() {
    expect_none_broken(|fleet, load| {
        let mut added = load.cfg.backends[0].clone();
        added.name = "bench-diary-99".into();
        added.packets = "10.1.0.99:6080".parse().unwrap();
        added.requests = "10.1.0.99:8080".parse().unwrap();
        fleet.add_backend(&added);
        load.cfg.backends.push(added);
        load.cfg.backends.sort_by(|a, b| a.name.cmp(&b.name));
        load.write_configuration(fleet);
        load.run_for(fleet, Millis::from_secs(8));
        let index = fleet.backends.len() - 1;
        assert!(load.open_flows_on(&[index])[0] > 0);
    });
}

#[test]
fn platform_down_throughout() {
    expect_none_broken(|fleet, load| {
        load.set_backend_state(fleet, 0, BackendState::Draining);
        load.run_for(fleet, Millis(600));
        fleet.platform.mode = PlatformMode::Down;
        load.run_for(fleet, Millis::from_secs(10));
    });
}

#[test]
fn lost_and_repeated_messages() {
    expect_none_broken(|fleet, load| {
        fleet.links.max_delay = Millis(5);
        fleet.links.loss = 0.02;
        fleet.links.duplication = 0.02;
        load.set_backend_state(fleet, 5, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(5));
        load.set_backend_state(fleet, 6, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(5));
        fleet.links = Links::default();
    });
}

fn drain_six_while_messages_are_lost(fleet: &mut Fleet, load: &mut FlowLoad, loss: f64) {
    load.max_pause = Millis(100);
    fleet.links.loss = loss;
    for backend in 0..6 {
        load.set_backend_state(fleet, backend, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(3));
    }
    fleet.links.loss = 0.0;
    load.run_for(fleet, Millis::from_secs(4));
}

#[test]
fn announcements_lost() {
    expect_none_broken(|fleet, load| drain_six_while_messages_are_lost(fleet, load, 0.2));
}

#[test]
fn announcements_lost_at_forty_percent() {
    expect_none_broken(|fleet, load| drain_six_while_messages_are_lost(fleet, load, 0.4));
}

/// Runs the seeds of 100 to 159 in which a flow broke.
#[test]
fn announcements_lost_in_further_seeds() {
    let seeds = [107, 113, 117, 118, 128, 143, 145, 158];
    flow_check::expect_none_broken(&configuration(), &seeds, |fleet, load| {
        drain_six_while_messages_are_lost(fleet, load, 0.2);
    });
}

#[test]
fn data_centre_out_and_returned() {
    for seed in SEEDS {
        let (mut fleet, mut load) = flow_check::start(&configuration(), seed);
        load.run_for(&mut fleet, Millis::from_secs(3));
        let evacuated: Vec<usize> = (0..15).filter(|b| b % 3 == 1).collect();
        load.set_data_centre(&mut fleet, "abertawe", DataCentreState::Out, 0);
        load.run_for(&mut fleet, Millis::from_secs(5));
        let before = fleet.delivered.len();
        load.run_for(&mut fleet, Millis::from_secs(5));
        let delivered_late = fleet.delivered[before..]
            .iter()
            .filter(|d| evacuated.contains(&d.backend));
        assert_eq!(
            delivered_late.count(),
            0,
            "seed {seed}: packets to a data centre out"
        );
        for share in [10, 50, 100] {
            let state = DataCentreState::Returning;
            load.set_data_centre(&mut fleet, "abertawe", state, share);
            load.run_for(&mut fleet, Millis::from_secs(3));
        }
        load.set_data_centre(&mut fleet, "abertawe", DataCentreState::In, 100);
        load.run_for(&mut fleet, Millis::from_secs(5));
        load.send_through_all(&mut fleet);
        assert_eq!(load.broken_count(&evacuated), 0, "seed {seed}");
    }
}
