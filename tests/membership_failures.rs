//! Membership while VMs crash, freeze, restart and are partitioned.

use dragonflytrack::{
    core::{
        Notice,
        membership::MemberState,
        names::Incarnation, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::{
    Fleet,
    sample, //
};
use rand::Rng;

/// The slots of a crashed VM are served again this long after the crash, so all
/// other VMs must have detected it by then.
const DETECTION_LIMIT: Millis = Millis::from_secs(5);

const VM_COUNT: usize = 6;

fn fleet(seed: u64) -> Fleet {
    let cfg = sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES);
    Fleet::open(&cfg, 2, seed)
}

fn converged_fleet(seed: u64) -> Fleet {
    let mut fleet = fleet(seed);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

fn member_state(fleet: &Fleet, at: usize, subject: usize) -> Option<MemberState> {
    let view = fleet.nodes[at].engine.as_ref()?.view();
    view.member(&fleet.nodes[subject].vm.id).map(|m| m.state)
}

fn running_vms(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.nodes.len())
        .filter(|at| fleet.nodes[*at].engine.is_some())
        .collect()
}

fn assert_all_agree(fleet: &Fleet) {
    let running_vms = running_vms(fleet);
    for at in &running_vms {
        for subject in 0..fleet.nodes.len() {
            let expected = running_vms.contains(&subject).then_some(MemberState::Alive);
            assert_eq!(
                member_state(fleet, *at, subject),
                expected,
                "vm{at} about vm{subject}"
            );
        }
    }
}

#[test]
fn all_vms_know_each_other_within_a_second() {
    let mut fleet = fleet(1);
    fleet.run_for(Millis::from_secs(1));
    assert_all_agree(&fleet);
}

#[test]
fn vms_know_each_other_through_one_seed() {
    let mut fleet = converged_fleet(2);
    fleet.seed_count = 1;
    for at in 0..VM_COUNT {
        fleet.kill(at);
        fleet.start(at);
    }
    fleet.run_for(Millis::from_secs(2));
    assert_all_agree(&fleet);
}

#[test]
fn a_crash_is_detected_everywhere_in_time() {
    let mut fleet = converged_fleet(3);
    fleet.kill(2);
    fleet.run_for(DETECTION_LIMIT);
    assert_all_agree(&fleet);
}

#[test]
fn a_graceful_shutdown_is_known_at_once() {
    let mut fleet = converged_fleet(4);
    fleet.stop(2);
    fleet.run_for(Millis(10));
    for at in 0..VM_COUNT {
        assert_eq!(member_state(&fleet, at, 2), Some(MemberState::Leaving));
    }
}

#[test]
fn a_frozen_vm_is_removed_and_detects_its_pause() {
    let mut fleet = converged_fleet(5);
    fleet.freeze(1, Millis::from_secs(20));
    fleet.run_for(DETECTION_LIMIT);
    assert_eq!(member_state(&fleet, 0, 1), None);
    fleet.run_for(Millis::from_secs(15) + Millis(20));
    let view = fleet.nodes[1].engine.as_ref().unwrap().view();
    assert!(view.resumed >= fleet.now - Millis(50));
    fleet.run_for(Millis::from_secs(2));
    assert_all_agree(&fleet);
}

#[test]
fn a_resumed_vm_suspects_members_until_it_hears_them() {
    let mut fleet = converged_fleet(6);
    fleet.freeze(1, Millis::from_secs(2));
    for other in [0, 2, 3, 4, 5] {
        let (a, b) = (format!("vm{other}"), "vm1".to_owned());
        fleet.links.cut(&a, &b);
    }
    fleet.run_for(Millis(2_020));
    let view = fleet.nodes[1].engine.as_ref().unwrap().view();
    assert_eq!(view.alive().count(), 1, "only itself");
}

#[test]
fn a_restart_at_the_same_address_replaces_the_earlier_run() {
    let mut fleet = converged_fleet(7);
    fleet.kill(3);
    fleet.run_for(Millis(200));
    fleet.start(3);
    fleet.run_for(Millis::from_secs(1));
    assert_all_agree(&fleet);
    let run = fleet.nodes[3].vm.incarnation;
    for at in 0..VM_COUNT {
        let view = fleet.nodes[at].engine.as_ref().unwrap().view();
        let member = view.member(&fleet.nodes[3].vm.id).unwrap();
        assert_eq!(member.vm.incarnation, run);
    }
}

#[test]
fn a_run_whose_clock_was_set_back_takes_a_higher_incarnation() {
    let mut fleet = converged_fleet(8);
    let earlier = fleet.nodes[4].vm.incarnation;
    fleet.kill(4);
    fleet.start_as(4, Incarnation(0));
    fleet.run_for(Millis::from_secs(2));
    assert_all_agree(&fleet);
    let me = &fleet.nodes[4].engine.as_ref().unwrap().view().me;
    assert!(me.incarnation > earlier);
    assert!(
        fleet
            .notices
            .iter()
            .any(|n| n.notice == Notice::IncarnationRaised)
    );
}

#[test]
fn a_one_way_cut_is_suspected_on_both_sides() {
    let mut fleet = converged_fleet(9);
    fleet.links.cut_one_way("vm0", "vm5");
    fleet.run_for(Millis::from_secs(3));
    assert_eq!(member_state(&fleet, 0, 5), Some(MemberState::Suspect));
    assert_ne!(member_state(&fleet, 5, 0), Some(MemberState::Alive));
    fleet.links.heal();
    fleet.run_for(Millis::from_secs(2));
    assert_all_agree(&fleet);
}

#[test]
fn clock_steps_change_nothing() {
    let mut fleet = converged_fleet(10);
    fleet.nodes[0].clock_offset = Millis::from_secs(3_600);
    let before = fleet.notices.len();
    fleet.run_for(Millis::from_secs(10));
    assert_all_agree(&fleet);
    assert_eq!(fleet.notices.len(), before);
}

#[test]
fn views_converge_after_random_faults() {
    for seed in 0..20 {
        let mut fleet = converged_fleet(seed);
        fleet.links.loss = 0.1;
        fleet.links.duplication = 0.1;
        for _ in 0..30 {
            inject_fault(&mut fleet);
            let span = fleet.rng.random_range(100..3_000);
            fleet.run_for(Millis(span));
        }
        fleet.links.heal();
        fleet.links.loss = 0.0;
        let longest_freeze = Millis::from_secs(20);
        fleet.run_for(longest_freeze + DETECTION_LIMIT);
        assert_all_agree(&fleet);
    }
}

fn inject_fault(fleet: &mut Fleet) {
    let at = fleet.rng.random_range(0..VM_COUNT);
    let other = fleet.rng.random_range(0..VM_COUNT);
    match fleet.rng.random_range(0..6) {
        0 => fleet.kill(at),
        1 => fleet.start(at),
        2 => fleet.freeze(at, Millis::from_secs(20)),
        3 => fleet
            .links
            .cut_one_way(format!("vm{at}"), format!("vm{other}")),
        4 => fleet.links.heal(),
        _ => {
            fleet.kill(at);
            fleet.start_as(at, Incarnation(1));
        }
    }
}
