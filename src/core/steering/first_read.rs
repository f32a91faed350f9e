//! First reads of the store by a VM that has just started.
//!
//! Covers hundreds of VMs that start together, or again after all were lost:
//! the calls to the store must not grow with them, and none may wait for a VM
//! that starts late. A few VMs, the early readers, read the store at once. The
//! others fetch a snapshot from these and read themselves only if none comes.

use super::{
    Steering,
    store::Kind, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
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

/// Number of slots over which the first reads are spread after these times.
const FIRST_READ_SLOTS: u64 = 16;

/// Length of such a slot.
const FIRST_READ_SLOT: Millis = Millis(25);

impl Steering {
    /// Returns whether this VM, which knows nothing of a kind, should read it.
    pub(super) fn is_first_read_due(&self, kind: Kind, now: Time) -> bool {
        let is_due = now.since(self.started_at) >= self.first_read_delay(now);
        is_due || self.may_be_small(kind)
    }

    /// Returns whether a VM without state reads a kind at once, because the fleet
    /// may be small. All VMs read the first page of backend servers. If there is
    /// no other, the store can bear the rest from all of them, too, and a seed
    /// that starts late holds nobody up.
    fn may_be_small(&self, kind: Kind) -> bool {
        let reader = &self.readers[Kind::BackendServers as usize];
        match kind {
            Kind::BackendServers => reader.was_answered() && reader.is_at_first_page(),
            Kind::Configuration | Kind::Evacuations => self.sync.is_known(Kind::BackendServers),
        }
    }

    /// Returns how long after its start a VM without state reads the store if no
    /// other VM has given it a snapshot.
    fn first_read_delay(&self, now: Time) -> Millis {
        let hash = self.me.vm.hash64();
        if self.peers.is_seed() || hash.is_multiple_of(EARLY_READERS) {
            return Millis(0);
        }
        let slot = Millis(FIRST_READ_SLOT.0 * (hash % FIRST_READ_SLOTS));
        if self.peers.live(now).next().is_some() {
            return FIRST_SNAPSHOT_TIME + slot;
        }
        SEED_ANSWER_TIME + slot
    }

    /// Returns whether this VM has just started and may still hear of newer
    /// objects from others. Until then it serves with a list that may be stale and
    /// leaves it to the early readers to watch the store.
    pub(super) fn is_discovering(&self, now: Time) -> bool {
        now.since(self.started_at) < self.first_read_delay(now)
    }
}
