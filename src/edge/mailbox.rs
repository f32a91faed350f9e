//! The messages between the services of a process, and their names.

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

/// The service that owns the decisions.
pub const ENGINE: &str = "engine";
/// The service that sends and receives packets.
pub const FABRIC: &str = "fabric";
/// The service that answers callers.
pub const CALLERS: &str = "callers";
/// The service that sends requests to backend servers.
pub const BACKENDS: &str = "backends";
/// The service that cancels requests at backend servers.
pub const BACKENDS_CANCEL: &str = "backends/cancel";
/// The service that calls the platform.
pub const PLATFORM: &str = "platform";
/// The service that sends messages to other VMs.
pub const PEERS: &str = "peers";
/// The service that answers operators.
pub const ADMIN: &str = "admin";

/// An event for the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct EngineEvent(pub Event);

/// An IP packet to be encapsulated and sent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PacketOut {
    /// Where it goes.
    pub route: Route,
    /// The inner IP packet.
    pub packet: Bytes,
}

/// Where an IP packet goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// To a backend server.
    Backend(SocketAddr),
    /// To another VM.
    Vm(SocketAddr),
    /// Back to the caller, through the fabric.
    Caller,
}

/// A message for another VM.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerOut {
    /// The VM's address for messages.
    pub address: SocketAddr,
    /// The message.
    pub envelope: Envelope,
}

/// A request for a backend server.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AttemptOut(pub Attempt);

/// An attempt that is no longer wanted.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CancelAttempt(pub AttemptId);

/// The final answer to a caller.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AnswerOut {
    /// The request.
    pub call: CallId,
    /// The answer.
    pub answer: Answer,
}

/// A call to the platform.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PlatformOut(pub PlatformCall);

/// The answer to an operator.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AdminOut(pub AdminReply);
