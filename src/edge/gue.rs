//! Generic UDP Encapsulation (GUE) of IP packets: variant 0 without extension
//! fields.

use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};

/// The length of the GUE header in bytes.
pub const HEADER_LEN: usize = 4;

const PROTO_IPV4: u8 = 4;
const PROTO_IPV6: u8 = 41;

/// Prepends a GUE header to an IP packet.
pub fn encapsulate(packet: &[u8]) -> Bytes {
    let proto = if packet.first().is_some_and(|b| b >> 4 == 6) {
        PROTO_IPV6
    } else {
        PROTO_IPV4
    };
    let mut buf = BytesMut::with_capacity(HEADER_LEN + packet.len());
    buf.put_u8(0);
    buf.put_u8(proto);
    buf.put_u16(0);
    buf.put_slice(packet);
    buf.freeze()
}

/// Returns the IP packet in a GUE datagram, or `None` if the header is not one
/// that [`encapsulate`] writes.
pub fn decapsulate(datagram: &Bytes) -> Option<Bytes> {
    let header = datagram.get(..HEADER_LEN)?;
    let is_valid = header[0] == 0 && matches!(header[1], PROTO_IPV4 | PROTO_IPV6);
    is_valid.then(|| datagram.slice(HEADER_LEN..))
}
