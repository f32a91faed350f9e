//! Identity of this VM.

use std::net::SocketAddrV4;

use super::peers::Contact;
use crate::core::names::{
    DataCentreId,
    Incarnation,
    VmId, //
};

/// Identity of this VM.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name.
    pub vm: VmId,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Data centre where it runs.
    pub data_centre: DataCentreId,
    /// Address for messages from other VMs.
    pub address: SocketAddrV4,
    /// CPU capacity in thousandths of a core.
    pub millicores: u32,
}

impl Identity {
    /// Returns the contact that other VMs store.
    pub(super) fn contact(&self) -> Contact {
        Contact {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            millicores: self.millicores,
        }
    }
}
