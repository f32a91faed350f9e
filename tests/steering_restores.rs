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
            store::BackendServer,
            tag::Tag,
        },
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::steering::{
    Simulation,
    StoreContent,
    data,
    restores::{
        BACKENDS,
        BOUND,
        DATA_CENTRES,
        draining,
        end_evacuation,
        evacuate,
        is_used,
        server,
        start_sim,
        used,
        versions, //
    }, //
};

/// How long the store is away before it comes back from the copy.
const OUTAGE: Millis = Millis(1_200);

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
    end_evacuation(&mut sim, "b");
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
    end_evacuation(&mut sim, "b");
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
