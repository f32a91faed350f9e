//! The messages between the actors of a process, and the actors' registry names.

use std::net::SocketAddr;

use actix::Message;
use bytes::Bytes;

use crate::core::{
    engine::Event,
    intent::{
        AdminReply,
        PlatformCall, //
    },
    message::Envelope,
    request::{
        Answer,
        Attempt,
        AttemptId,
        CallId, //
    },
};

/// The actor that owns the engine.
pub const ENGINE: &str = "engine";
/// The actor that sends packets.
pub const FABRIC: &str = "fabric";
/// The actor that answers callers.
pub const CALLERS: &str = "callers";
/// The actor that sends requests to backend servers.
pub const BACKENDS: &str = "backends";
/// The actor that cancels requests to backend servers.
pub const BACKENDS_CANCEL: &str = "backends/cancel";
/// The actor that calls the platform's object API.
pub const PLATFORM: &str = "platform";
/// The actor that sends messages to other VMs.
pub const PEERS: &str = "peers";
/// The actor that answers operators.
pub const ADMIN: &str = "admin";

/// An event to be handled by the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct EngineEvent(pub Event);

/// An IP packet to be encapsulated and sent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PacketOut {
    /// The destination.
    pub route: Route,
    /// The inner IP packet.
    pub packet: Bytes,
}

/// The destination of an IP packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// A backend server.
    Backend(SocketAddr),
    /// Another VM.
    Vm(SocketAddr),
    /// The caller, through the network fabric.
    Caller,
}

/// A message to another VM.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerOut {
    /// The VM's peer address.
    pub address: SocketAddr,
    /// The message with its sender and the addressee's incarnation.
    pub envelope: Envelope,
}

/// A request to be sent to a backend server.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AttemptOut(pub Attempt);

/// Cancels an attempt whose outcome is no longer needed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CancelAttempt(pub AttemptId);

/// The final answer to a caller's request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AnswerOut {
    /// The call that is answered.
    pub call: CallId,
    /// The final answer.
    pub answer: Answer,
}

/// A call to the platform's object API.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PlatformOut(pub PlatformCall);

/// The reply to an operator's call.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AdminOut(pub AdminReply);
