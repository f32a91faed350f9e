//! Ranks VMs for a duty, equally on every VM that sees the same ones.

use crate::core::{
    membership::View,
    names::VmId, //
};

/// Returns how many of `others` come before `me`. Without `me` among them it
/// is the rank that `me` would have.
pub(super) fn rank(me: &VmId, others: &[&VmId]) -> u64 {
    let mine = (me.hash64(), me);
    let before = |other: &&&VmId| (other.hash64(), **other) < mine;
    others.iter().filter(before).count() as u64
}

/// Tells whether this VM is one of the first `readers` alive VMs of its data
/// centre.
pub(super) fn is_reader(view: &View, readers: u64) -> bool {
    let here: Vec<&VmId> = view
        .alive()
        .filter(|m| m.vm.data_centre == view.me.data_centre)
        .map(|m| &m.vm.id)
        .collect();
    rank(&view.me.id, &here) < readers
}
