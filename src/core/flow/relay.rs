//! Packets that VMs hand to each other, with a short header in front.

use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};

/// The length of an encoded header in bytes.
pub const HEADER_LEN: usize = 18;

/// Marks a header. No IP packet begins with this nibble.
const MAGIC: u8 = 0xd0;

/// What the receiver of a relayed packet does with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayKind {
    /// Finds the flow's backend server and forwards the packet.
    Lookup,
    /// Assigns the new flow to a backend server.
    Open,
    /// Records the given backend server and forwards the packet there.
    Record,
}

/// The header of a relayed packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayHeader {
    /// What to do with the packet.
    pub kind: RelayKind,
    /// How many VMs have passed the packet on already.
    ///
    /// Invariant: increases with each VM, so that no packet circles for ever.
    pub hop: u8,
    /// The hash of the name of the VM that the fabric handed the packet to.
    pub asker: u64,
    /// The hash of the name of the backend server to record, or zero.
    pub backend: u64,
}

impl RelayHeader {
    /// Puts the header in front of `packet`.
    pub fn prepend(&self, packet: &Bytes) -> Bytes {
        let kind = match self.kind {
            RelayKind::Lookup => 1,
            RelayKind::Open => 2,
            RelayKind::Record => 3,
        };
        let mut buf = BytesMut::with_capacity(HEADER_LEN + packet.len());
        buf.put_u8(MAGIC | kind);
        buf.put_u8(self.hop);
        buf.put_u64(self.asker);
        buf.put_u64(self.backend);
        buf.put_slice(packet);
        buf.freeze()
    }

    /// Splits a relayed packet into its header and the IP packet. Returns
    /// `None` if it has no valid header.
    pub fn split(relayed: &Bytes) -> Option<(RelayHeader, Bytes)> {
        let (header, _) = relayed.split_first_chunk::<HEADER_LEN>()?;
        let kind = match header[0] ^ MAGIC {
            1 => RelayKind::Lookup,
            2 => RelayKind::Open,
            3 => RelayKind::Record,
            _ => return None,
        };
        let number = |at: usize| {
            let mut raw = [0; 8];
            raw.copy_from_slice(&header[at..at + 8]);
            u64::from_be_bytes(raw)
        };
        let parsed = RelayHeader {
            kind,
            hop: header[1],
            asker: number(2),
            backend: number(10),
        };
        Some((parsed, relayed.slice(HEADER_LEN..)))
    }
}
