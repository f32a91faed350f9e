//! What VMs know of the store, from the store and from each other.

use dragonflytrack::{
    core::steering::{
        decision::Decision,
        packet::Verdict,
        store::Kind,
        store_reader::Step, //
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    World,
    backend,
    opening, //
};
use proptest::prelude::*;

const PLACES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];

fn world() -> World {
    let mut world = World::start(&PLACES);
    world.configure(1, &[("web", 1)]);
    for key in 1..=8 {
        world.put_backend(&backend(key, PLACES[key as usize % 6]));
    }
    world.run(Millis(1_000));
    world
}

/// The number of the configuration that each VM learnt last.
fn version(world: &World, vm: usize) -> u64 {
    let learnt = |(at, decision): &(usize, Decision)| match decision {
        Decision::Learnt { version, .. } if *at == vm => Some(*version),
        _ => None,
    };
    world.decisions.iter().rev().find_map(learnt).unwrap_or(0)
}

fn all_know(world: &World, wanted: u64) -> bool {
    (0..PLACES.len()).all(|vm| version(world, vm) == wanted)
}

#[test]
fn a_list_of_several_pages_is_read_whole() {
    let mut world = world();
    let placed: std::collections::BTreeSet<_> = (0..400)
        .filter_map(|port| match world.packet(0, &opening(1_000 + port, 0)) {
            Verdict::Forward(target) => Some(target.key),
            _ => None,
        })
        .collect();
    assert!(placed.len() >= 2, "{placed:?}");
    assert!(world.vm(0).is_ready());
}

#[test]
fn a_change_is_known_everywhere_at_once() {
    let mut world = world();
    world.configure(2, &[("web", 1)]);
    world.run(Millis(300));
    assert!(all_know(&world, 2));
}

#[test]
fn a_calm_system_makes_few_calls() {
    let mut world = world();
    let before = world.calls;
    world.run(Millis(30_000));
    let calls = world.calls - before;
    assert!(calls <= 30 * 2, "{calls} calls in 30 s");
}

#[test]
fn a_reader_that_the_store_does_not_answer_is_replaced_in_time() {
    let mut world = world();
    // The first VM reads. Its connection goes silent just before a change.
    world.storeless.insert(0);
    world.run(Millis(10));
    world.configure(2, &[("web", 1)]);
    world.run(Millis(3_000));
    assert!(all_know(&world, 2));
}

#[test]
fn a_reader_that_dies_is_replaced_in_time() {
    let mut world = world();
    world.kill(0);
    world.configure(2, &[("web", 1)]);
    world.run(Millis(3_000));
    assert!((1..PLACES.len()).all(|vm| version(&world, vm) == 2));
}

#[test]
fn vms_that_are_cut_off_from_the_others_read_by_themselves() {
    let mut world = world();
    world.cuts = (0..2).flat_map(|a| (2..6).map(move |b| (a, b))).collect();
    world.run(Millis(10));
    world.configure(2, &[("web", 1)]);
    world.run(Millis(3_000));
    assert!(all_know(&world, 2));
}

#[test]
fn a_dropped_history_is_read_anew() {
    let mut world = world();
    world.store.compact();
    world.configure(2, &[("web", 1)]);
    world.store.compact();
    world.run(Millis(3_000));
    assert!(all_know(&world, 2));
}

#[test]
fn a_vm_that_starts_while_the_store_is_away_learns_from_the_others() {
    let mut world = world();
    world.storeless = (0..6).collect();
    world.run(Millis(2_000));
    world.restart(5);
    world.run(Millis(300));
    assert!(world.vm(5).is_ready());
    let verdict = world.packet(5, &opening(1_000, 0));
    assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
}

#[test]
fn a_vm_whose_seeds_are_stale_finds_the_others_through_the_store() {
    let mut world = world();
    world.run(Millis(4_000));
    world.set_seeds(&["10.9.9.9:7000".parse().expect("an address")]);
    world.restart(5);
    world.run(Millis(4_000));
    let hears = |(at, d): &(usize, Decision)| {
        *at == 5 && matches!(d, Decision::PeerHeard { is_heard: true, .. })
    };
    let heard = world
        .decisions
        .iter()
        .rev()
        .take(200)
        .filter(|d| hears(d))
        .count();
    assert!(heard >= 5, "{heard}");
}

#[test]
fn a_vm_that_was_suspended_asks_before_it_believes_itself() {
    let mut world = world();
    world.run(Millis(5_000));
    let now = world.now;
    let kind = Kind::Configuration;
    assert!(matches!(world.vm(5).next_call(kind, now), Step::Wait(_)));
    world.vm(5).on_suspension(Millis(30_000));
    assert!(matches!(world.vm(5).next_call(kind, now), Step::Call(_)));
}

#[test]
fn all_vms_started_anew_serve_as_soon_as_the_store_answers() {
    let mut world = world();
    for vm in 0..6 {
        world.restart(vm);
    }
    world.run(Millis(100));
    assert!((0..6).all(|vm| world.vm(vm).is_ready()));
}

