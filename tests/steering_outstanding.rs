//! Tests of which requests count as outstanding in the sums over all VMs.
//!
//! Routers move flows when VMs come and go. The VM that forwarded a request then sees
//! no response to it, and another one may see its repetition. If both counted it, a
//! service would look overloaded while VMs are replaced.

use dragonflytrack::{
    core::steering::{
        flows::FlowTable,
        tag::{
            BackendKey,
            Tag, //
        },
    },
    kernel::clock::Time,
};
use dragonflytrack_testkit::steering::{
    acknowledgement,
    data,
    opening, //
};

const START: Time = Time(1_000);

fn tag() -> Tag {
    Tag::of(BackendKey(7))
}

fn outstanding(flows: &mut FlowTable, now: Time) -> u32 {
    flows.update_outstanding(now);
    flows.outstanding(tag())
}

#[test]
fn a_request_whose_response_passes_another_vm_stops_counting() {
    let mut flows = FlowTable::default();
    flows.record_attempt(&opening(1, 0), 0, tag(), START);
    flows.observe(&acknowledgement(1, tag(), 101, 500), tag(), false, START);
    flows.observe(&data(1, tag(), 101, 500), tag(), false, START);
    assert_eq!(outstanding(&mut flows, Time(1_500)), 1);
    assert_eq!(outstanding(&mut flows, Time(2_000)), 0);
}

#[test]
fn a_flow_of_another_vm_counts_from_its_next_request() {
    let mut flows = FlowTable::default();
    flows.observe(&data(1, tag(), 101, 500), tag(), false, START);
    assert_eq!(outstanding(&mut flows, START), 0);
    flows.observe(&acknowledgement(1, tag(), 201, 900), tag(), false, START);
    flows.observe(&data(1, tag(), 201, 900), tag(), false, START);
    assert_eq!(outstanding(&mut flows, START), 1);
}
