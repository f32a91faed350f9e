//! Limit on new flows for backend servers in cold start.
//!
//! Needed when all backend servers of a service have just started, or when the
//! warm ones in other data centres are unreachable. The limit applies to the
//! sum over all VMs, even while they cannot hear each other. Therefore a single
//! VM, chosen by a hash that all VMs compute in the same way, sends flows to a
//! given backend server in cold start. A VM that misses peers assumes that
//! other partitions each have a designated VM of their own and lowers its
//! limit.

use std::collections::VecDeque;

use hashbrown::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::tag::Tag;
use crate::{
    core::names::VmId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Window in which new flows are counted. Longer than the 1 s of the limit
/// because flows may arrive closer together than they were sent.
const WINDOW: Millis = Millis(1_250);

/// Time after the start in which a VM discovers its peers and is not
/// designated.
pub const DISCOVERY_TIME: Millis = Millis(1_500);

/// New flows per window that any backend server can take, whatever its rate.
const FLOWS_PER_WINDOW: usize = 3;

/// Limit while peers are missing: up to four more partitions may send as many.
const FLOWS_WHILE_PARTITIONED: usize = 1;

/// New flows that this VM sent to backend servers in cold start.
#[derive(Debug, Default)]
pub struct ColdBudget {
    sent: HashMap<Tag, VecDeque<Time>>,
}

impl ColdBudget {
    /// Returns whether a backend server with a limit of `per_second` new flows
    /// may get one more. `is_complete` tells whether all recently seen peers
    /// are heard.
    pub fn has_room(&self, tag: Tag, per_second: f64, is_complete: bool, now: Time) -> bool {
        let limit = match is_complete {
            true => FLOWS_PER_WINDOW + per_second as usize,
            false => FLOWS_WHILE_PARTITIONED,
        };
        let sent = self.sent.get(&tag);
        let sent = sent.map_or(0, |s| {
            s.iter().filter(|at| now.since(**at) < WINDOW).count()
        });
        sent < limit
    }

    /// Records a new flow to a backend server.
    pub fn record(&mut self, tag: Tag, now: Time) {
        let sent = self.sent.entry(tag).or_default();
        sent.push_back(now);
        while sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            sent.pop_front();
        }
    }

    /// Removes counters of flows outside the window.
    pub fn sweep(&mut self, now: Time) {
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| now.since(*at) < WINDOW));
    }
}

/// Returns whether `me`, rather than one of `others`, is the VM that sends
/// flows to the backend server while it is in cold start.
pub fn is_designated<'a>(tag: Tag, me: &VmId, others: impl Iterator<Item = &'a VmId>) -> bool {
    let own_score = score(tag, me);
    others
        .map(|vm| score(tag, vm))
        .all(|other_score| other_score < own_score)
}

fn score(tag: Tag, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(tag.to_wire()))
}
