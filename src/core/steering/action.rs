//! Actions that the I/O layer performs for the state machine.

use std::net::SocketAddrV4;

use super::{
    packet::Reset,
    peers::{
        KindQuery,
        PeerMessage, //
    },
    tag::Tag,
};

/// An action for the I/O layer.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "actions are few and short-lived")]
pub enum Action {
    /// Resets a flow towards its client.
    Reset(Reset),
    /// Sends a heartbeat.
    Heartbeat {
        /// Receiver.
        to: SocketAddrV4,
    },
    /// Sends another message to a VM.
    Send {
        /// Receiver.
        to: SocketAddrV4,
        /// Message.
        msg: PeerMessage,
    },
    /// Probes a backend server by opening a connection.
    Probe {
        /// Backend server.
        tag: Tag,
        /// Address to connect to.
        address: SocketAddrV4,
    },
    /// Requests a snapshot from another VM.
    RequestSnapshot {
        /// VM to ask.
        from: SocketAddrV4,
        /// Kinds to request.
        queries: Vec<KindQuery>,
    },
}
