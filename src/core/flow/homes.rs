//! Selection of the VMs that store the pinned flows of a bucket.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{
    membership::{
        Member,
        View, //
    },
    names::VmId, //
};

/// Number of VMs that store each pinned flow.
pub const HOMES_PER_BUCKET: usize = 2;

/// VMs in the order in which they are asked about a bucket. The first
/// [`HOMES_PER_BUCKET`] are its homes.
pub type Ranking = SmallVec<[VmId; 8]>;

/// Ranks the `eligible` VMs of `view` for a bucket by rendezvous hashing. The
/// second VM is in another data centre than the first if there is one.
pub fn rank(
    view: &View,
    eligible: impl Fn(&Member) -> bool,
    service: u64,
    bucket: usize,
) -> Ranking {
    let seed = service ^ (bucket as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut scored: SmallVec<[(u64, &Member); 8]> = view
        .members
        .iter()
        .filter(|m| eligible(m))
        .map(|m| (xxh3_64_with_seed(m.vm.id.as_str().as_bytes(), seed), m))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.vm.id.cmp(&b.1.vm.id)));
    separate_homes(&mut scored);
    scored.iter().map(|(_, m)| m.vm.id.clone()).collect()
}

fn separate_homes(scored: &mut SmallVec<[(u64, &Member); 8]>) {
    let Some((_, first)) = scored.first() else {
        return;
    };
    let elsewhere = scored
        .iter()
        .position(|(_, m)| m.vm.data_centre != first.vm.data_centre);
    if let Some(index) = elsewhere {
        let member = scored.remove(index);
        scored.insert(1, member);
    }
}
