//! Replication of this VM's flows to a VM in another data centre.
//!
//! One batch is in flight at a time and is resent until acknowledged. If the
//! holder does not answer, another one gets all flows anew.

use std::net::SocketAddrV4;

use super::{
    flows::FlowTable,
    packet::FlowId,
    peers::FlowRecord, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Maximum number of flows in a batch, which has to fit into a datagram.
pub const MAX_BATCH_FLOWS: usize = 40;

/// Interval between two batches, in which changes accumulate.
const BATCH_INTERVAL: Millis = Millis(100);

/// Interval while more changes are queued than fit into a batch.
const BACKLOG_INTERVAL: Millis = Millis(25);

/// Time after which an unacknowledged batch is resent.
const ACK_TIMEOUT: Millis = Millis(300);

/// Number of attempts before the holder counts as unresponsive.
const MAX_TRIES: u32 = 3;

/// How long an unresponsive holder is not selected.
const AVOID_TIME: Millis = Millis::from_secs(10);

/// A batch that is not acknowledged yet.
#[derive(Debug)]
struct PendingBatch {
    number: u64,
    flows: Vec<FlowRecord>,
    at: Time,
    tries: u32,
}

/// A batch to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// VM that holds the replicas.
    pub holder: SocketAddrV4,
    /// Number of the batch.
    pub number: u64,
    /// Changed flows.
    pub flows: Vec<FlowRecord>,
}

/// Sender side of replication.
#[derive(Debug, Default)]
pub struct Replication {
    holder: Option<SocketAddrV4>,
    number: u64,
    pending: Option<PendingBatch>,
    next: Time,
    avoided: Option<Avoided>,
}

/// An unresponsive holder.
#[derive(Clone, Copy, Debug)]
struct Avoided {
    vm: SocketAddrV4,
    since: Time,
}

impl Replication {
    /// Returns the recently unresponsive VM that should not be selected.
    pub fn avoided(&self, now: Time) -> Option<SocketAddrV4> {
        let avoided = self.avoided?;
        (now.since(avoided.since) < AVOID_TIME).then_some(avoided.vm)
    }

    /// Returns the next batch for `holder`, the currently selected VM, if one
    /// is due.
    pub fn next(
        &mut self,
        holder: Option<SocketAddrV4>,
        flows: &mut FlowTable,
        now: Time,
    ) -> Option<Batch> {
        if self.holder != holder {
            self.holder = holder;
            self.pending = None;
            flows.requeue_all();
        }
        let Some(holder) = holder else {
            flows.clear_changes();
            return None;
        };
        if self.pending.is_some() {
            return self.resend(holder, flows, now);
        }
        if now < self.next {
            return None;
        }
        let records = flows.take_changes(MAX_BATCH_FLOWS, now);
        if records.is_empty() {
            return None;
        }
        self.next = now
            + match records.len() < MAX_BATCH_FLOWS {
                true => BATCH_INTERVAL,
                false => BACKLOG_INTERVAL,
            };
        self.number += 1;
        self.pending = Some(PendingBatch {
            number: self.number,
            flows: records.clone(),
            at: now,
            tries: 1,
        });
        Some(Batch {
            holder,
            number: self.number,
            flows: records,
        })
    }

    fn resend(&mut self, holder: SocketAddrV4, flows: &mut FlowTable, now: Time) -> Option<Batch> {
        let pending = self.pending.as_mut()?;
        if now.since(pending.at) < ACK_TIMEOUT {
            return None;
        }
        if pending.tries >= MAX_TRIES {
            let ids: Vec<FlowId> = pending.flows.iter().map(|r| r.flow).collect();
            ids.iter().for_each(|id| flows.requeue(id));
            self.pending = None;
            self.avoided = Some(Avoided {
                vm: holder,
                since: now,
            });
            return None;
        }
        pending.at = now;
        pending.tries += 1;
        Some(Batch {
            holder,
            number: pending.number,
            flows: pending.flows.clone(),
        })
    }

    /// Handles the acknowledgement of a batch.
    pub fn on_ack(&mut self, holder: SocketAddrV4, number: u64) {
        let is_pending = |pending: &PendingBatch| pending.number == number;
        if self.holder == Some(holder) && self.pending.as_ref().is_some_and(is_pending) {
            self.pending = None;
        }
    }
}
