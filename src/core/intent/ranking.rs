//! Ranks VMs for a task. VMs with equal views compute the same ranking.

use crate::core::{
    membership::View,
    names::VmId, //
};

/// Returns the number of `others` that rank before `me`, whether or not `me` is
/// among them.
pub(super) fn rank(me: &VmId, others: &[&VmId]) -> u64 {
    let mine = (me.hash64(), me);
    let before = |other: &&&VmId| (other.hash64(), **other) < mine;
    others.iter().filter(before).count() as u64
}

/// Returns whether this VM is one of the first `readers` alive VMs of its data
/// centre.
pub(super) fn is_reader(view: &View, readers: u64) -> bool {
    let local: Vec<&VmId> = view
        .alive()
        .filter(|m| m.vm.data_centre == view.me.data_centre)
        .map(|m| &m.vm.id)
        .collect();
    rank(&view.me.id, &local) < readers
}
