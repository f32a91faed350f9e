//! Random histories of a store that is restored from older copies, with changes
//! and VMs that it does not answer in between.

use dragonflytrack::{
    core::steering::{
        position::RESTORE_GRACE,
        tag::Tag, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    restores::{
        BACKENDS,
        BOUND,
        DATA_CENTRES,
        draining,
        is_used,
        server,
        start_sim,
        used,
        versions, //
    },
};
use proptest::prelude::*;

/// A step of a random history.
#[derive(Clone, Debug)]
enum Change {
    Drain(u64),
    Leave(u64),
    Configure,
    Copy,
    Restore,
    CutOff(usize),
    Reconnect,
    Wait(u64),
}

fn changes() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1..=BACKENDS).prop_map(Change::Drain),
        (1..=BACKENDS).prop_map(Change::Leave),
        Just(Change::Configure),
        Just(Change::Copy),
        Just(Change::Restore),
        (0..DATA_CENTRES.len()).prop_map(Change::CutOff),
        Just(Change::Reconnect),
        (50_u64..1_500).prop_map(Change::Wait),
    ]
}

/// What backend servers and operators said last. They write it again after a
/// restore.
#[derive(Default)]
struct LastWords {
    version: u64,
    drained: Vec<u64>,
    left: Vec<u64>,
}

impl LastWords {
    fn write_again(&self, sim: &mut Simulation) {
        sim.configure(self.version, &[("web", 1)]);
        for key in 1..=BACKENDS {
            if self.left.contains(&key) {
                sim.remove_backend(&server(key));
            } else if self.drained.contains(&key) {
                sim.put_backend(&draining(key));
            } else {
                sim.put_backend(&server(key));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn all_vms_agree_with_what_was_said_last(history in prop::collection::vec(changes(), 1..24)) {
        let mut sim = start_sim();
        let mut last = LastWords { version: 1, ..LastWords::default() };
        let mut copy = sim.store.copy();
        for change in &history {
            match change {
                Change::Drain(key) if !last.left.contains(key) => {
                    last.drained.push(*key);
                    sim.put_backend(&draining(*key));
                }
                Change::Leave(key) if !last.left.contains(key) => {
                    last.left.push(*key);
                    sim.remove_backend(&server(*key));
                }
                Change::Configure => {
                    last.version += 1;
                    sim.configure(last.version, &[("web", 1)]);
                }
                Change::Copy => copy = sim.store.copy(),
                Change::Restore => {
                    sim.store.restore(copy.clone());
                    sim.run(Millis(300));
                    last.write_again(&mut sim);
                }
                Change::CutOff(vm) => { sim.without_store.insert(*vm); }
                Change::Reconnect => sim.without_store.clear(),
                Change::Wait(span) => sim.run(Millis(*span)),
                Change::Drain(_) | Change::Leave(_) => {}
            }
            let before = versions(&mut sim);
            sim.run(Millis(20));
            let after = versions(&mut sim);
            prop_assert!(before.iter().zip(&after).all(|(b, a)| a >= b), "{before:?} {after:?}");
        }
        sim.without_store.clear();
        sim.run(RESTORE_GRACE + BOUND);
        prop_assert_eq!(versions(&mut sim), vec![last.version; 6]);
        for key in 1..=BACKENDS {
            let is_out = last.left.contains(&key) || last.drained.contains(&key);
            let tag = Tag::of(server(key).key);
            prop_assert!(!(is_out && is_used(&mut sim, tag)), "{key} is used");
        }
        let all_out = (1..=BACKENDS).all(|k| last.left.contains(&k) || last.drained.contains(&k));
        prop_assert!(all_out || (0..6).all(|vm| !used(&mut sim, vm, 9_000).is_empty()));
    }
}
