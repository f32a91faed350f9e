//! Whether this VM serves new flows, as routers are told.

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a VM must be unable to place flows before it says so.
const UNREADY_AFTER: Millis = Millis(300);

/// How long the routers may take to notice that a VM is no longer ready.
pub const ROUTER_NOTICE_TIME: Millis = Millis(1_500);

/// Whether this VM serves new flows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Readiness {
    /// Whether routers may send new flows here.
    pub(super) is_ready: bool,
    /// Since when it cannot.
    failing: Option<Time>,
}

impl Readiness {
    /// Tells whether the routers may soon send clients to other VMs.
    pub(super) fn is_handing_over(&self, now: Time) -> bool {
        self.failing
            .is_some_and(|since| now.since(since) < UNREADY_AFTER + ROUTER_NOTICE_TIME)
    }

    /// Takes in whether the VM can serve new flows now. Returns whether this
    /// changed its readiness.
    pub(super) fn review(&mut self, can_serve: bool, now: Time) -> bool {
        if can_serve {
            self.failing = None;
        } else {
            self.failing.get_or_insert(now);
        }
        let was_ready = self.is_ready;
        self.is_ready = match self.failing {
            None => true,
            Some(since) => was_ready && now.since(since) < UNREADY_AFTER,
        };
        was_ready != self.is_ready
    }
}
