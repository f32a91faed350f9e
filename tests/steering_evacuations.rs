//! Tests of evacuations whose revisions a restored store assigns again.

use dragonflytrack::{
    core::steering::{
        decision::Decision,
        evacuations::EvacuationStep,
        store::Kind, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    restores::{
        BOUND,
        DATA_CENTRES,
        end_evacuation,
        evacuate,
        senders_to,
        start_sim, //
    },
};
use proptest::prelude::*;

/// Time within which an evacuation must be in force everywhere.
const EVACUATION_BOUND: Millis = Millis(5_000);

/// Time without trouble after which a VM must keep to the bounds.
const STABLE_TIME: Millis = Millis(4_000);

/// No VM sends new flows to a data centre.
const NOBODY: [usize; 0] = [];

/// Evacuates a data centre and ends the evacuation, which every VM learns.
fn evacuate_and_return(sim: &mut Simulation, data_centre: &str) {
    evacuate(sim, data_centre);
    sim.run(Millis(4_000));
    end_evacuation(sim, data_centre);
    sim.run(Millis(1_000));
}

/// Takes the store away for a moment, and restores it as it was before the
/// evacuation.
fn lose_evacuation(sim: &mut Simulation, data_centre: &str) {
    let copy = sim.store.copy();
    evacuate_and_return(sim, data_centre);
    sim.without_store = (0..DATA_CENTRES.len()).collect();
    sim.run(Millis(300));
    sim.without_store.clear();
    sim.store.restore(copy);
}

/// Ends an evacuation that the store then lists again, restored from a copy.
fn restore_evacuation(sim: &mut Simulation, data_centre: &str) {
    evacuate(sim, data_centre);
    sim.run(Millis(2_000));
    let copy = sim.store.copy();
    end_evacuation(sim, data_centre);
    sim.run(Millis(3_000));
    sim.store.restore(copy);
}

/// Ends the evacuation and checks that all VMs use the data centre again.
fn assert_return(sim: &mut Simulation, data_centre: &str) {
    end_evacuation(sim, data_centre);
    sim.run(BOUND + BOUND);
    assert_eq!(senders_to(sim, data_centre).len(), DATA_CENTRES.len());
}

/// Cuts a VM off from the store and from all others.
fn cut_off(sim: &mut Simulation, vm: usize) {
    sim.without_store.insert(vm);
    sim.partitions = (0..DATA_CENTRES.len())
        .filter(|other| *other != vm)
        .map(|other| (vm.min(other), vm.max(other)))
        .collect();
}

fn reconnect(sim: &mut Simulation) {
    sim.without_store.clear();
    sim.partitions.clear();
}

/// A new evacuation that has the revision of an earlier one, which ended before
/// the store was restored, was taken for what is left of that for 10 s.
#[test]
fn an_evacuation_with_the_revision_of_an_ended_one_is_followed() {
    let mut sim = start_sim();
    lose_evacuation(&mut sim, "b");
    sim.run(Millis(14_000));
    evacuate(&mut sim, "b");
    sim.run(Millis(1_000));
    assert_eq!(senders_to(&mut sim, "b"), NOBODY);
    sim.run(EVACUATION_BOUND);
    assert_eq!(senders_to(&mut sim, "b"), NOBODY);
    assert_return(&mut sim, "b");
}

/// The same while the operators had little time since the restore: the revision
/// is above all that the restored store has shown, so the evacuation is new.
#[test]
fn an_evacuation_soon_after_a_restore_is_followed_at_once() {
    let mut sim = start_sim();
    lose_evacuation(&mut sim, "b");
    sim.run(Millis(1_200));
    evacuate(&mut sim, "b");
    sim.run(Millis(1_000));
    assert_eq!(senders_to(&mut sim, "b"), NOBODY);
}

/// The same at a VM that learns of the restore and of the evacuation together,
/// from another VM or from a list of the store.
#[test]
fn a_vm_that_was_cut_off_follows_an_evacuation_with_a_reused_revision() {
    for vm in 0..DATA_CENTRES.len() {
        let mut sim = start_sim();
        let copy = sim.store.copy();
        evacuate_and_return(&mut sim, "b");
        cut_off(&mut sim, vm);
        sim.store.restore(copy);
        sim.run(Millis(2_000));
        evacuate(&mut sim, "b");
        sim.run(Millis(3_000));
        reconnect(&mut sim);
        sim.run(STABLE_TIME);
        assert_eq!(senders_to(&mut sim, "b"), NOBODY, "VM {vm} was cut off");
    }
}

/// The same if the store has forgotten its history, so that a list tells of the
/// evacuation.
#[test]
fn a_list_tells_of_an_evacuation_with_a_reused_revision() {
    let mut sim = start_sim();
    lose_evacuation(&mut sim, "b");
    sim.run(Millis(4_000));
    sim.without_store = (0..DATA_CENTRES.len()).collect();
    sim.run(Millis(1_000));
    evacuate(&mut sim, "b");
    sim.store.compact();
    sim.without_store.clear();
    sim.run(Millis(2_000));
    assert_eq!(senders_to(&mut sim, "b"), NOBODY);
}

/// An operator writes an evacuation that the restored store lists, which changes
/// nothing there: no event tells the VMs, which doubted it for 10 s.
#[test]
fn an_evacuation_that_the_copy_lists_is_followed_within_the_bound() {
    let mut sim = start_sim();
    restore_evacuation(&mut sim, "b");
    evacuate(&mut sim, "b");
    sim.run(STABLE_TIME);
    assert_eq!(senders_to(&mut sim, "b"), NOBODY);
    assert_return(&mut sim, "b");
}

/// A doubted evacuation is logged by each VM that doubts it.
#[test]
fn a_doubted_evacuation_is_logged() {
    let mut sim = start_sim();
    restore_evacuation(&mut sim, "b");
    sim.run(Millis(1_500));
    let doubting = sim.decisions.iter().filter(|(_, decision)| {
        matches!(decision, Decision::Evacuation(c) if c.step == EvacuationStep::Doubted)
    });
    assert_eq!(doubting.count(), DATA_CENTRES.len());
}

/// A step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Evacuate,
    End,
    Copy,
    Restore,
    CutOff(usize),
    Reconnect,
    Compact,
    /// The operators write what they said last.
    WriteAgain,
}

