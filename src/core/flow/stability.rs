//! Tracks which VMs are reliable and whether all VMs agree on that.
//!
//! Homes of buckets are chosen from the reliable VMs first.

use std::collections::BTreeMap;

use crate::{
    core::{
        flow::relay::{
            VmTag,
            vm_tag, //
        },
        membership::{
            Member,
            MemberState,
            View, //
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

/// How long another VM must be visible before it is reliable. By then it sees
/// the other VMs and knows the history.
const PROBATION_PERIOD: Millis = Millis::from_secs(1);

/// How long a VM that has joined or was paused regards itself as unreliable.
/// It is longer than [`PROBATION_PERIOD`], so that the others rely on the VM
/// first. They regard their own entries as incomplete until all VMs agree.
const SELF_PROBATION_PERIOD: Millis = Millis::from_secs(2);

/// How long after a change VMs may still differ in which VMs they rely on.
const SETTLE_TIME: Millis = Millis::from_secs(2);

/// A run of a VM that is alive in the view.
#[derive(Clone, Debug, Eq, PartialEq)]
struct VisibleVm {
    id: VmId,
    incarnation: Incarnation,
    /// When it became visible, or `None` if that may have been before this VM
    /// started or resumed.
    since: Option<Time>,
}

/// VMs that have become visible.
#[derive(Clone, Debug, Default)]
pub struct NewlyVisible {
    /// VMs whose run had not been visible before.
    pub joined: Vec<VmId>,
    /// VMs whose run had been visible before.
    pub regained: Vec<VmId>,
}

/// Tracks which VMs are visible and reliable.
#[derive(Debug, Default)]
pub struct Stability {
    /// When this VM last started or resumed; `None` before the first event.
    resumed_at: Option<Time>,
    visible: Vec<VisibleVm>,
    /// The last visible run of each VM that was ever visible.
    runs: BTreeMap<VmId, Incarnation>,
    /// The reliable VMs, sorted by name.
    reliable: Vec<VmId>,
    /// Incremented on each change of `reliable`.
    version: u64,
    changed_at: Time,
    /// The VMs that are alive in the view of each other VM.
    alive_by_vm: BTreeMap<VmId, Vec<VmTag>>,
    /// Whether the views of all alive VMs match this VM's view.
    agreed: bool,
    has_suspects: bool,
    /// Whether another VM is visible but not reliable yet.
    has_newcomers: bool,
}

impl Stability {
    /// Returns whether this VM was paused since the last call.
    pub fn detect_pause(&mut self, view: &View) -> bool {
        let paused = self.resumed_at != Some(view.resumed);
        self.resumed_at = Some(view.resumed);
        paused
    }

    /// Applies a new view and returns the VMs that have become visible.
    pub fn update_members(&mut self, view: &View, now: Time) -> NewlyVisible {
        self.has_suspects = view.members.iter().any(|m| m.state == MemberState::Suspect);
        let mut newly_visible = NewlyVisible::default();
        let mut visible = Vec::with_capacity(self.visible.len());
        for member in view.alive() {
            let known = self.visible.iter().find(|v| is_same_run(v, member));
            let since = known.map_or_else(|| self.visible_since(now), |v| v.since);
            if known.is_none() && member.vm.id != view.me.id {
                self.record_gained(member, &mut newly_visible);
            }
            visible.push(VisibleVm {
                id: member.vm.id.clone(),
                incarnation: member.vm.incarnation,
                since,
            });
        }
        self.visible = visible;
        self.agreed = self.views_agree(view);
        self.update_reliable(view, now);
        newly_visible
    }

    /// Returns the start of visibility of a VM that is first seen at `now`.
    /// `None` stands for VMs found right after start or resumption, since they
    /// may have been visible before.
    fn visible_since(&self, now: Time) -> Option<Time> {
        (self.since_pause(now) >= PROBATION_PERIOD).then_some(now)
    }

    fn record_gained(&mut self, member: &Member, newly_visible: &mut NewlyVisible) {
        let id = member.vm.id.clone();
        let run = member.vm.incarnation;
        if self.runs.insert(id.clone(), run) == Some(run) {
            newly_visible.regained.push(id);
        } else {
            newly_visible.joined.push(id);
        }
    }

    fn update_reliable(&mut self, view: &View, now: Time) {
        let own_reliable = self.since_pause(now) >= SELF_PROBATION_PERIOD;
        let is_newcomer = |v: &&VisibleVm| v.since.is_some_and(|t| now.since(t) < PROBATION_PERIOD);
        let is_reliable = |v: &&VisibleVm| {
            if v.id == view.me.id {
                own_reliable
            } else {
                !is_newcomer(v)
            }
        };
        let others = |v: &&VisibleVm| v.id != view.me.id;
        self.has_newcomers = self.visible.iter().filter(others).any(|v| is_newcomer(&v));
        let reliable = self.visible.iter().filter(is_reliable).map(|v| &v.id);
        if reliable.clone().eq(self.reliable.iter()) {
            return;
        }
        self.reliable = reliable.cloned().collect();
        self.version += 1;
        self.changed_at = now;
    }

    /// Returns whether `member` is reliable.
    pub fn is_reliable(&self, member: &Member) -> bool {
        self.reliable.binary_search(&member.vm.id).is_ok()
    }

    /// Returns whether all VMs can be expected to rely on the same set of VMs.
    pub fn is_settled(&self, now: Time) -> bool {
        !self.has_suspects
            && self.agreed
            && !self.has_newcomers
            && now.since(self.changed_at) >= SETTLE_TIME
            && self.since_pause(now) >= SETTLE_TIME
    }

    /// Records the VMs that are alive in the view of `from`.
    pub fn set_alive_vms(&mut self, from: &VmId, alive_vms: Vec<VmTag>) {
        self.alive_by_vm.insert(from.clone(), alive_vms);
    }

    /// Returns the sorted tags of the alive VMs, this VM included.
    pub fn alive_vms(&self, me: &VmId) -> Vec<VmTag> {
        let mut alive_vms: Vec<VmTag> = self.visible.iter().map(|v| vm_tag(&v.id)).collect();
        if !self.visible.iter().any(|v| v.id == *me) {
            alive_vms.push(vm_tag(me));
        }
        alive_vms.sort_unstable();
        alive_vms
    }

    /// Returns whether all alive VMs see the same VMs alive.
    fn views_agree(&self, view: &View) -> bool {
        let mine = self.alive_vms(&view.me.id);
        let mut others = self.visible.iter().filter(|v| v.id != view.me.id);
        others.all(|v| self.alive_by_vm.get(&v.id) == Some(&mine))
    }

    /// Returns whether another VM is visible but not reliable yet.
    pub fn has_newcomers(&self) -> bool {
        self.has_newcomers
    }

    /// Returns the time since this VM started or resumed from a pause.
    pub fn since_pause(&self, now: Time) -> Millis {
        now.since(self.resumed_at.unwrap_or(now))
    }

    /// Returns a number that changes whenever the set of reliable VMs does.
    pub fn version(&self) -> u64 {
        self.version
    }
}

fn is_same_run(visible: &VisibleVm, member: &Member) -> bool {
    visible.id == member.vm.id && visible.incarnation == member.vm.incarnation
}
