//! What the core asks its surroundings to do.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::core::{
    intent::{
        AdminReply,
        PlatformCall, //
    },
    message::PeerMessage,
    names::VmId,
    notice::Notice,
    request::{
        Answer,
        Attempt,
        AttemptId,
        CallId, //
    },
};

/// One thing to do. Actions are carried out in the order they were decided.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends an encapsulated IP packet to a backend server.
    Forward {
        /// The backend server's address for packets.
        to: SocketAddr,
        /// The inner IP packet.
        packet: Bytes,
    },
    /// Sends an IP packet to another VM, which decides about it.
    Relay {
        /// The VM that decides.
        to: VmId,
        /// The inner IP packet.
        packet: Bytes,
    },
    /// Sends an IP packet back to a caller, such as a reset.
    Reply {
        /// The IP packet.
        packet: Bytes,
    },
    /// Sends a message to another VM.
    Peer {
        /// The receiver.
        to: VmId,
        /// The message.
        msg: PeerMessage,
    },
    /// Sends a request to a backend server.
    Attempt(Attempt),
    /// Cancels an attempt that is no longer wanted.
    CancelAttempt(AttemptId),
    /// Ends a caller's request.
    Answer {
        /// The request.
        call: CallId,
        /// Its final answer.
        answer: Answer,
    },
    /// Calls the platform.
    Platform(PlatformCall),
    /// Answers an operator.
    Admin(AdminReply),
    /// Writes a log event.
    Note {
        /// The numbered event.
        notice: Notice,
        /// What it is about.
        detail: String,
    },
}
