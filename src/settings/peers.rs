//! `[peers]`: seed VMs to contact at startup.
//!
//! Each key is the name of a VM, each value its `[listen] peers` address. The
//! section may list the VM itself, so that all VMs of a data centre can share
//! it. If the section is absent, the VM waits until another VM contacts it.

use super::{
    listen::{
        REMOTE_SYNTAX,
        parse_remote, //
    },
    reader::Reader,
    vm::parse_name, //
};
use crate::core::{
    membership::Seed,
    names::VmId, //
};

pub(super) const SECTION: &str = "peers";

const NAME_SYNTAX: &str = "the name of a VM before the equals sign";

pub(super) fn read(rx: &mut Reader<'_>) -> Vec<Seed> {
    let mut seeds = Vec::new();
    for (name, value) in rx.entries(SECTION) {
        let id = rx.parse(SECTION, name, value, NAME_SYNTAX, |_| parse_name(name));
        let peer_address = rx.parse(SECTION, name, value, REMOTE_SYNTAX, parse_remote);
        if let (Some(id), Some(peer_address)) = (id, peer_address) {
            let id = VmId::new(id);
            seeds.push(Seed { id, peer_address });
        }
    }
    seeds
}
