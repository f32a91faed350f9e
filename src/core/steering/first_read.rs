//! First reads of the store by a VM that has just started.
//!
//! Covers hundreds of VMs that start together, or again after all were lost:
//! the calls to the store must not grow with them, and none may wait for a VM
//! that starts late. A few VMs, the early readers, read the store at once. The
//! others fetch a snapshot from these and read themselves only if none comes.

use std::ops::RangeInclusive;

use super::{
    Steering,
    store::Kind, //
};
use crate::{
    core::names::VmId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// One in this many VMs, besides the seeds, reads the store at its start. The
/// others fetch a snapshot from these, so that the calls to the store do not
/// grow with the VMs that start together.
const EARLY_READERS: u64 = 48;

/// Time within which a seed answers the first heartbeat of a VM, if it runs.
const SEED_ANSWER_TIME: Millis = Millis(150);

/// Time within which a VM that hears others should have got a snapshot from
/// one of them.
const FIRST_SNAPSHOT_TIME: Millis = Millis(900);

/// Minimum time over which the first reads are spread after these times.
const FIRST_READ_SPREAD: Millis = Millis(400);

/// The same for each VM of the fleet.
const FIRST_READ_SPACING: Millis = Millis(2);

/// Number of slots in this time.
const FIRST_READ_SLOTS: u64 = 16;

/// Sizes of a fleet of which all VMs read the store at their start. That many lists
/// take the store less time than a VM with a narrow link needs for the snapshots of
/// all others. Zero comes from a build that did not count.
const SMALL_FLEET: RangeInclusive<usize> = 1..=128;

impl Steering {
    /// Returns whether this VM, which knows nothing of a kind, should read it.
    pub(super) fn is_first_read_due(&self, now: Time) -> bool {
        let is_due = now.since(self.started_at) >= self.first_read_delay(now);
        is_due || self.is_small_fleet()
    }

    /// Returns whether a VM without state reads at once, because the fleet is
    /// small: the store can bear that from all of its VMs, and a seed that starts
    /// late holds nobody up.
    fn is_small_fleet(&self) -> bool {
        let reader = &self.readers[Kind::BackendServers as usize];
        let size = self.registration.fleet_size();
        reader.was_answered() && size.is_some_and(|n| SMALL_FLEET.contains(&n))
    }

    /// Returns how long after its start a VM without state reads the store if no
    /// other VM has given it a snapshot.
    fn first_read_delay(&self, now: Time) -> Millis {
        if self.peers.is_seed() || is_early_reader(&self.me.vm) {
            return Millis(0);
        }
        let slot = self.first_read_slot();
        if self.peers.live(now).next().is_some() {
            return FIRST_SNAPSHOT_TIME + slot;
        }
        SEED_ANSWER_TIME + slot
    }

    /// Returns a delay that spreads the first reads of all VMs, so that the store
    /// does not send its list to all of them at once.
    fn first_read_slot(&self) -> Millis {
        let fleet = self.registration.fleet_size().unwrap_or(0) as u64;
        let spread = FIRST_READ_SPREAD.0.max(FIRST_READ_SPACING.0 * fleet);
        Millis(spread * (self.me.vm.hash64() % FIRST_READ_SLOTS) / FIRST_READ_SLOTS)
    }

    /// Returns whether this VM has just started and may still hear of newer
    /// objects from others. Until then it serves with a list that may be stale and
    /// leaves it to the early readers to watch the store.
    pub(super) fn is_discovering(&self, now: Time) -> bool {
        now.since(self.started_at) < self.first_read_delay(now)
    }
}

/// Returns whether a VM reads the store at once when it starts.
pub(super) fn is_early_reader(vm: &VmId) -> bool {
    vm.hash64().is_multiple_of(EARLY_READERS)
}