#[test]
fn the_store_is_not_flooded_while_it_is_away() {
    let mut world = world();
    world.storeless = (0..6).collect();
    let before = world.calls;
    world.run(Millis(20_000));
    let calls = world.calls - before;
    assert!(calls <= 20 * 6 * 3, "{calls} calls in 20 s");
}

#[test]
fn an_object_that_cannot_be_read_takes_nothing_from_the_others() {
    let mut world = world();
    world.store.put(Kind::BackendServers, "b-zz", None);
    world.store.put(Kind::Configuration, "main", None);
    world.run(Millis(500));
    let verdict = world.packet(0, &opening(1_000, 0));
    assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
}

/// One thing that happens to the world.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Configure,
    Storeless(usize),
    StoreBack,
    Restart(usize),
    Cut(usize),
    Heal,
    Compact,
    Wait(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        3 => Just(Trouble::Configure),
        1 => (0..6_usize).prop_map(Trouble::Storeless),
        1 => Just(Trouble::StoreBack),
        1 => (0..6_usize).prop_map(Trouble::Restart),
        1 => (1..6_usize).prop_map(Trouble::Cut),
        1 => Just(Trouble::Heal),
        1 => Just(Trouble::Compact),
        3 => (5..1_500_u64).prop_map(Trouble::Wait),
    ]
}

fn apply(world: &mut World, version: &mut u64, trouble: Trouble) {
    match trouble {
        Trouble::Configure => {
            *version += 1;
            world.configure(*version, &[("web", 1)]);
        }
        Trouble::Storeless(vm) => {
            world.storeless.insert(vm);
        }
        Trouble::StoreBack => world.storeless.clear(),
        Trouble::Restart(vm) => world.restart(vm),
        Trouble::Cut(at) => {
            world.cuts = (0..at).flat_map(|a| (at..6).map(move |b| (a, b))).collect();
        }
        Trouble::Heal => world.cuts.clear(),
        Trouble::Compact => world.store.compact(),
        Trouble::Wait(ms) => world.run(Millis(ms.next_multiple_of(5))),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_vm_goes_back_and_all_agree_in_the_end(troubles in prop::collection::vec(trouble(), 1..30)) {
        let mut world = world();
        let mut newest = 1;
        for trouble in troubles {
            let from = world.decisions.len();
            let before: Vec<u64> = (0..6).map(|vm| version(&world, vm)).collect();
            let restarted = matches!(trouble, Trouble::Restart(_));
            apply(&mut world, &mut newest, trouble);
            for (vm, decision) in &world.decisions[from..] {
                if let Decision::Learnt { kind: Kind::Configuration, version, .. } = decision {
                    prop_assert!(restarted || *version >= before[*vm]);
                }
            }
        }
        world.storeless.clear();
        world.cuts.clear();
        world.run(Millis(4_000));
        prop_assert!(all_know(&world, newest));
    }
}

/// 39 VMs in three data centres, all of one strength.
fn large() -> World {
    let places: Vec<&str> = (0..39).map(|at| ["a", "b", "c"][at % 3]).collect();
    let mut world = World::start(&places);
    world.configure(1, &[("web", 1)]);
    world.put_backend(&backend(1, "a"));
    world.run(Millis(6_000));
    world
}

#[test]
fn a_large_fleet_makes_as_few_calls_as_a_small_one() {
    let mut world = large();
    let before = world.calls;
    world.run(Millis(30_000));
    let calls = world.calls - before;
    assert!(calls <= 30 * 2, "{calls} calls in 30 s");
}

#[test]
fn a_large_fleet_does_not_flood_a_store_that_is_away() {
    /// Refused calls are counted by the platform as well.
    const MOST_PER_SECOND: usize = 20;
    for refuses in [false, true] {
        let mut world = large();
        world.storeless = (0..39).collect();
        world.refuses = refuses;
        let before = world.calls;
        world.run(Millis(20_000));
        let calls = world.calls - before;
        assert!(calls <= 20 * MOST_PER_SECOND, "{calls} calls in 20 s");
    }
}

#[test]
fn a_change_reaches_a_large_fleet_whose_hubs_the_store_does_not_answer() {
    let mut world = large();
    // The first two VMs of each data centre by name.
    world.storeless = (0..6).collect();
    world.run(Millis(10));
    world.configure(2, &[("web", 1)]);
    world.run(Millis(5_000));
    let behind: Vec<usize> = (0..39).filter(|vm| version(&world, *vm) != 2).collect();
    assert!(behind.is_empty(), "{behind:?}");
}

#[test]
fn changes_of_backend_servers_that_come_together_cost_few_calls() {
    const CHANGES: u64 = 100;
    let mut world = World::start(&["a", "b"]);
    world.configure(1, &[("web", 1)]);
    world.run(Millis(3_000));
    let before = world.calls;
    for key in 0..CHANGES {
        world.put_backend(&backend(key, "a"));
        world.run(Millis(10));
    }
    world.run(Millis(200));
    let calls = world.calls - before;
    // One in 100 ms, and the watches of the other kinds.
    assert!(calls <= 16, "{calls} calls for {CHANGES} changes");
    let now = world.now;
    assert_eq!(world.vm(1).stats(now).backends as u64, CHANGES);
}