/// Returns steps, each with the time until the next one.
fn steps() -> impl Strategy<Value = (Step, Millis)> {
    let step = prop_oneof![
        Just(Step::Evacuate),
        Just(Step::End),
        Just(Step::Copy),
        Just(Step::Restore),
        (0..DATA_CENTRES.len()).prop_map(Step::CutOff),
        Just(Step::Reconnect),
        Just(Step::Compact),
        Just(Step::WriteAgain),
    ];
    (step, (0_u64..2_500).prop_map(Millis))
}

/// Writes the state of the evacuation that the operators said last.
fn write(sim: &mut Simulation, is_evacuated: bool) {
    match is_evacuated {
        true => evacuate(sim, "b"),
        false => end_evacuation(sim, "b"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever happened before, an evacuation that is written after all trouble is
    /// in force everywhere within the bound.
    #[test]
    fn an_evacuation_takes_effect_after_any_history(history in prop::collection::vec(steps(), 1..20)) {
        let mut sim = start_sim();
        let mut copy = sim.store.copy();
        let mut is_evacuated = false;
        for (step, span) in &history {
            match step {
                Step::Evacuate | Step::End => {
                    is_evacuated = matches!(step, Step::Evacuate);
                    write(&mut sim, is_evacuated);
                }
                Step::Copy => copy = sim.store.copy(),
                Step::Restore => sim.store.restore(copy.clone()),
                Step::CutOff(vm) => cut_off(&mut sim, *vm),
                Step::Reconnect => reconnect(&mut sim),
                Step::Compact => sim.store.compact(),
                Step::WriteAgain => write(&mut sim, is_evacuated),
            }
            sim.run(*span);
        }
        reconnect(&mut sim);
        evacuate(&mut sim, "b");
        sim.run(EVACUATION_BOUND);
        prop_assert_eq!(senders_to(&mut sim, "b"), NOBODY);
        let is_listed = sim.store.lists(Kind::Evacuations, "b");
        prop_assert!(is_listed);
    }
}
