//! State of one flow, derived from its client's packets.

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

/// How long an unopened flow is remembered, to recognise retransmissions of its
/// opening packet.
pub(super) const HANDSHAKE_TIMEOUT: Millis = Millis::from_secs(3);

/// Minimum time since the previous copy was forwarded for a packet to count as
/// a retransmission. Copies that were delayed together are no evidence.
const MIN_RETRANSMIT_GAP: Millis = Millis(150);

/// What a packet reveals about the flow's backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendSignal {
    /// Nothing.
    None,
    /// It accepted the flow.
    Opened {
        /// Backend server.
        tag: Tag,
        /// Handshake time, if the packet shows it.
        elapsed: Option<Millis>,
        /// Whether this VM sent it the opening packet. Otherwise a copy of the packet
        /// passed another VM.
        is_attempted: bool,
    },
    /// It answered.
    Answered {
        /// Backend server.
        tag: Tag,
        /// Response time, if the packet shows it.
        elapsed: Option<Millis>,
        /// Requests outstanding at the backend server when this one was sent.
        outstanding: u32,
    },
    /// It did not answer: the client retransmits.
    Retransmitted {
        /// Backend server.
        tag: Tag,
        /// Number of retransmissions so far.
        retransmits: u8,
    },
}

/// A flow that this VM forwards.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Backend server that holds the flow or was tried last.
    pub tag: Tag,
    /// Whether the handshake has completed.
    pub is_open: bool,
    /// Next sequence number that the client expects.
    pub ack: u32,
    /// Whether the client has sent data that is not answered yet.
    pub is_waiting: bool,
    /// Whether another VM forwarded the flow before, and nothing was answered since.
    /// The data that is not answered may be the repetition of a request that the
    /// other VM still counts.
    pub(super) is_adopted: bool,
    /// Backend servers tried during the handshake.
    pub(super) attempted: SmallVec<[Tag; 3]>,
    /// Highest retransmission number seen of the opening packet.
    pub(super) copies: u32,
    /// Sequence number after the last byte sent by the client. `None` if no
    /// packet was seen.
    pub(super) next_seq: Option<u32>,
    pub(super) retransmits: u8,
    /// When the unanswered data was first forwarded.
    pub(super) waiting_since: Time,
    /// Requests outstanding at the backend server then, this one included.
    pub(super) outstanding: u32,
    /// When data was last forwarded.
    pub(super) forwarded_at: Time,
    pub(super) opened_at: Time,
    pub(super) last_seen: Time,
    /// State last sent to the replica holder.
    pub(super) replicated: SentState,
}

impl Flow {
    pub(super) fn opening(packet: &Packet, copy: u32, tag: Tag, now: Time) -> Flow {
        Flow {
            is_open: false,
            is_waiting: true,
            attempted: SmallVec::from_slice(&[tag]),
            copies: copy,
            next_seq: Some(packet.seq),
            ..Flow::restored(tag, 0, now)
        }
    }

    /// Creates a flow that another VM forwarded before.
    pub(super) fn adopted(packet: &Packet, tag: Tag, now: Time) -> Flow {
        Flow {
            is_waiting: packet.len > 0,
            is_adopted: true,
            next_seq: Some(packet.end()),
            ..Flow::restored(tag, packet.ack, now)
        }
    }

    /// Creates an open flow without a packet.
    pub(super) fn restored(tag: Tag, ack: u32, now: Time) -> Flow {
        Flow {
            tag,
            is_open: true,
            ack,
            is_waiting: false,
            is_adopted: false,
            attempted: SmallVec::new(),
            copies: 0,
            next_seq: None,
            retransmits: 0,
            waiting_since: now,
            outstanding: 0,
            forwarded_at: now,
            opened_at: now,
            last_seen: now,
            replicated: SentState::default(),
        }
    }

    pub(super) fn to_record(&self, id: &FlowId) -> FlowRecord {
        FlowRecord {
            flow: *id,
            tag: Some(self.tag),
            ack: self.ack,
        }
    }

    pub(super) fn observe(&mut self, packet: &Packet, now: Time) -> BackendSignal {
        self.last_seen = now;
        if !self.is_open {
            return self.establish(packet, now);
        }
        let is_answered = seq_is_after(packet.ack, self.ack);
        let elapsed = self.response_time(packet, now).filter(|_| is_answered);
        if is_answered {
            self.ack = packet.ack;
            self.retransmits = 0;
            self.is_waiting = false;
            self.is_adopted = false;
        }
        let is_retransmit = self.record_data(packet, now);
        if is_answered {
            return BackendSignal::Answered {
                tag: self.tag,
                elapsed,
                outstanding: self.outstanding,
            };
        }
        if is_retransmit {
            self.retransmits = self.retransmits.saturating_add(1);
            return BackendSignal::Retransmitted {
                tag: self.tag,
                retransmits: self.retransmits,
            };
        }
        BackendSignal::None
    }

    fn establish(&mut self, packet: &Packet, now: Time) -> BackendSignal {
        self.is_open = true;
        self.next_seq = Some(packet.seq);
        self.ack = packet.ack;
        self.retransmits = 0;
        // The handshake time shows the distance of the client, not the speed of
        // the backend server.
        self.is_waiting = false;
        self.record_data(packet, now);
        let elapsed = now.since(self.opened_at);
        let is_attempted = self.attempted.contains(&self.tag);
        BackendSignal::Opened {
            tag: self.tag,
            elapsed: (is_attempted && self.copies == 0).then_some(elapsed),
            is_attempted,
        }
    }

    /// Returns the response time that an acknowledgement shows. Unknown if the
    /// packet carries data: the acknowledgement may have been delayed until
    /// then.
    fn response_time(&self, packet: &Packet, now: Time) -> Option<Millis> {
        let is_plain_ack = packet.len == 0 && self.is_waiting;
        is_plain_ack.then(|| now.since(self.waiting_since))
    }

    /// Records the packet's data. Returns whether it is a retransmission that
    /// comes at least [`MIN_RETRANSMIT_GAP`] after the previous copy.
    fn record_data(&mut self, packet: &Packet, now: Time) -> bool {
        if packet.len == 0 {
            return false;
        }
        let forwarded_at = std::mem::replace(&mut self.forwarded_at, now);
        if self
            .next_seq
            .is_none_or(|next_seq| seq_is_after(packet.end(), next_seq))
        {
            self.next_seq = Some(packet.end());
            if !self.is_waiting {
                self.waiting_since = now;
            }
            self.is_waiting = true;
            return false;
        }
        now.since(forwarded_at) >= MIN_RETRANSMIT_GAP
    }

    pub(super) fn lifetime(&self, idle_timeout: Millis) -> Millis {
        if self.is_open {
            return idle_timeout;
        }
        HANDSHAKE_TIMEOUT
    }
}

/// Compares sequence numbers, which wrap around.
fn seq_is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
