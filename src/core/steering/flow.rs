//! One flow, as far as the packets of its client show it.

use smallvec::SmallVec;

use super::{
    packet::{
        FlowId,
        Packet, //
    },
    peers::FlowRecord,
    replication_queue::SentState,
    tag::Tag,
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a flow that was not opened is remembered, for copies of its first
/// packet.
pub(super) const OPENING_TIME: Millis = Millis::from_secs(3);

/// A copy of a packet counts as a repeat only if this VM sent the one before it
/// on that long ago. Copies that were held up together show nothing.
const OVERDUE: Millis = Millis(150);

/// What a packet shows of the backend server that holds its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendSignal {
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
    pub(super) offered: SmallVec<[Tag; 3]>,
    /// How many copies of the opening packet the client had sent.
    pub(super) copies: u32,
    /// The number behind the last byte that the client has sent. `None` if no
    /// packet was seen.
    pub(super) sent: Option<u32>,
    pub(super) repeats: u8,
    /// When the data that wait for an answer were first sent on.
    pub(super) asked: Time,
    /// When they were last sent on.
    pub(super) sent_on: Time,
    pub(super) opened_at: Time,
    pub(super) seen: Time,
    /// What the VM with the replica was told.
    pub(super) told: SentState,
}

impl Flow {
    pub(super) fn offered(packet: &Packet, copy: u32, tag: Tag, now: Time) -> Flow {
        Flow {
            is_open: false,
            is_waiting: true,
            offered: SmallVec::from_slice(&[tag]),
            copies: copy,
            sent: Some(packet.seq),
            ..Flow::restored(tag, 0, now)
        }
    }

    /// A flow that another VM carried before.
    pub(super) fn joined(packet: &Packet, tag: Tag, now: Time) -> Flow {
        Flow {
            is_waiting: packet.len > 0,
            sent: Some(packet.end()),
            ..Flow::restored(tag, packet.ack, now)
        }
    }

    /// An open flow of which no packet was seen.
    pub(super) fn restored(tag: Tag, ack: u32, now: Time) -> Flow {
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
            told: SentState::default(),
        }
    }

    pub(super) fn record(&self, id: &FlowId) -> FlowRecord {
        FlowRecord {
            flow: *id,
            tag: Some(self.tag),
            ack: self.ack,
        }
    }

    pub(super) fn observe(&mut self, packet: &Packet, now: Time) -> BackendSignal {
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
            return BackendSignal::Alive { tag, took };
        }
        if repeated {
            self.repeats = self.repeats.saturating_add(1);
            return BackendSignal::Silent {
                tag: self.tag,
                repeats: self.repeats,
            };
        }
        BackendSignal::None
    }

    fn open(&mut self, packet: &Packet, now: Time) -> BackendSignal {
        self.is_open = true;
        self.sent = Some(packet.seq);
        self.ack = packet.ack;
        self.repeats = 0;
        // The handshake shows how far away the client is, not how fast the
        // backend server works.
        self.is_waiting = false;
        self.note_data(packet, now);
        let took = now.since(self.opened_at);
        BackendSignal::Opened {
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

    pub(super) fn lifetime(&self, idle_timeout: Millis) -> Millis {
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
