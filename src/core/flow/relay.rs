//! Header of packets that one VM relays to another.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use smallvec::SmallVec;

use crate::core::names::VmId;

/// Upper four bits of the first header byte. No IP packet begins with them.
const HEADER_MAGIC: u8 = 0xd0;

/// Maximum number of VMs that one packet may visit.
pub const MAX_PATH_LEN: usize = 16;

/// Short hash of a VM's name.
pub type VmTag = u32;

/// VMs in the order in which a packet visits them.
///
/// Invariant: at most [`MAX_PATH_LEN`] VMs and none of them twice, so that
/// packets cannot loop.
pub type RelayPath = SmallVec<[VmTag; 8]>;

/// What the receiver of a relayed packet must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayKind {
    /// Find the flow's backend server and forward the packet.
    Lookup,
    /// Assign the new flow to a backend server.
    Open,
    /// Store the given backend server for the flow, and relay the packet to the
    /// remaining VMs or forward it.
    Record,
    /// Store the given backend server for the flow and drop the packet.
    RecordOnly,
}

/// The header of a relayed packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayHeader {
    /// What the receiver must do.
    pub kind: RelayKind,
    /// Hash of the name of the backend server to store, or zero if none is
    /// given.
    pub backend: u64,
    /// The VMs that the packet has visited. For [`RelayKind::Record`] the VMs
    /// that must still store the flow, for [`RelayKind::RecordOnly`] empty.
    pub vms: RelayPath,
}

/// Returns the tag of the VM named `id`.
pub fn vm_tag(id: &VmId) -> VmTag {
    id.hash64() as VmTag
}

impl RelayHeader {
    /// Encodes the header followed by `packet`.
    pub fn prepend(&self, packet: &Bytes) -> Bytes {
        let kind = match self.kind {
            RelayKind::Lookup => 1,
            RelayKind::Open => 2,
            RelayKind::Record => 3,
            RelayKind::RecordOnly => 4,
        };
        let len = 2 + size_of::<u64>() + self.vms.len() * size_of::<VmTag>();
        let mut buf = BytesMut::with_capacity(len + packet.len());
        buf.put_u8(HEADER_MAGIC | kind);
        buf.put_u8(self.vms.len() as u8);
        buf.put_u64(self.backend);
        for tag in &self.vms {
            buf.put_u32(*tag);
        }
        buf.put_slice(packet);
        buf.freeze()
    }

    /// Splits a relayed packet into its header and the IP packet. Returns
    /// `None` if the header is invalid.
    pub fn split(relayed: &Bytes) -> Option<(RelayHeader, Bytes)> {
        let mut rest = relayed.clone();
        let kind = match rest.try_get_u8().ok()? ^ HEADER_MAGIC {
            1 => RelayKind::Lookup,
            2 => RelayKind::Open,
            3 => RelayKind::Record,
            4 => RelayKind::RecordOnly,
            _ => return None,
        };
        let len = usize::from(rest.try_get_u8().ok()?);
        if len > MAX_PATH_LEN {
            return None;
        }
        let backend = rest.try_get_u64().ok()?;
        let mut vms = RelayPath::new();
        for _ in 0..len {
            vms.push(rest.try_get_u32().ok()?);
        }
        let header = RelayHeader { kind, backend, vms };
        Some((header, rest))
    }
}
