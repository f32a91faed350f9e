//! A borrowed reading of an IP packet.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use etherparse::{
    NetSlice,
    SlicedPacket,
    TransportSlice, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::configuration::Protocol;

/// The parts of an IP packet that steer it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketHeaders {
    /// The caller's address and port.
    pub source: SocketAddr,
    /// The service's address and port.
    pub destination: SocketAddr,
    /// The transport protocol.
    pub protocol: Protocol,
    /// Whether this is a TCP segment with SYN and without ACK.
    pub syn: bool,
    /// Whether this is a TCP segment with FIN or RST.
    pub closing: bool,
}

impl PacketHeaders {
    /// Reads an IP packet. Returns `None` if it is neither TCP nor UDP, is a
    /// fragment, or is cut short.
    pub fn parse(bytes: &[u8]) -> Option<PacketHeaders> {
        let sliced = SlicedPacket::from_ip(bytes).ok()?;
        let (source, destination) = addresses(&sliced)?;
        match sliced.transport? {
            TransportSlice::Tcp(tcp) => Some(PacketHeaders {
                source: SocketAddr::new(source, tcp.source_port()),
                destination: SocketAddr::new(destination, tcp.destination_port()),
                protocol: Protocol::Tcp,
                syn: tcp.syn() && !tcp.ack(),
                closing: tcp.fin() || tcp.rst(),
            }),
            TransportSlice::Udp(udp) => Some(PacketHeaders {
                source: SocketAddr::new(source, udp.source_port()),
                destination: SocketAddr::new(destination, udp.destination_port()),
                protocol: Protocol::Udp,
                syn: false,
                closing: false,
            }),
            _ => None,
        }
    }

    /// Returns a hash of the flow that is equal on every VM.
    pub fn flow_hash(&self) -> u64 {
        let mut key = [0u8; 37];
        write_address(&mut key[0..18], self.source);
        write_address(&mut key[18..36], self.destination);
        key[36] = self.protocol as u8;
        xxh3_64(&key)
    }

    /// Tells whether the packet certainly opens a flow.
    pub fn opens_flow(&self) -> bool {
        self.syn
    }
}

fn addresses(sliced: &SlicedPacket<'_>) -> Option<(IpAddr, IpAddr)> {
    match sliced.net.as_ref()? {
        NetSlice::Ipv4(ip) => {
            let header = ip.header();
            Some((
                header.source_addr().into(),
                header.destination_addr().into(),
            ))
        }
        NetSlice::Ipv6(ip) => {
            let header = ip.header();
            Some((
                header.source_addr().into(),
                header.destination_addr().into(),
            ))
        }
        _ => None,
    }
}

fn write_address(buf: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    buf[..16].copy_from_slice(&ip.octets());
    buf[16..18].copy_from_slice(&address.port().to_be_bytes());
}
