//! Tests of a store that is restored from an older copy: what was written since
//! the copy is lost and revisions are assigned again.

use dragonflytrack::{
    core::{
        names::DataCentreId,
        steering::{
            decision::Decision,
            packet::{
                ResetReason,
                Verdict, //
            },
            position::RESTORE_GRACE,
            store::{
                BackendServer,
                Kind,
                Value, //
            },
            tag::Tag,
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    StoreContent,
    backend,
    data,
    opening, //
};
use proptest::prelude::*;

const DATA_CENTRES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];

const BACKENDS: u64 = 8;

/// How long the store is away before it comes back from the copy.
const OUTAGE: Millis = Millis(1_200);

/// Bound for changes and drains on a small deployment.
const BOUND: Millis = Millis(3_000);

fn server(key: u64) -> BackendServer {
    backend(key, DATA_CENTRES[key as usize % 6])
}

fn draining(key: u64) -> BackendServer {
    BackendServer {
        draining: true,
        ..server(key)
    }
}

fn start_sim() -> Simulation {
    let mut sim = Simulation::start(&DATA_CENTRES);
    sim.configure(1, &[("web", 1)]);
    for key in 1..=BACKENDS {
        sim.put_backend(&server(key));
    }
    sim.run(Millis(4_000));
    sim
}

/// Takes the store away and restores it from `copy`.
fn restore(sim: &mut Simulation, copy: &StoreContent) {
    sim.without_store = (0..DATA_CENTRES.len()).collect();
    sim.run(OUTAGE);
    sim.without_store.clear();
    sim.store.restore(copy.clone());
}

/// Writes changes that the copy does not have, so that revisions go back.
fn write_lost_changes(sim: &mut Simulation) {
    for key in 100..120 {
        sim.put_backend(&server(key));
        sim.remove_backend(&server(key));
    }
    sim.run(Millis(500));
}

/// Returns the versions in force at the VMs.
fn versions(sim: &mut Simulation) -> Vec<u64> {
    let now = sim.now;
    (0..DATA_CENTRES.len())
        .map(|vm| sim.vm(vm).stats(now).version)
        .collect()
}

/// Returns the backend servers that get new flows of a VM.
fn used(sim: &mut Simulation, vm: usize, first_port: u16) -> Vec<Tag> {
    let mut tags: Vec<Tag> = (first_port..first_port + 100)
        .filter_map(|port| match sim.packet(vm, &opening(port, 0)) {
            Verdict::Forward(target) => Some(target.tag),
            _ => None,
        })
        .collect();
    tags.sort_unstable();
    tags.dedup();
    tags
}

fn is_used(sim: &mut Simulation, tag: Tag) -> bool {
    (0..DATA_CENTRES.len()).any(|vm| used(sim, vm, 1_000).contains(&tag))
}

#[test]
fn a_drain_after_a_restore_takes_effect() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    write_lost_changes(&mut sim);
    restore(&mut sim, &copy);
    sim.run(Millis(500));
    let tag = sim.put_backend(&draining(1));
    sim.run(BOUND);
    assert!(!is_used(&mut sim, tag));
}

#[test]
fn a_configuration_after_a_restore_takes_effect() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    write_lost_changes(&mut sim);
    restore(&mut sim, &copy);
    sim.run(Millis(500));
    sim.configure(2, &[("web", 1)]);
    sim.run(BOUND);
    assert_eq!(versions(&mut sim), [2; 6]);
}

#[test]
fn an_older_configuration_in_the_copy_is_held_back() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    sim.configure(2, &[("web", 1)]);
    sim.run(Millis(500));
    restore(&mut sim, &copy);
    sim.run(BOUND);
    assert_eq!(versions(&mut sim), [2; 6]);
    let is_held = |(_, d): &(usize, Decision)| matches!(d, Decision::ConfigurationHeldBack { .. });
    assert!(sim.decisions.iter().any(is_held));
    sim.configure(3, &[("web", 1)]);
    sim.run(BOUND);
    assert_eq!(versions(&mut sim), [3; 6]);
}

