//! IP packets in generic UDP encapsulation, and what a caller puts in them.

use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};

use etherparse::{
    PacketBuilder,
    SlicedPacket,
    TransportSlice, //
};
use serde::{
    Deserialize,
    Serialize, //
};

const GUE_HEADER: [u8; 4] = [0, 4, 0, 0];

/// What a caller puts into a packet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Payload {
    /// The caller's UDP socket, to which the backend server answers.
    pub reply_to: SocketAddr,
    /// The flow within the caller.
    pub flow: u16,
    /// The packet within the flow.
    pub packet: u32,
}

/// What a backend server answers to a packet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Echo {
    /// The backend server.
    pub backend: String,
    /// The flow within the caller.
    pub flow: u16,
    /// The packet within the flow.
    pub packet: u32,
    /// Whether the backend server knew the flow or the packet opened it.
    pub known: bool,
}

/// A TCP segment as a backend server reads it.
#[derive(Clone, Debug)]
pub struct Segment {
    /// The caller's port in the inner packet.
    pub source_port: u16,
    /// Whether it opens a flow.
    pub syn: bool,
    /// The payload.
    pub payload: Payload,
}

/// Builds an encapsulated TCP segment from `source` to `destination`.
pub fn build(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    syn: bool,
    data: &Payload,
) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(source.ip().octets(), destination.ip().octets(), 64);
    let builder = builder.tcp(source.port(), destination.port(), data.packet, 1_024);
    let builder = if syn { builder.syn() } else { builder.ack(1) };
    let payload = serde_json::to_vec(data).unwrap_or_default();
    let mut buf = GUE_HEADER.to_vec();
    // Writing into a vector cannot fail.
    let _ = builder.write(&mut buf, &payload);
    buf
}

/// Reads an encapsulated TCP segment.
pub fn read(datagram: &[u8]) -> Option<Segment> {
    let inner = datagram.get(GUE_HEADER.len()..)?;
    let sliced = SlicedPacket::from_ip(inner).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
        return None;
    };
    Some(Segment {
        source_port: tcp.source_port(),
        syn: tcp.syn(),
        payload: serde_json::from_slice(tcp.payload()).ok()?,
    })
}

/// The inner source address of a caller's flow.
pub fn caller_address(flow: u16) -> SocketAddrV4 {
    const FIRST_PORT: u16 = 10_000;
    SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), FIRST_PORT + flow)
}
