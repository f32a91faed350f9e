//! Queue of packets that cannot be placed yet: this VM still awaits the history
//! of their service and has no other VM to relay them to.

use bytes::Bytes;

use crate::core::{
    counter::Counter,
    cx::Cx,
    flow::Flows, //
};

/// Maximum number of packets in the queue.
pub const MAX_HELD_PACKETS: usize = 4_096;

impl Flows {
    /// Queues `packet` until [`Flows::release_held`] steers it again.
    pub(super) fn hold(&mut self, cx: &mut Cx<'_>, packet: Bytes) {
        if self.held.len() >= MAX_HELD_PACKETS {
            cx.count(Counter::PacketHoldOverflow);
            return;
        }
        cx.count(Counter::PacketHeld);
        self.held.push_back(packet);
    }

    /// Steers the queued packets again once no history is awaited any more or
    /// another VM is known.
    pub(super) fn release_held(&mut self, cx: &mut Cx<'_>) {
        let waiting = (0..self.services.len()).any(|index| self.awaits_history(index, cx.now));
        let alone = cx.view.others().next().is_none();
        if waiting && alone {
            return;
        }
        for packet in std::mem::take(&mut self.held) {
            self.steer(cx, packet);
        }
    }
}
