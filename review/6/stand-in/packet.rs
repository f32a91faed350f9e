//! The packet format of the pages.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 16;
pub const ACK: u8 = 32;
pub const FIN: u8 = 2;
pub const RST: u8 = 1;
const HEAD: usize = 32;

/// Key of the sum over a packet, known to clients and servers only.
const SUM_KEY: u32 = 0x9e37_79b9;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(flags: u8, src: SocketAddrV4, dst: SocketAddrV4) -> Packet {
        Packet {
            flags,
            seq: 0,
            ack: 0,
            sum: 0,
            src,
            dst,
            echo: 0,
            data: Vec::new(),
        }
    }

    /// The sum over all fields but `echo`.
    pub fn expected_sum(&self) -> u32 {
        let mut hash = SUM_KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&[self.flags]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        for end in [self.src, self.dst] {
            add(&end.ip().octets());
            add(&end.port().to_be_bytes());
        }
        add(&self.data);
        hash | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![0; HEAD];
        buf[0] = self.flags;
        buf[2..6].copy_from_slice(&self.seq.to_be_bytes());
        buf[6..10].copy_from_slice(&self.ack.to_be_bytes());
        buf[10..14].copy_from_slice(&self.expected_sum().to_be_bytes());
        buf[14..16].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        buf[16..18].copy_from_slice(&self.src.port().to_be_bytes());
        buf[18..20].copy_from_slice(&self.dst.port().to_be_bytes());
        buf[20..24].copy_from_slice(&self.dst.ip().octets());
        buf[24..28].copy_from_slice(&self.src.ip().octets());
        buf[28..32].copy_from_slice(&self.echo.to_be_bytes());
        buf.extend_from_slice(&self.data);
        buf
    }

    pub fn decode(buf: &[u8]) -> Option<Packet> {
        let u16_at = |at: usize| Some(u16::from_be_bytes(buf.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_be_bytes(buf.get(at..at + 4)?.try_into().ok()?));
        let len = usize::from(u16_at(14)?);
        if buf.len() != HEAD + len {
            return None;
        }
        let end = |ip: u32, port: u16| SocketAddrV4::new(Ipv4Addr::from(ip), port);
        Some(Packet {
            flags: buf[0],
            seq: u32_at(2)?,
            ack: u32_at(6)?,
            sum: u32_at(10)?,
            src: end(u32_at(24)?, u16_at(16)?),
            dst: end(u32_at(20)?, u16_at(18)?),
            echo: u32_at(28)?,
            data: buf[HEAD..].to_vec(),
        })
    }
}
