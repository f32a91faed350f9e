//! Table of the flows that this VM forwards.
//!
//! The tag in a packet is enough to steer it. The table adds what the tag does
//! not show: which clients wait for a backend server, whether it still answers,
//! and its load.

use std::net::SocketAddrV4;

use hashbrown::HashMap;

use super::{
    flow::{
        BackendSignal,
        Flow,
        HANDSHAKE_TIMEOUT, //
    },
    packet::{
        FlowId,
        Packet, //
    },
    peers::FlowRecord,
    replication_queue::{
        ReplicationQueue,
        SentState, //
    },
    tag::Tag,
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Maximum number of recorded flows. Packets of further flows are still
/// steered.
pub const MAX_FLOWS: usize = 16_384;

/// Waiting time up to which a request counts as outstanding in the sums over all
/// VMs. The routers move flows when VMs come and go, and the VM that sent a request
/// then sees no response to it. Queues of backend servers are shorter.
const MAX_COUNTED_WAIT: Millis = Millis(1_000);

/// Flows of this VM.
#[derive(Debug, Default)]
pub struct FlowTable {
    /// Invariant: at most [`MAX_FLOWS`].
    flows: HashMap<FlowId, Flow>,
    load: HashMap<Tag, Load>,
    /// Flows per backend server whose client waits, but not for a request that
    /// counts as outstanding, as of the last update.
    uncounted: HashMap<Tag, u32>,
    changes: ReplicationQueue,
}

/// Load that the flows of this VM put on one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of flows, including those that are opening.
    pub flows: u32,
    /// Number of these flows whose client waits for an answer.
    pub waiting: u32,
}

impl FlowTable {
    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the load of this VM's flows on a backend server.
    pub fn load(&self, tag: Tag) -> Load {
        self.load.get(&tag).copied().unwrap_or_default()
    }

    /// Returns the number of flows whose client waits for an answer.
    pub fn waiting(&self) -> u64 {
        self.load.values().map(|l| u64::from(l.waiting)).sum()
    }

    /// Iterates over the backend servers with flows of this VM and their load.
    pub fn loads(&self) -> impl Iterator<Item = (Tag, Load)> {
        self.load.iter().map(|(tag, load)| (*tag, *load))
    }

    /// Iterates over the open flows whose client waits for an answer: the backend
    /// server and the time since the request.
    pub fn waits(&self, now: Time) -> impl Iterator<Item = (Tag, Millis)> {
        let waiting = self.flows.values().filter(|f| f.is_open && f.is_waiting);
        waiting.map(move |f| (f.tag, now.since(f.waiting_since)))
    }

    /// Iterates over the routes of all flows, and whether a request is outstanding.
    pub fn routes(&self, now: Time) -> impl Iterator<Item = (SocketAddrV4, bool)> {
        let flows = self.flows.iter();
        flows.map(move |(id, f)| (id.service, is_outstanding(f, now)))
    }

    /// Counts the outstanding requests for [`FlowTable::outstanding`].
    pub fn update_outstanding(&mut self, now: Time) {
        self.uncounted.clear();
        let waiting = self.flows.values().filter(|f| f.is_waiting);
        for flow in waiting.filter(|f| !is_outstanding(f, now)) {
            *self.uncounted.entry(flow.tag).or_default() += 1;
        }
    }

    /// Returns the number of outstanding requests at a backend server.
    pub fn outstanding(&self, tag: Tag) -> u32 {
        let uncounted = self.uncounted.get(&tag).copied().unwrap_or(0);
        self.load(tag).waiting.saturating_sub(uncounted)
    }

    /// Returns the backend servers tried for an opening flow, and whether
    /// `copy` was seen before. `None` if the flow is new.
    pub fn handshake_attempts(&self, id: &FlowId, copy: u32, now: Time) -> Option<(&[Tag], bool)> {
        let flow = self.flows.get(id)?;
        let is_expired = flow.is_open || now.since(flow.opened_at) > HANDSHAKE_TIMEOUT;
        (!is_expired).then_some((&flow.attempted[..], copy <= flow.copies))
    }

    /// Records that an opening packet was forwarded to a backend server.
    pub fn record_attempt(&mut self, packet: &Packet, copy: u32, tag: Tag, now: Time) {
        let is_new = self.handshake_attempts(&packet.flow, copy, now).is_none();
        if is_new {
            self.remove(&packet.flow);
            if self.flows.len() >= MAX_FLOWS {
                return;
            }
            self.insert(packet.flow, Flow::opening(packet, copy, tag, now));
            return;
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            return;
        };
        flow.copies = flow.copies.max(copy);
        flow.last_seen = now;
        if !flow.attempted.contains(&tag) {
            flow.attempted.push(tag);
        }
        let from = std::mem::replace(&mut flow.tag, tag);
        let is_waiting = flow.is_waiting;
        self.remove_load(from, is_waiting);
        self.add_load(tag, is_waiting);
    }

