//! Whether the view of the fleet can be relied on.

use crate::{
    core::{
        membership::{
            MemberState,
            View,
            Vm, //
        },
        names::{
            Incarnation,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long after a change of the view other VMs may still see another one.
const SETTLE_TIME: Millis = Millis::from_secs(2);

/// Watches the view for changes.
#[derive(Debug, Default)]
pub struct Stability {
    /// `None` before the first event.
    resumed: Option<Time>,
    /// The runs that were alive at the last look.
    alive: Vec<(VmId, Incarnation)>,
    /// Counts the changes of `alive`.
    version: u64,
    changed_at: Time,
    suspects: bool,
}

impl Stability {
    /// Notes the time of the last pause. Returns whether there was one since
    /// the last call.
    pub fn notice_pause(&mut self, view: &View) -> bool {
        let paused = self.resumed != Some(view.resumed);
        self.resumed = Some(view.resumed);
        paused
    }

    /// Notes the members. Returns whether the VMs that are alive changed.
    pub fn notice_members(&mut self, view: &View, now: Time) -> bool {
        self.suspects = view.members.iter().any(|m| m.state == MemberState::Suspect);
        let known = self.alive.iter().map(|(id, run)| (id, *run));
        if view.alive().map(|m| (&m.vm.id, m.vm.incarnation)).eq(known) {
            return false;
        }
        self.alive = view
            .alive()
            .map(|m| (m.vm.id.clone(), m.vm.incarnation))
            .collect();
        self.version += 1;
        self.changed_at = now;
        true
    }

    /// Tells whether `vm` was not alive at the last look.
    pub fn is_new(&self, vm: &Vm) -> bool {
        !self
            .alive
            .iter()
            .any(|(id, run)| *id == vm.id && *run == vm.incarnation)
    }

    /// Tells whether all VMs can be expected to have the same view.
    pub fn is_settled(&self, now: Time) -> bool {
        let resumed = self.resumed.unwrap_or(now);
        !self.suspects
            && now.since(self.changed_at) >= SETTLE_TIME
            && now.since(resumed) >= SETTLE_TIME
    }

    /// Returns the number of changes that were noted.
    pub fn version(&self) -> u64 {
        self.version
    }
}
