//! The flows whose packets this VM carries.
//!
//! Steering does not need them: the tag in a packet is enough. They show what
//! the tag cannot: which clients wait for a backend server, whether it still
//! reacts, and how busy it is.

use hashbrown::HashMap;

use super::{
    flow::{
        BackendSignal,
        Flow,
        OPENING_TIME, //
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

/// The most flows that are recorded. Further ones are steered all the same.
pub const MAX_FLOWS: usize = 16_384;

/// The flows of this VM.
#[derive(Debug, Default)]
pub struct FlowTable {
    /// Invariant: at most [`MAX_FLOWS`].
    flows: HashMap<FlowId, Flow>,
    load: HashMap<Tag, Load>,
    changes: ReplicationQueue,
}

/// What the flows of this VM ask of one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// The open flows.
    pub flows: u32,
    /// Those whose client waits for an answer.
    pub waiting: u32,
}

impl FlowTable {
    /// The number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// What the flows here ask of a backend server.
    pub fn load(&self, tag: Tag) -> Load {
        self.load.get(&tag).copied().unwrap_or_default()
    }

    /// The flows whose client waits.
    pub fn waiting(&self) -> u64 {
        self.load.values().map(|l| u64::from(l.waiting)).sum()
    }

    /// The backend servers that hold flows of this VM, and what these ask.
    pub fn loads(&self) -> impl Iterator<Item = (Tag, Load)> {
        self.load.iter().map(|(tag, load)| (*tag, *load))
    }

    /// Returns which backend servers were offered a flow that is opening, and
    /// whether `copy` was seen before. `None` if the flow is new.
    pub fn offers(&self, id: &FlowId, copy: u32, now: Time) -> Option<(&[Tag], bool)> {
        let flow = self.flows.get(id)?;
        let is_old = flow.is_open || now.since(flow.opened_at) > OPENING_TIME;
        (!is_old).then_some((&flow.offered[..], copy <= flow.copies))
    }

    /// Records that a new flow was offered to a backend server.
    pub fn offer(&mut self, packet: &Packet, copy: u32, tag: Tag, now: Time) {
        let is_new = self.offers(&packet.flow, copy, now).is_none();
        if is_new {
            self.remove(&packet.flow);
            if self.flows.len() >= MAX_FLOWS {
                return;
            }
            self.insert(packet.flow, Flow::offered(packet, copy, tag, now));
            return;
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            return;
        };
        flow.copies = flow.copies.max(copy);
        flow.seen = now;
        if !flow.offered.contains(&tag) {
            flow.offered.push(tag);
        }
        let from = std::mem::replace(&mut flow.tag, tag);
        let is_waiting = flow.is_waiting;
        self.unload(from, is_waiting);
        self.add_load(tag, is_waiting);
    }

    /// Records a packet of a flow that goes to `tag`. Returns what it shows.
    pub fn observe(&mut self, packet: &Packet, tag: Tag, closes: bool, now: Time) -> BackendSignal {
        let Some(flow) = self.flows.get(&packet.flow) else {
            if !closes && self.flows.len() < MAX_FLOWS {
                self.insert(packet.flow, Flow::joined(packet, tag, now));
            }
            return BackendSignal::None;
        };
        if flow.tag != tag {
            let (from, is_waiting) = (flow.tag, flow.is_waiting);
            self.unload(from, is_waiting);
            self.add_load(tag, is_waiting);
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            return BackendSignal::None;
        };
        flow.tag = tag;
        let was_waiting = flow.is_waiting;
        let sign = flow.observe(packet, now);
        let is_waiting = flow.is_waiting;
        if flow.told.is_outdated(tag, flow.ack, now) {
            self.changes.note(packet.flow, &mut flow.told);
        }
        self.note_waiting(tag, was_waiting, is_waiting);
        if closes {
            self.remove(&packet.flow);
        }
        sign
    }

    /// Takes in a flow that this VM carried in an earlier run.
    pub fn restore(&mut self, record: &FlowRecord, now: Time) {
        let Some(tag) = record.tag else {
            return;
        };
        if self.flows.len() < MAX_FLOWS && !self.flows.contains_key(&record.flow) {
            self.insert(record.flow, Flow::restored(tag, record.ack, now));
        }
    }

    /// Returns what has changed of at most `most` flows since it was last told.
    pub fn take_changes(&mut self, most: usize, now: Time) -> Vec<FlowRecord> {
        let ids = self.changes.take(most);
        ids.iter().map(|id| self.record(id, now)).collect()
    }

    /// Has a flow told once more.
    pub fn tell_again(&mut self, id: &FlowId) {
        match self.flows.get_mut(id) {
            Some(flow) => self.changes.note(*id, &mut flow.told),
            None => self.changes.note_end(*id),
        }
    }

    /// Has all open flows told once more.
    pub fn tell_all_again(&mut self) {
        self.changes.clear();
        for (id, flow) in self.flows.iter_mut().filter(|(_, f)| f.is_open) {
            flow.told = SentState::default();
            self.changes.note(*id, &mut flow.told);
        }
    }

    /// Forgets what has changed, while nobody keeps replicas.
    pub fn forget_changes(&mut self) {
        self.changes.clear();
    }

    fn record(&mut self, id: &FlowId, now: Time) -> FlowRecord {
        let open = self.flows.get_mut(id).filter(|f| f.is_open);
        let Some(flow) = open else {
            return FlowRecord {
                flow: *id,
                tag: None,
                ack: 0,
            };
        };
        flow.told = SentState::now(flow.tag, flow.ack, now);
        flow.record(id)
    }

    /// Removes and returns the flows of a backend server that were there before
    /// `before`.
    pub fn take_of(&mut self, tag: Tag, before: Time) -> Vec<FlowRecord> {
        if self.load(tag).flows == 0 {
            return Vec::new();
        }
        let is_taken = |f: &Flow| f.tag == tag && f.opened_at <= before;
        let taken: Vec<FlowRecord> = self
            .flows
            .iter()
            .filter(|(_, f)| is_taken(f))
            .map(|(id, f)| f.record(id))
            .collect();
        for record in &taken {
            self.remove(&record.flow);
        }
        taken
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.unload(flow.tag, flow.is_waiting);
            if flow.told.is_known() {
                self.changes.note_end(*id);
            }
        }
    }

    /// Forgets the flows that have rested for longer than `idle_timeout`.
    pub fn sweep(&mut self, idle_timeout: Millis, now: Time) {
        let rested: Vec<FlowId> = self
            .flows
            .iter()
            .filter(|(_, f)| now.since(f.seen) > f.lifetime(idle_timeout))
            .map(|(id, _)| *id)
            .collect();
        for id in rested {
            self.remove(&id);
        }
    }

    fn insert(&mut self, id: FlowId, mut flow: Flow) {
        self.add_load(flow.tag, flow.is_waiting);
        if flow.is_open {
            self.changes.note(id, &mut flow.told);
        }
        self.flows.insert(id, flow);
    }

    fn add_load(&mut self, tag: Tag, is_waiting: bool) {
        let load = self.load.entry(tag).or_default();
        load.flows += 1;
        load.waiting += u32::from(is_waiting);
    }

    fn unload(&mut self, tag: Tag, is_waiting: bool) {
        let Some(load) = self.load.get_mut(&tag) else {
            return;
        };
        load.flows = load.flows.saturating_sub(1);
        load.waiting = load.waiting.saturating_sub(u32::from(is_waiting));
        if *load == Load::default() {
            self.load.remove(&tag);
        }
    }

    fn note_waiting(&mut self, tag: Tag, was: bool, is: bool) {
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