#[test]
fn a_backend_server_known_to_drain_is_not_used_because_the_copy_says_so() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    let tag = sim.put_backend(&draining(1));
    sim.run(Millis(500));
    restore(&mut sim, &copy);
    sim.run(BOUND);
    assert!(!is_used(&mut sim, tag));
}

#[test]
fn a_backend_server_that_left_is_not_used_because_the_copy_lists_it() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    sim.remove_backend(&server(1));
    sim.run(Millis(500));
    restore(&mut sim, &copy);
    sim.run(BOUND);
    assert!(!is_used(&mut sim, Tag::of(server(1).key)));
}

#[test]
fn a_later_run_is_not_replaced_by_the_earlier_one_of_the_copy() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    let later = BackendServer {
        started_unix_ms: 9_000,
        ..server(1)
    };
    let tag = sim.put_backend(&later);
    sim.run(Millis(500));
    let flow = data(5_000, tag, 1, 500);
    assert!(matches!(sim.packet(0, &flow), Verdict::Forward(_)));
    restore(&mut sim, &copy);
    sim.run(Millis(1_500));
    sim.put_backend(&later);
    sim.run(BOUND);
    let resets = sim.resets.iter().filter(|(_, r)| r.flow == flow.flow);
    assert_eq!(resets.count(), 0);
    assert!(is_used(&mut sim, tag));
}

#[test]
fn a_backend_server_that_the_copy_lacks_is_used_until_it_had_time_to_write_itself() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    let tag = sim.put_backend(&server(20));
    sim.run(Millis(500));
    let flow = data(5_000, tag, 1, 500);
    assert!(matches!(sim.packet(0, &flow), Verdict::Forward(_)));
    restore(&mut sim, &copy);
    sim.run(Millis(1_900));
    assert!(is_used(&mut sim, tag), "before it had time");
    sim.run(Millis(4_000));
    assert!(!is_used(&mut sim, tag), "after it had time");
    let is_gone = |(_, r): &&(usize, dragonflytrack::core::steering::packet::Reset)| {
        r.flow == flow.flow && r.reason == ResetReason::BackendGone
    };
    assert_eq!(sim.resets.iter().filter(is_gone).count(), 1);
}

#[test]
fn a_backend_server_that_writes_itself_again_keeps_its_flows() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    let tag = sim.put_backend(&server(20));
    sim.run(Millis(500));
    sim.packet(0, &data(5_000, tag, 1, 500));
    restore(&mut sim, &copy);
    sim.run(Millis(1_500));
    sim.put_backend(&server(20));
    sim.run(Millis(6_000));
    assert!(is_used(&mut sim, tag));
    assert!(sim.resets.is_empty());
}

fn evacuate(sim: &mut Simulation, data_centre: &str) {
    let value = Value::Evacuation(DataCentreId::new(data_centre));
    sim.store.put(Kind::Evacuations, data_centre, Some(value));
}

/// Returns whether new flows go to backend servers of a data centre.
fn gets_flows(sim: &mut Simulation, data_centre: &str) -> bool {
    let servers = (1..=BACKENDS).map(server);
    let tags: Vec<Tag> = servers
        .filter(|s| s.data_centre == DataCentreId::new(data_centre))
        .map(|s| Tag::of(s.key))
        .collect();
    (0..DATA_CENTRES.len()).any(|vm| {
        let used = used(sim, vm, 2_000);
        used.iter().any(|tag| tags.contains(tag))
    })
}

#[test]
fn an_evacuation_that_the_copy_lost_holds_until_it_is_written_again() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    evacuate(&mut sim, "b");
    sim.run(BOUND);
    restore(&mut sim, &copy);
    sim.run(BOUND);
    assert!(!gets_flows(&mut sim, "b"));
    evacuate(&mut sim, "b");
    sim.run(RESTORE_GRACE + BOUND);
    assert!(!gets_flows(&mut sim, "b"));
    sim.store.remove(Kind::Evacuations, "b");
    sim.run(BOUND + BOUND);
    assert!(gets_flows(&mut sim, "b"));
}

