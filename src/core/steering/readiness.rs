//! Readiness for new flows, as reported to the routers.

use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a VM must be unable to place flows before it reports not ready.
const UNREADY_AFTER: Millis = Millis(300);

/// Time that the routers may take to notice that a VM is not ready.
pub const ROUTER_NOTICE_TIME: Millis = Millis(1_500);

/// Readiness for new flows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Readiness {
    /// Whether routers may send new flows here.
    pub(super) is_ready: bool,
    /// Since when no flow can be placed.
    failing_since: Option<Time>,
}

impl Readiness {
    /// Returns whether the routers may be about to send clients to other VMs.
    pub(super) fn awaits_router_notice(&self, now: Time) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) < UNREADY_AFTER + ROUTER_NOTICE_TIME)
    }

    /// Updates the readiness with whether this VM can serve new flows now.
    /// Returns whether the readiness changed.
    pub(super) fn update(&mut self, can_serve: bool, now: Time) -> bool {
        if can_serve {
            self.failing_since = None;
        } else {
            self.failing_since.get_or_insert(now);
        }
        let was_ready = self.is_ready;
        self.is_ready = match self.failing_since {
            None => true,
            Some(since) => was_ready && now.since(since) < UNREADY_AFTER,
        };
        was_ready != self.is_ready
    }
}
