//! What the sockets are to do.

use std::net::SocketAddrV4;

use super::{
    packet::Reset,
    peers::{
        KindQuery,
        PeerMessage, //
    },
    tag::Tag,
};

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "actions are few and short-lived")]
pub enum Action {
    /// Tells a client that its flow is over.
    Reset(Reset),
    /// Sends a heartbeat.
    Heartbeat {
        /// The receiver.
        to: SocketAddrV4,
    },
    /// Sends another message to a VM.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        msg: PeerMessage,
    },
    /// Connects to a backend server to see whether it accepts.
    Probe {
        /// The backend server.
        tag: Tag,
        /// Its address.
        address: SocketAddrV4,
    },
    /// Asks another VM for what it knows.
    Pull {
        /// The VM.
        from: SocketAddrV4,
        /// What is wanted.
        queries: Vec<KindQuery>,
    },
}
