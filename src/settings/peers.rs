//! `[peers]`: where other VMs may be found at start.
//!
//! Each key is the name of a VM, each value the address of its `[listen]
//! peers`. The VM itself may be among them, so that all VMs of a data centre
//! can share the section. It may be left out: the VM then waits to be found.

use super::{
    listen::{
        REMOTE_REMEDY,
        parse_remote, //
    },
    reader::Reader,
    vm::parse_name, //
};
use crate::core::{
    membership::Seed,
    names::VmId, //
};

/// The name of the section.
pub(super) const SECTION: &str = "peers";

const NAME_REMEDY: &str = "the name of a VM before the equals sign";

pub(super) fn read(rx: &mut Reader<'_>) -> Vec<Seed> {
    let mut seeds = Vec::new();
    for (name, value) in rx.entries(SECTION) {
        let id = rx.parse(SECTION, name, value, NAME_REMEDY, |_| parse_name(name));
        let peer_address = rx.parse(SECTION, name, value, REMOTE_REMEDY, parse_remote);
        if let (Some(id), Some(peer_address)) = (id, peer_address) {
            let id = VmId::new(id);
            seeds.push(Seed { id, peer_address });
        }
    }
    seeds
}