    /// Records a packet forwarded to `tag` and returns what it reveals.
    pub fn observe(&mut self, packet: &Packet, tag: Tag, closes: bool, now: Time) -> BackendSignal {
        let Some(flow) = self.flows.get(&packet.flow) else {
            if !closes && self.flows.len() < MAX_FLOWS {
                self.insert(packet.flow, Flow::adopted(packet, tag, now));
            }
            return BackendSignal::None;
        };
        if flow.tag != tag {
            let (from, is_waiting) = (flow.tag, flow.is_waiting);
            self.remove_load(from, is_waiting);
            self.add_load(tag, is_waiting);
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            return BackendSignal::None;
        };
        flow.tag = tag;
        let was_waiting = flow.is_waiting;
        let signal = flow.observe(packet, now);
        let is_waiting = flow.is_waiting;
        if flow.replicated.is_outdated(tag, flow.ack, now) {
            self.changes.enqueue(packet.flow, &mut flow.replicated);
        }
        self.update_waiting(tag, was_waiting, is_waiting);
        if closes {
            self.remove(&packet.flow);
        }
        signal
    }

    /// Records how many requests were outstanding at the backend server when a client
    /// sent the one that starts now, if any.
    pub fn record_outstanding(&mut self, id: &FlowId, outstanding: u32, now: Time) {
        let flow = self.flows.get_mut(id);
        if let Some(flow) = flow.filter(|f| f.is_waiting && f.waiting_since == now) {
            flow.outstanding = outstanding;
        }
    }

    /// Restores a flow from a replica of an earlier run.
    pub fn restore(&mut self, record: &FlowRecord, now: Time) {
        let Some(tag) = record.tag else {
            return;
        };
        if self.flows.len() < MAX_FLOWS && !self.flows.contains_key(&record.flow) {
            self.insert(record.flow, Flow::restored(tag, record.ack, now));
        }
    }

    /// Takes the records of at most `limit` changed flows.
    pub fn take_changes(&mut self, limit: usize, now: Time) -> Vec<FlowRecord> {
        let ids = self.changes.take(limit);
        ids.iter().map(|id| self.take_record(id, now)).collect()
    }

    /// Queues a flow for replication again.
    pub fn requeue(&mut self, id: &FlowId) {
        match self.flows.get_mut(id) {
            Some(flow) => self.changes.enqueue(*id, &mut flow.replicated),
            None => self.changes.enqueue_end(*id),
        }
    }

    /// Queues all open flows for replication again.
    pub fn requeue_all(&mut self) {
        self.changes.clear();
        for (id, flow) in self.flows.iter_mut().filter(|(_, f)| f.is_open) {
            flow.replicated = SentState::default();
            self.changes.enqueue(*id, &mut flow.replicated);
        }
    }

    /// Clears the replication queue while there is no replica holder.
    pub fn clear_changes(&mut self) {
        self.changes.clear();
    }

    fn take_record(&mut self, id: &FlowId, now: Time) -> FlowRecord {
        let open = self.flows.get_mut(id).filter(|f| f.is_open);
        let Some(flow) = open else {
            return FlowRecord {
                flow: *id,
                tag: None,
                ack: 0,
            };
        };
        flow.replicated = SentState::sent(flow.tag, flow.ack, now);
        flow.to_record(id)
    }

    /// Removes and returns the open flows of a backend server that were recorded no
    /// later than `before`. Others stay: a further copy of the opening packet may have
    /// passed another VM and opened the flow at another backend server.
    pub fn take_backend_flows(&mut self, tag: Tag, before: Time) -> Vec<FlowRecord> {
        if self.load(tag).flows == 0 {
            return Vec::new();
        }
        let is_taken = |f: &Flow| f.is_open && f.tag == tag && f.opened_at <= before;
        let taken: Vec<FlowRecord> = self
            .flows
            .iter()
            .filter(|(_, f)| is_taken(f))
            .map(|(id, f)| f.to_record(id))
            .collect();
        for record in &taken {
            self.remove(&record.flow);
        }
        taken
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.remove_load(flow.tag, flow.is_waiting);
            if flow.replicated.was_sent() {
                self.changes.enqueue_end(*id);
            }
        }
    }

    /// Removes flows that were idle for longer than `idle_timeout`.
    pub fn sweep(&mut self, idle_timeout: Millis, now: Time) {
        let idle: Vec<FlowId> = self
            .flows
            .iter()
            .filter(|(_, f)| now.since(f.last_seen) > f.lifetime(idle_timeout))
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.remove(&id);
        }
    }

    fn insert(&mut self, id: FlowId, mut flow: Flow) {
        self.add_load(flow.tag, flow.is_waiting);
        if flow.is_open {
            self.changes.enqueue(id, &mut flow.replicated);
        }
        self.flows.insert(id, flow);
    }

    fn add_load(&mut self, tag: Tag, is_waiting: bool) {
        let load = self.load.entry(tag).or_default();
        load.flows += 1;
        load.waiting += u32::from(is_waiting);
    }

    fn remove_load(&mut self, tag: Tag, is_waiting: bool) {
        let Some(load) = self.load.get_mut(&tag) else {
            return;
        };
        load.flows = load.flows.saturating_sub(1);
        load.waiting = load.waiting.saturating_sub(u32::from(is_waiting));
        if *load == Load::default() {
            self.load.remove(&tag);
        }
    }

    fn update_waiting(&mut self, tag: Tag, was: bool, is: bool) {
        if was == is {
            return;
        }
        let load = self.load.entry(tag).or_default();
        if is {
            load.waiting += 1;
        } else {
            load.waiting = load.waiting.saturating_sub(1);
        }
    }
}

/// Returns whether a flow has a request that counts as outstanding in the sums.
fn is_outstanding(flow: &Flow, now: Time) -> bool {
    flow.is_waiting && !flow.is_adopted && now.since(flow.waiting_since) < MAX_COUNTED_WAIT
}
