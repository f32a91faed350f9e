//! Packet fields used for steering, and the resulting verdicts.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use super::tag::{
    BackendKey,
    Tag, //
};

/// Addresses of a flow, as its client sees them.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{client}>{service}")]
pub struct FlowId {
    /// Address and port of the client.
    pub client: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Opens the flow.
    Open {
        /// Retransmission number of this packet; zero for the first copy.
        copy: u32,
    },
    /// Belongs to a flow that is or was open.
    Continue {
        /// Whether the client closes or resets the flow.
        closes: bool,
        /// Whether the client resets the flow. Such a packet is never answered.
        rejects: bool,
    },
}

/// Fields of a client's packet that determine its steering.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Flow of the packet.
    pub flow: FlowId,
    /// Tag last sent by the backend server, echoed by the client.
    pub tag: Option<Tag>,
    /// Role of the packet in its flow.
    pub role: Role,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Next sequence number that the client expects.
    pub ack: u32,
    /// Payload length in bytes.
    pub len: u16,
}

impl Packet {
    /// Returns the sequence number after the last byte.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Destination of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Key of the backend server.
    pub key: BackendKey,
    /// Address for packets.
    pub address: SocketAddrV4,
    /// Tag that replaces the one in the packet.
    pub tag: Tag,
}

/// Decision about a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Forwarded to a backend server.
    Forward(Target),
    /// Answered with a reset of the flow.
    Reset(ResetReason),
    /// Dropped without an answer. The client retransmits it.
    Drop(DropReason),
}

/// Reason for a reset.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ResetReason {
    /// No route has the address.
    #[display("no_route")]
    NoRoute,
    /// The backend server is gone.
    #[display("backend_gone")]
    BackendGone,
    /// The store does not list the backend server, and this VM never knew it.
    #[display("backend_unlisted")]
    BackendUnlisted,
    /// The backend server no longer responds.
    #[display("backend_dead")]
    BackendDead,
    /// The VM that forwarded the flow was lost together with the backend
    /// server.
    #[display("vm_and_backend_lost")]
    VmAndBackendLost,
    /// No backend server of the service takes new flows.
    #[display("no_backend")]
    NoBackend,
}

/// Reason for a dropped packet.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// This VM does not know the configuration yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// This VM may not know the backend server yet.
    #[display("unknown_tag")]
    UnknownTag,
    /// The packet belongs to a flow but carries no tag.
    #[display("no_tag")]
    NoTag,
    /// No backend server of the service currently takes new flows.
    #[display("no_backend")]
    NoBackend,
    /// The client resets a flow that no backend server holds.
    #[display("rejected_flow")]
    RejectedFlow,
}

/// A reset sent to a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reset {
    /// Flow to reset.
    pub flow: FlowId,
    /// Sequence number that the client expects next.
    pub seq: u32,
    /// Reason for the reset.
    pub reason: ResetReason,
}
