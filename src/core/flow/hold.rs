//! Packets that wait while this VM knows nothing and nobody to ask.

use bytes::Bytes;

use crate::core::{
    counter::Counter,
    cx::Cx,
    flow::Flows, //
};

/// The most packets that wait.
pub const MAX_HELD: usize = 4_096;

impl Flows {
    /// Keeps `packet` until the other VMs have answered.
    pub(super) fn hold(&mut self, cx: &mut Cx<'_>, packet: Bytes) {
        if self.held.len() >= MAX_HELD {
            cx.count(Counter::PacketHoldOverflow);
            return;
        }
        cx.count(Counter::PacketHeld);
        self.held.push_back(packet);
    }

    /// Steers the kept packets again once that may help.
    pub(super) fn release_held(&mut self, cx: &mut Cx<'_>) {
        let waiting = (0..self.services.len()).any(|at| self.is_waiting(at, cx.now));
        let alone = cx.view.others().next().is_none();
        if waiting && alone {
            return;
        }
        for packet in std::mem::take(&mut self.held) {
            self.steer(cx, packet);
        }
    }
}
