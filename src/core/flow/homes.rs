//! Which VMs keep the pins of a bucket.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{
    membership::{
        Member,
        View, //
    },
    names::VmId, //
};

/// How many VMs keep each pin.
pub const HOMES: usize = 2;

/// VMs in the order in which they are asked about a bucket. The first
/// [`HOMES`] are its homes.
pub type Ranking = SmallVec<[VmId; 8]>;

/// Ranks the VMs of `view` that pass `among` for a bucket by rendezvous
/// hashing. The second one stands in another data centre than the first if
/// possible.
pub fn rank(view: &View, among: impl Fn(&Member) -> bool, service: u64, bucket: usize) -> Ranking {
    let seed = service ^ (bucket as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut scored: SmallVec<[(u64, &Member); 8]> = view
        .members
        .iter()
        .filter(|m| among(m))
        .map(|m| (xxh3_64_with_seed(m.vm.id.as_str().as_bytes(), seed), m))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.vm.id.cmp(&b.1.vm.id)));
    spread_homes(&mut scored);
    scored.iter().map(|(_, m)| m.vm.id.clone()).collect()
}

fn spread_homes(scored: &mut SmallVec<[(u64, &Member); 8]>) {
    let Some((_, first)) = scored.first() else {
        return;
    };
    let elsewhere = scored
        .iter()
        .position(|(_, m)| m.vm.data_centre != first.vm.data_centre);
    if let Some(at) = elsewhere {
        let member = scored.remove(at);
        scored.insert(1, member);
    }
}
