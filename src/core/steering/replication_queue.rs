//! Queue of flows whose changes are not replicated yet.

use std::collections::VecDeque;

use super::{
    packet::FlowId,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Growth of the acknowledged sequence number, in bytes, after which a flow is
/// replicated again. A client does not accept a reset whose number is much
/// further from what it expects.
const MAX_ACK_LAG: u32 = 32_768;

/// Interval at which flows in use are replicated again, so that replicas of
/// flows that ended unnoticed can expire.
pub const REFRESH_INTERVAL: Millis = Millis::from_secs(5);

/// Maximum number of queued ended flows. Replicas of further ones expire.
const MAX_ENDED: usize = 4_096;

/// State of one flow as last sent to the holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentState {
    record: Option<SentRecord>,
    /// Whether the flow is queued.
    is_queued: bool,
}

#[derive(Clone, Copy, Debug)]
struct SentRecord {
    tag: Tag,
    ack: u32,
    at: Time,
}

impl SentState {
    /// Creates the state of a flow that was just sent.
    pub fn sent(tag: Tag, ack: u32, at: Time) -> SentState {
        SentState {
            record: Some(SentRecord { tag, ack, at }),
            is_queued: false,
        }
    }

    /// Returns whether the holder may have a replica of the flow.
    pub fn was_sent(&self) -> bool {
        self.record.is_some()
    }

    /// Returns whether a flow in this state must be sent again.
    pub fn is_outdated(&self, tag: Tag, ack: u32, now: Time) -> bool {
        self.record.is_none_or(|sent| {
            sent.tag != tag
                || ack.wrapping_sub(sent.ack) >= MAX_ACK_LAG
                || now.since(sent.at) >= REFRESH_INTERVAL
        })
    }
}

/// Flows to be sent.
#[derive(Debug, Default)]
pub struct ReplicationQueue {
    /// Invariant: an open flow is queued at most once.
    open: VecDeque<FlowId>,
    /// Invariant: at most [`MAX_ENDED`].
    ended: VecDeque<FlowId>,
}

impl ReplicationQueue {
    /// Queues an open flow.
    pub fn enqueue(&mut self, id: FlowId, state: &mut SentState) {
        if !std::mem::replace(&mut state.is_queued, true) {
            self.open.push_back(id);
        }
    }

    /// Queues an ended flow.
    pub fn enqueue_end(&mut self, id: FlowId) {
        if self.ended.len() < MAX_ENDED {
            self.ended.push_back(id);
        }
    }

    /// Takes at most `limit` flows from the front, open ones first.
    pub fn take(&mut self, limit: usize) -> Vec<FlowId> {
        let open = self.open.len().min(limit);
        let ended = self.ended.len().min(limit - open);
        self.open
            .drain(..open)
            .chain(self.ended.drain(..ended))
            .collect()
    }

    /// Clears the queue.
    pub fn clear(&mut self) {
        self.open.clear();
        self.ended.clear();
    }
}
