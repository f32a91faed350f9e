//! How many new flows backend servers in cold start get.
//!
//! The load that this answers: a service whose backend servers have all just
//! started, or whose other data centres are unreachable. The limit holds for the
//! sum over all VMs, which may not hear each other. So each backend server in
//! cold start has one VM that sends it flows, the first by a hash that all VMs
//! compute alike. A VM that misses others allows for groups that it does not
//! hear, each with a first VM of its own.

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

/// The time over which new flows are counted. Longer than the second of the
/// limit, for flows that arrive closer together than they were sent.
const WINDOW: Millis = Millis(1_250);

/// How long a VM listens after its start before it may be the first.
pub const DISCOVERY_TIME: Millis = Millis(1_500);

/// New flows in one window that a backend server bears whatever its rate is.
const FLOWS_PER_WINDOW: usize = 3;

/// The same while other VMs are missed: up to four more groups may send as many.
const FLOWS_WHILE_APART: usize = 1;

/// The new flows that this VM sent to backend servers in cold start.
#[derive(Debug, Default)]
pub struct ColdBudget {
    sent: HashMap<Tag, VecDeque<Time>>,
}

impl ColdBudget {
    /// Tells whether a backend server that bears `per_second` new flows may get
    /// one more. `is_whole` tells whether all VMs are heard that were there of
    /// late.
    pub fn has_room(&self, tag: Tag, per_second: f64, is_whole: bool, now: Time) -> bool {
        let limit = match is_whole {
            true => FLOWS_PER_WINDOW + per_second as usize,
            false => FLOWS_WHILE_APART,
        };
        let sent = self.sent.get(&tag);
        let sent = sent.map_or(0, |s| {
            s.iter().filter(|at| now.since(**at) < WINDOW).count()
        });
        sent < limit
    }

    /// Notes that a backend server got a flow.
    pub fn spend(&mut self, tag: Tag, now: Time) {
        let sent = self.sent.entry(tag).or_default();
        sent.push_back(now);
        while sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            sent.pop_front();
        }
    }

    /// Forgets what no longer counts.
    pub fn sweep(&mut self, now: Time) {
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| now.since(*at) < WINDOW));
    }
}

/// Tells whether `me` is the VM among `others` and itself that sends flows to
/// the backend server while it is in cold start.
pub fn is_first<'a>(tag: Tag, me: &VmId, others: impl Iterator<Item = &'a VmId>) -> bool {
    let mine = score(tag, me);
    others.map(|vm| score(tag, vm)).all(|theirs| theirs < mine)
}

fn score(tag: Tag, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(tag.to_wire()))
}
