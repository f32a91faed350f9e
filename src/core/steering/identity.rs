//! Which VM this is.

use std::net::SocketAddrV4;

use super::peers::Contact;
use crate::core::names::{
    DataCentreId,
    Incarnation,
    VmId, //
};

/// Which VM this is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes messages of other VMs.
    pub address: SocketAddrV4,
    /// How much it can do for others, in thousandths of a core.
    pub millicores: u32,
}

impl Identity {
    /// Where this VM may be found.
    pub(super) fn contact(&self) -> Contact {
        Contact {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            millicores: self.millicores,
        }
    }
}
