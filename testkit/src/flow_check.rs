//! Runs a scenario for several seeds and checks that no flow broke.

use dragonflytrack::{
    core::configuration::Configuration,
    kernel::clock::Millis, //
};

use crate::{
    Fleet,
    FlowLoad, //
};

/// Starts a fleet with two VMs in each data centre of `cfg`, and callers that
/// have not opened a flow yet.
pub fn start(cfg: &Configuration, seed: u64) -> (Fleet, FlowLoad) {
    let mut fleet = Fleet::open(cfg, 2, seed);
    fleet.run_for(Millis::from_secs(5));
    let load = FlowLoad::new(&fleet, cfg, seed);
    (fleet, load)
}

/// Runs `scenario` for each of `seeds` and expects no broken flow, and no lost
/// packet once the fleet is healthy.
///
/// # Panics
///
/// Panics if a flow broke, a packet was lost in the end, or hardly any flow
/// was opened.
pub fn expect_none_broken(
    cfg: &Configuration,
    seeds: &[u64],
    scenario: impl Fn(&mut Fleet, &mut FlowLoad),
) {
    const FEWEST_FLOWS: usize = 300;
    let mut failures = Vec::new();
    for seed in seeds {
        let (mut fleet, mut load) = start(cfg, *seed);
        load.run_for(&mut fleet, Millis::from_secs(3));
        scenario(&mut fleet, &mut load);
        load.run_for(&mut fleet, Millis::from_secs(3));
        let lost = load.send_through_all(&mut fleet);
        assert_eq!(lost, 0, "seed {seed}: packets lost in a healthy fleet");
        assert!(load.established() > FEWEST_FLOWS, "seed {seed}");
        if let Some(first) = load.breaks.first() {
            failures.push((seed, load.broken(&[]), load.established(), *first));
        }
    }
    assert!(
        failures.is_empty(),
        "seed, broken, of, first: {failures:#?}"
    );
}

/// Stops the VM `vm` as planned, while callers go on, and ends its process.
pub fn stop_and_wait(fleet: &mut Fleet, load: &mut FlowLoad, vm: usize) {
    const LONGEST_STOP: u64 = 40_000;
    const STEP: u64 = 100;
    fleet.stop(vm);
    for _ in 0..LONGEST_STOP / STEP {
        load.run_for(fleet, Millis(STEP));
        let idle = fleet.nodes[vm].engine.as_ref().is_none_or(|e| e.is_idle());
        if idle {
            break;
        }
    }
    fleet.kill(vm);
}

/// Cuts `vms` from all other VMs and from the platform.
pub fn cut_off(fleet: &mut Fleet, vms: &[usize]) {
    for vm in vms {
        let name = format!("vm{vm}");
        fleet.links.cut(&name, "platform");
        for other in (0..fleet.nodes.len()).filter(|o| !vms.contains(o)) {
            fleet.links.cut(&name, &format!("vm{other}"));
        }
    }
}
