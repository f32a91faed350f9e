//! The flows whose packets this VM carries.
//!
//! Steering does not need them: the tag in a packet is enough. They show what
//! the tag cannot: which clients wait for a backend server, whether it still
//! reacts, and how busy it is.

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::{
    flow_changes::{
        FlowChanges,
        Told, //
    },
    packet::{
        FlowId,
        Packet, //
    },
    peers::FlowRecord,
    tag::Tag,
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// The most flows that are recorded. Further ones are steered all the same.
pub const MAX_FLOWS: usize = 16_384;

/// How long a flow that was not opened is remembered, for copies of its first
/// packet.
const OPENING_TIME: Millis = Millis::from_secs(3);

/// A copy of a packet counts as a repeat only if this VM sent the one before it
/// on that long ago. Copies that were held up together show nothing.
const OVERDUE: Millis = Millis(150);

/// What a packet shows of the backend server that holds its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// Nothing.
    None,
    /// It has accepted the flow.
    Opened {
        /// The backend server.
        tag: Tag,
        /// How long that took, if the packet shows it.
        took: Option<Millis>,
    },
    /// It has answered.
    Alive {
        /// The backend server.
        tag: Tag,
        /// How long the client waited, if the packet shows it.
        took: Option<Millis>,
    },
    /// It has not: the client repeats itself.
    Silent {
        /// The backend server.
        tag: Tag,
        /// How many times the client has repeated itself.
        repeats: u8,
    },
}

/// A flow that this VM carries.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The backend server that holds the flow, or was offered it last.
    pub tag: Tag,
    /// Whether the client has begun to use the flow.
    pub is_open: bool,
    /// The number of the next byte that the client expects.
    pub ack: u32,
    /// Whether the client has sent data that no answer has followed.
    pub is_waiting: bool,
    /// The backend servers that were offered the flow.
    offered: SmallVec<[Tag; 3]>,
    /// How many copies of the opening packet the client had sent.
    copies: u32,
    /// The number behind the last byte that the client has sent. `None` if no
    /// packet was seen.
    sent: Option<u32>,
    repeats: u8,
    /// When the data that wait for an answer were first sent on.
    asked: Time,
    /// When they were last sent on.
    sent_on: Time,
    opened_at: Time,
    seen: Time,
    /// What the VM with the replica was told.
    told: Told,
}

/// The flows of this VM.
#[derive(Debug, Default)]
pub struct FlowTable {
    /// Invariant: at most [`MAX_FLOWS`].
    flows: HashMap<FlowId, Flow>,
    load: HashMap<Tag, Load>,
    changes: FlowChanges,
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
    pub fn observe(&mut self, packet: &Packet, tag: Tag, closes: bool, now: Time) -> Sign {
        let Some(flow) = self.flows.get(&packet.flow) else {
            if !closes && self.flows.len() < MAX_FLOWS {
                self.insert(packet.flow, Flow::joined(packet, tag, now));
            }
            return Sign::None;
        };
        if flow.tag != tag {
            let (from, is_waiting) = (flow.tag, flow.is_waiting);
            self.unload(from, is_waiting);
            self.add_load(tag, is_waiting);
        }
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            return Sign::None;
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
            flow.told = Told::default();
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
        flow.told = Told::now(flow.tag, flow.ack, now);
        FlowRecord {
            flow: *id,
            tag: Some(flow.tag),
            ack: flow.ack,
        }
    }

    /// Removes the flows of a backend server that were there before `before`
    /// and returns them with the number of the byte that each client expects.
    pub fn take_of(&mut self, tag: Tag, before: Time) -> Vec<(FlowId, u32)> {
        let taken: Vec<(FlowId, u32)> = self
            .flows
            .iter()
            .filter(|(_, f)| f.tag == tag && f.opened_at <= before)
            .map(|(id, f)| (*id, f.ack))
            .collect();
        for (id, _) in &taken {
            self.remove(id);
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

impl Flow {
    fn offered(packet: &Packet, copy: u32, tag: Tag, now: Time) -> Flow {
        Flow {
            tag,
            is_open: false,
            ack: 0,
            is_waiting: true,
            offered: SmallVec::from_slice(&[tag]),
            copies: copy,
            sent: Some(packet.seq),
            repeats: 0,
            asked: now,
            sent_on: now,
            opened_at: now,
            seen: now,
            told: Told::default(),
        }
    }

    /// A flow that another VM carried before.
    fn joined(packet: &Packet, tag: Tag, now: Time) -> Flow {
        Flow {
            is_waiting: packet.len > 0,
            sent: Some(packet.end()),
            ..Flow::restored(tag, packet.ack, now)
        }
    }

    /// An open flow of which no packet was seen.
    fn restored(tag: Tag, ack: u32, now: Time) -> Flow {
        Flow {
            tag,
            is_open: true,
            ack,
            is_waiting: false,
            offered: SmallVec::new(),
            copies: 0,
            sent: None,
            repeats: 0,
            asked: now,
            sent_on: now,
            opened_at: now,
            seen: now,
            told: Told::default(),
        }
    }

    fn observe(&mut self, packet: &Packet, now: Time) -> Sign {
        self.seen = now;
        if !self.is_open {
            return self.open(packet, now);
        }
        let has_answer = is_after(packet.ack, self.ack);
        let took = self.answer_time(packet, now).filter(|_| has_answer);
        if has_answer {
            self.ack = packet.ack;
            self.repeats = 0;
            self.is_waiting = false;
        }
        let repeated = self.note_data(packet, now);
        if has_answer {
            let tag = self.tag;
            return Sign::Alive { tag, took };
        }
        if repeated {
            self.repeats = self.repeats.saturating_add(1);
            return Sign::Silent {
                tag: self.tag,
                repeats: self.repeats,
            };
        }
        Sign::None
    }

    fn open(&mut self, packet: &Packet, now: Time) -> Sign {
        self.is_open = true;
        self.sent = Some(packet.seq);
        self.ack = packet.ack;
        self.repeats = 0;
        // The handshake shows how far away the client is, not how fast the
        // backend server works.
        self.is_waiting = false;
        self.note_data(packet, now);
        let took = now.since(self.opened_at);
        Sign::Opened {
            tag: self.tag,
            took: (self.copies == 0).then_some(took),
        }
    }

    /// How long the client waited for what it acknowledges. Unknown if it sends
    /// data as well: the acknowledgement may have waited for them.
    fn answer_time(&self, packet: &Packet, now: Time) -> Option<Millis> {
        let is_plain = packet.len == 0 && self.is_waiting;
        is_plain.then(|| now.since(self.asked))
    }

    /// Returns whether the packet's data were sent on before, so long ago that
    /// an answer is overdue.
    fn note_data(&mut self, packet: &Packet, now: Time) -> bool {
        if packet.len == 0 {
            return false;
        }
        let sent_on = std::mem::replace(&mut self.sent_on, now);
        if self.sent.is_none_or(|sent| is_after(packet.end(), sent)) {
            self.sent = Some(packet.end());
            if !self.is_waiting {
                self.asked = now;
            }
            self.is_waiting = true;
            return false;
        }
        now.since(sent_on) >= OVERDUE
    }

    fn lifetime(&self, idle_timeout: Millis) -> Millis {
        if self.is_open {
            return idle_timeout;
        }
        OPENING_TIME
    }
}

/// Tells whether the byte number `a` is behind `b`. Numbers wrap around.
fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
