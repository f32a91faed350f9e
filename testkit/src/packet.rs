//! Builds IP packets of callers.

use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};

use bytes::Bytes;
use etherparse::PacketBuilder;

/// The kind of TCP segment to build.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow: SYN.
    Syn,
    /// Belongs to an open flow: ACK.
    Data,
    /// Ends a flow: FIN and ACK.
    Fin,
}

/// Returns the source address of flow `n`, unique for each flow.
pub fn caller_address(n: u32) -> SocketAddrV4 {
    const FLOWS_PER_ADDRESS: u32 = 50_000;
    const FIRST_PORT: u32 = 10_000;
    let host = Ipv4Addr::from(0x0a00_0001 + n / FLOWS_PER_ADDRESS);
    SocketAddrV4::new(host, (FIRST_PORT + n % FLOWS_PER_ADDRESS) as u16)
}

/// Builds a TCP segment from `source` to the service at `destination`.
///
/// # Panics
///
/// Panics if `destination` is not an IPv4 address.
pub fn tcp(source: SocketAddrV4, destination: SocketAddr, kind: SegmentKind) -> Bytes {
    let SocketAddr::V4(destination) = destination else {
        panic!("the destination must be an IPv4 address");
    };
    let builder = PacketBuilder::ipv4(source.ip().octets(), destination.ip().octets(), 64).tcp(
        source.port(),
        destination.port(),
        1,
        1_024,
    );
    let builder = match kind {
        SegmentKind::Syn => builder.syn(),
        SegmentKind::Data => builder.ack(1),
        SegmentKind::Fin => builder.fin().ack(1),
    };
    let mut buf = Vec::new();
    // Writing into a vector cannot fail.
    let _ = builder.write(&mut buf, &[]);
    Bytes::from(buf)
}
