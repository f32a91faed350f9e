//! Tells a VM of another data centre about the flows that this one carries.
//!
//! One batch is on its way at a time, and is sent again until it is taken. If
//! the other VM stays silent, the next one is told everything anew.

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

/// The most flows in one batch, which has to fit into a datagram.
pub const MAX_BATCH_FLOWS: usize = 40;

/// The time between two batches, in which changes are gathered.
const BATCH_INTERVAL: Millis = Millis(100);

/// The same while more waits than one batch holds.
const BACKLOG_INTERVAL: Millis = Millis(25);

/// How long a batch may take to be taken.
const TAKEN_WITHIN: Millis = Millis(300);

/// How often a batch is sent before the VM counts as silent.
const MAX_TRIES: u32 = 3;

/// How long a VM that was silent is not chosen.
const AVOID_FOR: Millis = Millis::from_secs(10);

/// A batch that was not yet taken.
#[derive(Debug)]
struct Sent {
    number: u64,
    flows: Vec<FlowRecord>,
    at: Time,
    tries: u32,
}

/// A batch to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The VM that keeps the replicas.
    pub holder: SocketAddrV4,
    /// The number of the batch.
    pub number: u64,
    /// What has changed.
    pub flows: Vec<FlowRecord>,
}

/// What this VM tells the one that keeps its replicas.
#[derive(Debug, Default)]
pub struct Replication {
    holder: Option<SocketAddrV4>,
    number: u64,
    sent: Option<Sent>,
    next: Time,
    avoided: Option<Avoided>,
}

/// A VM that was silent.
#[derive(Clone, Copy, Debug)]
struct Avoided {
    vm: SocketAddrV4,
    since: Time,
}

impl Replication {
    /// The VM that was silent of late and should not be chosen.
    pub fn avoided(&self, now: Time) -> Option<SocketAddrV4> {
        let avoided = self.avoided?;
        (now.since(avoided.since) < AVOID_FOR).then_some(avoided.vm)
    }

    /// Returns the batch that is due to `holder`, the VM that should keep the
    /// replicas now.
    pub fn next(
        &mut self,
        holder: Option<SocketAddrV4>,
        flows: &mut FlowTable,
        now: Time,
    ) -> Option<Batch> {
        if self.holder != holder {
            self.holder = holder;
            self.sent = None;
            flows.tell_all_again();
        }
        let Some(holder) = holder else {
            flows.forget_changes();
            return None;
        };
        if self.sent.is_some() {
            return self.send_again(holder, flows, now);
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
        self.sent = Some(Sent {
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

    fn send_again(
        &mut self,
        holder: SocketAddrV4,
        flows: &mut FlowTable,
        now: Time,
    ) -> Option<Batch> {
        let sent = self.sent.as_mut()?;
        if now.since(sent.at) < TAKEN_WITHIN {
            return None;
        }
        if sent.tries >= MAX_TRIES {
            let ids: Vec<FlowId> = sent.flows.iter().map(|r| r.flow).collect();
            ids.iter().for_each(|id| flows.tell_again(id));
            self.sent = None;
            self.avoided = Some(Avoided {
                vm: holder,
                since: now,
            });
            return None;
        }
        sent.at = now;
        sent.tries += 1;
        Some(Batch {
            holder,
            number: sent.number,
            flows: sent.flows.clone(),
        })
    }

    /// Notes that a batch was taken.
    pub fn on_taken(&mut self, holder: SocketAddrV4, number: u64) {
        let is_this = |sent: &Sent| sent.number == number;
        if self.holder == Some(holder) && self.sent.as_ref().is_some_and(is_this) {
            self.sent = None;
        }
    }
}
