//! Limit on the full snapshots that a VM serves at the same time.
//!
//! Covers hundreds of VMs that start together and know the same few seeds. A
//! seed serves a few of them at once and refers the others to VMs that it has
//! served already, so that the number of sources multiplies with each round and
//! neither the link nor the memory of a seed bounds the start of the fleet. Serving
//! few at once is fastest: each gets its snapshot sooner and then serves others.

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    ops::RangeInclusive, //
};

/// CPU capacity, in thousandths of a core, for each full snapshot that a VM serves
/// at the same time.
const MILLICORES_PER_SNAPSHOT: u32 = 100;

/// Bounds of the full snapshots that a VM serves at the same time.
const CONCURRENT: RangeInclusive<usize> = 2..=6;

/// Number of remembered VMs that got a full snapshot.
const MAX_HOLDERS: usize = 16;

/// Full snapshots being served, and VMs that got one.
#[derive(Debug, Default)]
pub struct SnapshotAdmission {
    /// Invariant: at most the upper bound of [`CONCURRENT`].
    active: usize,
    /// Invariant: oldest first, at most [`MAX_HOLDERS`], without duplicates.
    holders: VecDeque<SocketAddrV4>,
}

impl SnapshotAdmission {
    /// Admits one more full snapshot, unless too many are being served by a VM with
    /// this CPU capacity. Each admitted one must end with
    /// [`SnapshotAdmission::finish`].
    pub fn admit(&mut self, millicores: u32) -> bool {
        let wanted = (millicores / MILLICORES_PER_SNAPSHOT) as usize;
        let limit = wanted.clamp(*CONCURRENT.start(), *CONCURRENT.end());
        let has_room = self.active < limit;
        self.active += usize::from(has_room);
        has_room
    }

    /// Ends an admitted snapshot. `holder` is the VM that received it, if it
    /// did.
    pub fn finish(&mut self, holder: Option<SocketAddrV4>) {
        self.active = self.active.saturating_sub(1);
        let Some(holder) = holder else {
            return;
        };
        self.holders.retain(|at| *at != holder);
        self.holders.push_back(holder);
        if self.holders.len() > MAX_HOLDERS {
            self.holders.pop_front();
        }
    }

    /// VMs that received a full snapshot, oldest first.
    pub fn holders(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.holders.iter().copied()
    }
}