#[test]
fn an_evacuation_that_nobody_writes_again_ends() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    evacuate(&mut sim, "b");
    sim.run(BOUND);
    restore(&mut sim, &copy);
    sim.run(RESTORE_GRACE + BOUND + BOUND);
    assert!(gets_flows(&mut sim, "b"));
}

#[test]
fn an_ended_evacuation_in_the_copy_does_not_empty_the_data_centre() {
    let mut sim = start_sim();
    evacuate(&mut sim, "b");
    sim.run(BOUND);
    let copy = sim.store.copy();
    sim.store.remove(Kind::Evacuations, "b");
    sim.run(BOUND + BOUND);
    restore(&mut sim, &copy);
    sim.run(BOUND);
    assert!(gets_flows(&mut sim, "b"));
}

#[test]
fn a_restored_store_is_not_read_by_all_vms() {
    const VMS: usize = 60;
    let places: Vec<&str> = (0..VMS).map(|vm| DATA_CENTRES[vm % 6]).collect();
    let mut sim = Simulation::start(&places);
    sim.configure(1, &[("web", 1)]);
    for key in 1..=30 {
        sim.put_backend(&server(key));
    }
    sim.run(Millis(8_000));
    let before = sim.calls;
    sim.kill(0);
    sim.run(Millis(4_000));
    let of_reader_change = sim.calls - before;
    let copy = sim.store.copy();
    sim.configure(2, &[("web", 1)]);
    sim.run(Millis(500));
    let before = sim.calls;
    sim.store.restore(copy);
    sim.run(Millis(4_000));
    let of_restore = sim.calls - before;
    assert!(
        of_restore < 2 * of_reader_change,
        "{of_restore} {of_reader_change}"
    );
}

#[test]
fn restores_while_the_reader_is_cut_off_and_in_quick_succession_converge() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    write_lost_changes(&mut sim);
    // The reader misses the first restore and keeps the old era.
    sim.without_store.insert(0);
    sim.partitions = (1..6).map(|vm| (0, vm)).collect();
    sim.store.restore(copy.clone());
    sim.run(Millis(700));
    sim.put_backend(&draining(1));
    sim.run(Millis(300));
    sim.store.restore(copy);
    sim.run(Millis(300));
    let tag = sim.put_backend(&draining(1));
    sim.configure(2, &[("web", 1)]);
    sim.without_store.clear();
    sim.partitions.clear();
    sim.run(BOUND);
    assert_eq!(versions(&mut sim), [2; 6]);
    assert!(!is_used(&mut sim, tag));
}

#[test]
fn what_only_one_vm_knew_before_a_restore_ends_there_too() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    // Only the last VM reads that there is another backend server.
    sim.partitions = (0..5).map(|vm| (vm, 5)).collect();
    sim.without_store = (0..5).collect();
    let tag = sim.put_backend(&server(20));
    sim.run(Millis(4_000));
    assert!(used(&mut sim, 5, 1_000).contains(&tag));
    sim.without_store = [5].into();
    sim.store.restore(copy);
    sim.run(Millis(500));
    sim.partitions.clear();
    sim.run(Millis(6_000));
    assert!(!is_used(&mut sim, tag));
}

#[test]
fn a_fleet_that_restarts_during_a_restore_learns_the_state() {
    let mut sim = start_sim();
    let copy = sim.store.copy();
    write_lost_changes(&mut sim);
    restore(&mut sim, &copy);
    for vm in 0..DATA_CENTRES.len() {
        sim.restart(vm);
    }
    let tag = sim.put_backend(&draining(1));
    sim.configure(2, &[("web", 1)]);
    sim.run(BOUND);
    assert_eq!(versions(&mut sim), [2; 6]);
    assert!(!is_used(&mut sim, tag));
}

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
