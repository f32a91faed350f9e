//! How many new flows backend servers in cold start get.
//!
//! The load that this answers: a service whose backend servers have all just
//! started, or whose other data centres are unreachable. The limit holds for the
//! sum over all VMs, which may not hear each other. So each backend server in
//! cold start has one VM that sends it flows, the first by a hash that all VMs
//! compute alike, and this one keeps far enough below the limit that two VMs
//! that both hold themselves for the first stay within it together.

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

/// New flows in one window that a backend server bears whatever its rate is.
const FLOWS_PER_WINDOW: usize = 2;

/// The new flows that this VM sent to backend servers in cold start.
#[derive(Debug, Default)]
pub struct ColdBudget {
    sent: HashMap<Tag, VecDeque<Time>>,
}

impl ColdBudget {
    /// Tells whether a backend server may get one more flow.
    pub fn has_room(&self, tag: Tag, now: Time) -> bool {
        let Some(sent) = self.sent.get(&tag) else {
            return true;
        };
        sent.iter().filter(|at| now.since(**at) < WINDOW).count() < FLOWS_PER_WINDOW
    }

    /// Notes that a backend server got a flow.
    pub fn spend(&mut self, tag: Tag, now: Time) {
        let sent = self.sent.entry(tag).or_default();
        sent.push_back(now);
        while sent.len() > FLOWS_PER_WINDOW {
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
