//! Parsing of IP packet headers.

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

/// The header fields of an IP packet that decide where it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketHeaders {
    /// Address and port of the caller.
    pub source: SocketAddr,
    /// Address and port of the service.
    pub destination: SocketAddr,
    /// The transport protocol.
    pub protocol: Protocol,
    /// Whether the packet is a TCP segment with SYN and without ACK.
    pub syn: bool,
    /// Whether the packet is a TCP segment with FIN or RST.
    pub closing: bool,
}

impl PacketHeaders {
    /// Parses an IP packet. Returns `None` if it is neither TCP nor UDP, is a
    /// fragment, or is truncated.
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

    /// Returns the hash of the flow's addresses and protocol. It is the same on
    /// every VM.
    pub fn flow_hash(&self) -> u64 {
        let mut key = [0u8; 37];
        write_address(&mut key[0..18], self.source);
        write_address(&mut key[18..36], self.destination);
        key[36] = self.protocol as u8;
        xxh3_64(&key)
    }

    /// Returns whether the packet opens a flow. This is unknown for UDP, where
    /// it returns `false`.
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
