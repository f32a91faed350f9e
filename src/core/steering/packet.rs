//! What steering reads of a packet, and what it decides about it.

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

/// The two ends of a flow, as its client sees them.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{client}>{service}")]
pub struct FlowId {
    /// The client's address and port.
    pub client: SocketAddrV4,
    /// The address and port that the client speaks to.
    pub service: SocketAddrV4,
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Opens the flow.
    Open {
        /// How many copies of this packet the client sent before.
        copy: u32,
    },
    /// Belongs to a flow that is open or was.
    Continue {
        /// Whether the client ends the flow or rejects it.
        closes: bool,
        /// Whether the client rejects the flow. Such a packet is never answered.
        rejects: bool,
    },
}

/// The parts of a client's packet that steer it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// The flow.
    pub flow: FlowId,
    /// The tag that the backend server sent last, as the client repeats it.
    pub tag: Option<Tag>,
    /// What the packet does.
    pub role: Role,
    /// The number of the packet's first byte.
    pub seq: u32,
    /// The number of the next byte that the client expects.
    pub ack: u32,
    /// The bytes of data.
    pub len: u16,
}

impl Packet {
    /// The number behind the packet's last byte.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// The backend server that is meant.
    pub key: BackendKey,
    /// Its address for packets.
    pub address: SocketAddrV4,
    /// The tag that the packet carries from here on.
    pub tag: Tag,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It goes to a backend server.
    Forward(Target),
    /// The client is told that the flow is over.
    Reset(ResetReason),
    /// Nothing is sent. The client repeats the packet.
    Drop(DropReason),
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ResetReason {
    /// No route has the address.
    #[display("no_route")]
    NoRoute,
    /// The backend server is gone.
    #[display("backend_gone")]
    BackendGone,
    /// The store does not list the backend server, which this VM never knew.
    #[display("backend_unlisted")]
    BackendUnlisted,
    /// The backend server does not react any more.
    #[display("backend_dead")]
    BackendDead,
    /// The VM that carried the flow is lost together with the backend server.
    #[display("vm_and_backend_lost")]
    VmAndBackendLost,
    /// No backend server of the service takes new flows.
    #[display("no_backend")]
    NoBackend,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// This VM has not learnt the configuration yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// This VM may not know the backend server yet.
    #[display("unknown_tag")]
    UnknownTag,
    /// The packet belongs to a flow but carries no tag.
    #[display("no_tag")]
    NoTag,
    /// No backend server of the service takes new flows at the moment.
    #[display("no_backend")]
    NoBackend,
    /// The client rejects a flow that no backend server holds.
    #[display("rejected_flow")]
    RejectedFlow,
}

/// A reset that this VM sends to a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reset {
    /// The flow that is over.
    pub flow: FlowId,
    /// The number of the byte that the client expects next.
    pub seq: u32,
    /// Why.
    pub reason: ResetReason,
}
