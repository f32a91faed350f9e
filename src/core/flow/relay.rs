//! Packets that VMs hand to each other, with a short header in front.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use smallvec::SmallVec;

use crate::core::names::VmId;

/// Marks a header. No IP packet begins with this nibble.
const MAGIC: u8 = 0xd0;

/// The most VMs that one packet visits.
pub const MAX_PATH: usize = 16;

/// A short hash of a VM's name.
pub type VmTag = u32;

/// VMs in the order in which a packet visits them.
///
/// Invariant: at most [`MAX_PATH`], and none of them twice, so that no packet
/// circles for ever.
pub type Path = SmallVec<[VmTag; 8]>;

/// What the receiver of a relayed packet does with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayKind {
    /// Finds the flow's backend server and forwards the packet.
    Lookup,
    /// Assigns the new flow to a backend server.
    Open,
    /// Records the given backend server and forwards the packet there.
    Record,
    /// Records the given backend server and drops the packet.
    Note,
}

/// The header of a relayed packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayHeader {
    /// What to do with the packet.
    pub kind: RelayKind,
    /// The hash of the name of the backend server to record, or zero.
    pub backend: u64,
    /// The VMs that the packet has visited. For [`RelayKind::Record`] those
    /// that have still to record the flow, for [`RelayKind::Note`] none.
    pub vms: Path,
}

/// Returns the tag of the VM called `id`.
pub fn tag(id: &VmId) -> VmTag {
    id.hash64() as VmTag
}

impl RelayHeader {
    /// Puts the header in front of `packet`.
    pub fn prepend(&self, packet: &Bytes) -> Bytes {
        let kind = match self.kind {
            RelayKind::Lookup => 1,
            RelayKind::Open => 2,
            RelayKind::Record => 3,
            RelayKind::Note => 4,
        };
        let len = 2 + size_of::<u64>() + self.vms.len() * size_of::<VmTag>();
        let mut buf = BytesMut::with_capacity(len + packet.len());
        buf.put_u8(MAGIC | kind);
        buf.put_u8(self.vms.len() as u8);
        buf.put_u64(self.backend);
        for tag in &self.vms {
            buf.put_u32(*tag);
        }
        buf.put_slice(packet);
        buf.freeze()
    }

    /// Splits a relayed packet into its header and the IP packet. Returns
    /// `None` if it has no valid header.
    pub fn split(relayed: &Bytes) -> Option<(RelayHeader, Bytes)> {
        let mut rest = relayed.clone();
        let kind = match rest.try_get_u8().ok()? ^ MAGIC {
            1 => RelayKind::Lookup,
            2 => RelayKind::Open,
            3 => RelayKind::Record,
            4 => RelayKind::Note,
            _ => return None,
        };
        let len = usize::from(rest.try_get_u8().ok()?);
        if len > MAX_PATH {
            return None;
        }
        let backend = rest.try_get_u64().ok()?;
        let mut vms = Path::new();
        for _ in 0..len {
            vms.push(rest.try_get_u32().ok()?);
        }
        let header = RelayHeader { kind, backend, vms };
        Some((header, rest))
    }
}
