//! Limit on new flows for backend servers in cold start.
//!
//! Needed when all backend servers of a service have just started, or when the
//! warm ones in other data centres are unreachable. The limit applies to the
//! sum over all VMs, even while they cannot hear each other. Therefore only the
//! holder of a grant ([`super::cold_grants`]) sends flows to a backend server in
//! cold start. While the granter misses other hubs of its data centre, they may
//! be granters of partitions of their own, and the limit is lower.

use std::collections::VecDeque;

use hashbrown::HashMap;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Window in which new flows are counted. Longer than the 1 s of the limit
/// because flows may arrive closer together than they were sent.
pub(super) const WINDOW: Millis = Millis(1_250);

/// Time after the start in which a VM discovers its peers and neither gives
/// grants nor uses any.
pub const DISCOVERY_TIME: Millis = Millis(1_500);

/// New flows per window that any backend server can take, whatever its rate.
const FLOWS_PER_WINDOW: usize = 3;

/// Limit while hubs are missing: up to four more partitions of the data centre
/// may send as many.
const FLOWS_WHILE_PARTITIONED: usize = 1;

/// New flows that this VM sent to backend servers in cold start.
#[derive(Debug, Default)]
pub struct ColdBudget {
    sent: HashMap<Tag, VecDeque<Time>>,
}

impl ColdBudget {
    /// Returns whether a backend server with a limit of `per_second` new flows
    /// may get one more. `is_sole_granter` as in
    /// [`ColdGrants`](super::cold_grants::ColdGrants).
    pub fn has_room(&self, tag: Tag, per_second: f64, is_sole_granter: bool, now: Time) -> bool {
        let limit = match is_sole_granter {
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
