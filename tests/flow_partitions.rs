//! Established flows survive network partitions between VMs and lost messages.

use dragonflytrack::{
    core::configuration::BackendState,
    kernel::clock::Millis, //
};
use dragonflytrack_testkit::{
    Fleet,
    FlowLoad,
    flow_check::{
        self,
        cut_off, //
    },
    sample, //
};

const SEEDS: [u64; 3] = [11, 12, 13];

/// Time for a replaced VM to receive all pinned flows again.
const PIN_TRANSFER_TIME: Millis = Millis::from_secs(12);

/// Runs `scenario` after two backend servers were set to draining.
fn expect_none_broken(scenario: impl Fn(&mut Fleet, &mut FlowLoad)) {
    let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
    flow_check::expect_none_broken(&cfg, &SEEDS, |fleet, load| {
        load.set_backend_state(fleet, 0, BackendState::Draining);
        load.set_backend_state(fleet, 1, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(6));
        load.opened_per_second = 20;
        scenario(fleet, load);
        load.run_for(fleet, Millis::from_secs(2));
    });
}

#[test]
fn vms_replaced_while_heartbeats_are_lost() {
    expect_none_broken(|fleet, load| {
        fleet.links.loss = 0.3;
        for vm in [1, 4] {
            fleet.kill(vm);
            load.run_for(fleet, Millis::from_secs(2));
            fleet.start(vm);
            load.run_for(fleet, PIN_TRANSFER_TIME);
        }
        fleet.links.loss = 0.0;
        load.run_for(fleet, Millis::from_secs(8));
    });
}

#[test]
fn data_centre_cut_off() {
    expect_none_broken(|fleet, load| {
        cut_off(fleet, &[0, 1]);
        // The fabric no longer sends packets to the VMs of that data centre.
        load.entry_vms = vec![2, 3, 4, 5];
        load.set_backend_state(fleet, 4, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(10));
        fleet.links.heal();
        load.run_for(fleet, Millis::from_secs(2));
        load.entry_vms = (0..6).collect();
        load.run_for(fleet, Millis::from_secs(5));
    });
}

#[test]
fn two_data_centres_cut_from_each_other() {
    expect_none_broken(|fleet, load| {
        for (a, b) in [
            ("vm0", "vm2"),
            ("vm0", "vm3"),
            ("vm1", "vm2"),
            ("vm1", "vm3"),
        ] {
            fleet.links.cut(a, b);
        }
        load.run_for(fleet, Millis::from_secs(3));
        load.set_backend_state(fleet, 4, BackendState::Draining);
        load.run_for(fleet, Millis::from_secs(12));
        fleet.links.heal();
        load.run_for(fleet, Millis::from_secs(8));
    });
}

#[test]
fn vm_cut_off_briefly_while_a_change_spreads() {
    expect_none_broken(|fleet, load| {
        load.opened_per_second = 100;
        load.max_pause = Millis(100);
        for round in 0..2 {
            cut_off(fleet, &[3]);
            load.set_backend_state(fleet, 4 + round, BackendState::Draining);
            load.run_for(fleet, Millis(1_000));
            fleet.links.heal();
            load.run_for(fleet, Millis::from_secs(4));
        }
    });
}

#[test]
fn heartbeats_lost_one_way() {
    expect_none_broken(|fleet, load| {
        for other in ["vm0", "vm1", "vm2", "vm4", "vm5"] {
            fleet.links.cut_one_way("vm3", other);
        }
        load.entry_vms = vec![0, 1, 2, 4, 5];
        load.run_for(fleet, Millis::from_secs(8));
        fleet.links.heal();
        load.run_for(fleet, Millis::from_secs(1));
        load.entry_vms = (0..6).collect();
        load.run_for(fleet, Millis::from_secs(8));
    });
}
