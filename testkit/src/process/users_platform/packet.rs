//! The packets between clients and backend servers.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

/// The flag bits in a packet's first byte.
pub mod flag {
    /// Resets a flow.
    pub const RST: u8 = 1;
    /// Ends a flow.
    pub const FIN: u8 = 2;
    /// Opens a flow.
    pub const SYN: u8 = 16;
    /// Acknowledges data.
    pub const ACK: u8 = 32;
}

/// A packet of a flow, with its header and data.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packet {
    /// The bits of [`flag`].
    pub flags: u8,
    /// The source address; `None` encodes as `0.0.0.0:0`.
    pub from: Option<SocketAddrV4>,
    /// The destination address; `None` encodes as `0.0.0.0:0`.
    pub to: Option<SocketAddrV4>,
    /// The sequence number of the first data byte.
    pub seq: u32,
    /// The sequence number of the next expected byte.
    pub ack: u32,
    /// The steering tag.
    pub steering_tag: u32,
    /// The payload.
    pub data: Vec<u8>,
}

impl Packet {
    pub(super) fn encode(&self) -> Vec<u8> {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let (from, to) = (
            self.from.unwrap_or(unspecified),
            self.to.unwrap_or(unspecified),
        );
        let mut buf = vec![self.flags, 0];
        buf.extend(self.seq.to_be_bytes());
        buf.extend(self.ack.to_be_bytes());
        buf.extend([0; 4]);
        buf.extend((self.data.len() as u16).to_be_bytes());
        buf.extend(from.port().to_be_bytes());
        buf.extend(to.port().to_be_bytes());
        buf.extend(to.ip().octets());
        buf.extend(from.ip().octets());
        buf.extend(self.steering_tag.to_be_bytes());
        buf.extend(&self.data);
        buf
    }

    pub(super) fn decode(buf: &[u8]) -> Packet {
        let word = |i: usize| u32::from_be_bytes([buf[i], buf[i + 1], buf[i + 2], buf[i + 3]]);
        let port = |i: usize| u16::from_be_bytes([buf[i], buf[i + 1]]);
        let address = |ip, at| Some(SocketAddrV4::new(Ipv4Addr::from(word(ip)), port(at)));
        Packet {
            flags: buf[0],
            from: address(24, 16),
            to: address(20, 18),
            seq: word(2),
            ack: word(6),
            steering_tag: word(28),
            data: buf[32..].to_vec(),
        }
    }
}
