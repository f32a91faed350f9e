//! TCP resets that tell a caller that its flow was refused or lost.

use bytes::Bytes;
use etherparse::{
    NetSlice,
    PacketBuilder,
    SlicedPacket,
    TcpSlice,
    TransportSlice, //
};

const TTL: u8 = 64;

/// Builds the TCP reset in reply to `packet`. Returns `None` if the packet is
/// not TCP or is itself a reset.
pub fn tcp_reset(packet: &[u8]) -> Option<Bytes> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
        return None;
    };
    if tcp.rst() {
        return None;
    }
    let builder = match sliced.net.as_ref()? {
        NetSlice::Ipv4(ip) => {
            let header = ip.header();
            PacketBuilder::ipv4(header.destination(), header.source(), TTL)
        }
        NetSlice::Ipv6(ip) => {
            let header = ip.header();
            PacketBuilder::ipv6(header.destination(), header.source(), TTL)
        }
        NetSlice::Arp(_) => return None,
    };
    let builder = builder
        .tcp(
            tcp.destination_port(),
            tcp.source_port(),
            reset_sequence(tcp),
            0,
        )
        .rst()
        .ack(reset_acknowledgment(tcp));
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(Bytes::from(buf))
}

fn reset_sequence(tcp: &TcpSlice<'_>) -> u32 {
    if tcp.ack() {
        tcp.acknowledgment_number()
    } else {
        0
    }
}

fn reset_acknowledgment(tcp: &TcpSlice<'_>) -> u32 {
    let flag_count = u32::from(tcp.syn()) + u32::from(tcp.fin());
    tcp.sequence_number()
        .wrapping_add(tcp.payload().len() as u32)
        .wrapping_add(flag_count)
}
