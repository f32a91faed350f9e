//! IP packets in generic UDP encapsulation (GUE) and the payloads of callers.

use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};

use etherparse::{
    NetSlice,
    PacketBuilder,
    SlicedPacket,
    TransportSlice, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A GUE header without options, for an inner IPv4 packet (protocol 4).
const GUE_HEADER: [u8; 4] = [0, 4, 0, 0];

/// The payload of a caller's packet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Payload {
    /// The caller's UDP socket, to which the backend server replies.
    pub reply_to: SocketAddr,
    /// The number of the flow, unique within the caller.
    pub flow: u16,
    /// The number of the packet within the flow.
    pub packet: u32,
}

/// The reply of a backend server to a packet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Echo {
    /// The name of the backend server.
    pub backend: String,
    /// The number of the flow, unique within the caller.
    pub flow: u16,
    /// The number of the packet within the flow.
    pub packet: u32,
    /// Whether the flow is open on the backend server, or was opened by the
    /// packet.
    pub known: bool,
}

/// A decoded TCP segment.
#[derive(Clone, Debug)]
pub struct Segment {
    /// The caller's address in the inner packet.
    pub source: SocketAddr,
    /// The service's address in the inner packet.
    pub destination: SocketAddr,
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

/// Parses an encapsulated TCP segment. Returns `None` if `datagram` is not one
/// or its payload is not a [`Payload`].
pub fn parse(datagram: &[u8]) -> Option<Segment> {
    let sliced = slice(datagram)?;
    let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
        return None;
    };
    let (source, destination) = addresses(&sliced)?;
    Some(Segment {
        source,
        destination,
        syn: tcp.syn(),
        payload: serde_json::from_slice(tcp.payload()).ok()?,
    })
}

/// Returns the inner source and destination addresses of an encapsulated
/// packet. The ports are zero unless it is TCP or UDP.
pub fn endpoints(datagram: &[u8]) -> Option<(SocketAddr, SocketAddr)> {
    addresses(&slice(datagram)?)
}

/// Returns whether a datagram contains a refusal: a TCP reset or an ICMP
/// message.
pub fn is_refusal(datagram: &[u8]) -> bool {
    match slice(datagram).and_then(|sliced| sliced.transport) {
        Some(TransportSlice::Tcp(tcp)) => tcp.rst(),
        Some(TransportSlice::Icmpv4(_) | TransportSlice::Icmpv6(_)) => true,
        _ => false,
    }
}

fn slice(datagram: &[u8]) -> Option<SlicedPacket<'_>> {
    let inner = datagram.get(GUE_HEADER.len()..)?;
    SlicedPacket::from_ip(inner).ok()
}

fn addresses(sliced: &SlicedPacket<'_>) -> Option<(SocketAddr, SocketAddr)> {
    let Some(NetSlice::Ipv4(ip)) = &sliced.net else {
        return None;
    };
    let (source_port, destination_port) = match &sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => (tcp.source_port(), tcp.destination_port()),
        Some(TransportSlice::Udp(udp)) => (udp.source_port(), udp.destination_port()),
        _ => (0, 0),
    };
    let header = ip.header();
    Some((
        SocketAddr::from((header.source_addr(), source_port)),
        SocketAddr::from((header.destination_addr(), destination_port)),
    ))
}

/// Returns the inner source address of a flow of the load generator `host`.
pub fn caller_address(host: u8, flow: u16) -> SocketAddrV4 {
    const FIRST_PORT: u16 = 10_000;
    SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, host), FIRST_PORT + flow)
}
