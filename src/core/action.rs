//! Actions that the core returns for the I/O layer to carry out.

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

/// One action. The I/O layer carries actions out in the order in which they
/// were pushed.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends an encapsulated IP packet to a backend server.
    Forward {
        /// The backend server's UDP address for encapsulated packets.
        to: SocketAddr,
        /// The inner IP packet.
        packet: Bytes,
    },
    /// Relays an IP packet to the VM that decides where it goes.
    Relay {
        /// The receiving VM.
        to: VmId,
        /// The inner IP packet.
        packet: Bytes,
    },
    /// Sends an IP packet, such as a TCP reset, back to a caller.
    Reply {
        /// The IP packet.
        packet: Bytes,
    },
    /// Sends a message to another VM.
    Peer {
        /// The receiving VM.
        to: VmId,
        /// The message.
        msg: PeerMessage,
    },
    /// Sends a request to a backend server.
    Attempt(Attempt),
    /// Cancels an attempt that is no longer wanted.
    CancelAttempt(AttemptId),
    /// Completes a caller's request.
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
        /// The objects, peers or reasons that the event is about.
        detail: String,
    },
}
