//! Runs a scenario with several seeds and checks that no flow broke.

use dragonflytrack::{
    core::configuration::Configuration,
    kernel::clock::Millis, //
};

use crate::{
    Fleet,
    FlowLoad, //
};

/// Starts a fleet with two VMs in each data centre of `cfg`, and callers
/// without flows.
pub fn start(cfg: &Configuration, seed: u64) -> (Fleet, FlowLoad) {
    let mut fleet = Fleet::open(cfg, 2, seed);
    fleet.run_for(Millis::from_secs(5));
    let load = FlowLoad::open(&fleet, cfg, seed);
    (fleet, load)
}

/// Runs `scenario` with each of `seeds` and checks that no flow broke and that
/// no packet is lost once the fleet is healthy.
///
/// # Panics
///
/// Panics if a flow broke, a packet sent after the scenario was lost, or too
/// few flows were established.
pub fn expect_none_broken(
    cfg: &Configuration,
    seeds: &[u64],
    scenario: impl Fn(&mut Fleet, &mut FlowLoad),
) {
    const MIN_FLOWS: usize = 300;
    let mut failures = Vec::new();
    for seed in seeds {
        let (mut fleet, mut load) = start(cfg, *seed);
        load.run_for(&mut fleet, Millis::from_secs(3));
        scenario(&mut fleet, &mut load);
        load.run_for(&mut fleet, Millis::from_secs(3));
        let lost = load.send_through_all(&mut fleet);
        assert_eq!(lost, 0, "seed {seed}: packets lost in a healthy fleet");
        assert!(load.established_count() > MIN_FLOWS, "seed {seed}");
        if let Some(first) = load.breaks.first() {
            failures.push((
                seed,
                load.broken_count(&[]),
                load.established_count(),
                *first,
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "seed, broken, of, first: {failures:#?}"
    );
}

/// Performs a graceful shutdown of `vm` while callers continue, then kills the
/// VM once it has handed over or the time limit has passed.
pub fn stop_and_wait(fleet: &mut Fleet, load: &mut FlowLoad, vm: usize) {
    const MAX_STOP_MILLIS: u64 = 40_000;
    const STEP_MILLIS: u64 = 100;
    fleet.stop(vm);
    for _ in 0..MAX_STOP_MILLIS / STEP_MILLIS {
        load.run_for(fleet, Millis(STEP_MILLIS));
        let idle = fleet.nodes[vm].engine.as_ref().is_none_or(|e| e.is_idle());
        if idle {
            break;
        }
    }
    fleet.kill(vm);
}

/// Cuts the links between `vms` and all other VMs and the platform.
pub fn cut_off(fleet: &mut Fleet, vms: &[usize]) {
    for vm in vms {
        let name = format!("vm{vm}");
        fleet.links.cut(&name, "platform");
        for other in (0..fleet.nodes.len()).filter(|o| !vms.contains(o)) {
            fleet.links.cut(&name, &format!("vm{other}"));
        }
    }
}
