//! Which flows have changed since the VM with their replicas was told.

use std::collections::VecDeque;

use super::{
    packet::FlowId,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// The bytes of answers after which a flow is told again. A client accepts a
/// reset whose number is not much further than that from what it expects.
const ACK_STEP: u32 = 32_768;

/// A flow that is in use is told again after this long, so that replicas of
/// flows that ended unseen can be forgotten.
pub const REFRESH_INTERVAL: Millis = Millis::from_secs(5);

/// The most ended flows that wait to be told. Further replicas expire.
const MAX_ENDED: usize = 4_096;

/// What was told of one flow.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentState {
    last: Option<Record>,
    /// Whether the flow is in line to be told.
    is_due: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    tag: Tag,
    ack: u32,
    at: Time,
}

impl SentState {
    /// The flow was just told.
    pub fn now(tag: Tag, ack: u32, at: Time) -> SentState {
        SentState {
            last: Some(Record { tag, ack, at }),
            is_due: false,
        }
    }

    /// Tells whether the other VM may know the flow.
    pub fn is_known(&self) -> bool {
        self.last.is_some()
    }

    /// Tells whether a flow in this state has to be told again.
    pub fn is_outdated(&self, tag: Tag, ack: u32, now: Time) -> bool {
        self.last.is_none_or(|r| {
            r.tag != tag
                || ack.wrapping_sub(r.ack) >= ACK_STEP
                || now.since(r.at) >= REFRESH_INTERVAL
        })
    }
}

/// The flows that are in line to be told.
#[derive(Debug, Default)]
pub struct ReplicationQueue {
    /// Invariant: an open flow is in line at most once.
    open: VecDeque<FlowId>,
    /// Invariant: at most [`MAX_ENDED`].
    ended: VecDeque<FlowId>,
}

impl ReplicationQueue {
    /// Puts an open flow in line.
    pub fn note(&mut self, id: FlowId, told: &mut SentState) {
        if !std::mem::replace(&mut told.is_due, true) {
            self.open.push_back(id);
        }
    }

    /// Puts a flow in line that has ended.
    pub fn note_end(&mut self, id: FlowId) {
        if self.ended.len() < MAX_ENDED {
            self.ended.push_back(id);
        }
    }

    /// Takes the first in line, at most `most`.
    pub fn take(&mut self, most: usize) -> Vec<FlowId> {
        let open = self.open.len().min(most);
        let ended = self.ended.len().min(most - open);
        self.open
            .drain(..open)
            .chain(self.ended.drain(..ended))
            .collect()
    }

    /// Empties the line.
    pub fn clear(&mut self) {
        self.open.clear();
        self.ended.clear();
    }
}
