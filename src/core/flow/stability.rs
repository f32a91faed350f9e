//! Which VMs can be relied on, and whether all VMs agree about that.

use std::collections::BTreeMap;

use crate::{
    core::{
        flow::relay::{
            VmTag,
            tag, //
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

/// How long a VM has to be visible before it is asked about flows, so that it
/// sees the others and knows the history by then.
const PROBATION: Millis = Millis::from_secs(1);

/// How long a VM that has joined or was paused asks others and not itself. The
/// others rely on it before, and do not trust their own memory meanwhile.
const OWN_PROBATION: Millis = Millis::from_secs(2);

/// How long after a change other VMs may still rely on other VMs.
const SETTLE_TIME: Millis = Millis::from_secs(2);

/// A VM that is alive.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Visible {
    id: VmId,
    incarnation: Incarnation,
    /// When this VM first saw it; `None` if that may have been before this VM
    /// started or was paused.
    since: Option<Time>,
}

/// VMs that became visible.
#[derive(Clone, Debug, Default)]
pub struct Gained {
    /// Those in a run that had not been visible.
    pub joined: Vec<VmId>,
    /// Those that had been visible in the same run.
    pub regained: Vec<VmId>,
}

/// Watches the view for changes.
#[derive(Debug, Default)]
pub struct Stability {
    /// `None` before the first event.
    resumed: Option<Time>,
    visible: Vec<Visible>,
    /// The last run of each VM that was ever visible.
    runs: BTreeMap<VmId, Incarnation>,
    /// The VMs that are asked about flows, sorted by name.
    reliable: Vec<VmId>,
    /// Counts the changes of `reliable`.
    version: u64,
    changed_at: Time,
    /// The VMs that each other VM sees alive.
    reaches: BTreeMap<VmId, Vec<VmTag>>,
    /// Whether all of them see the same ones as this VM.
    agreed: bool,
    suspects: bool,
    /// Whether a VM is visible that is not asked yet.
    has_newcomers: bool,
}

impl Stability {
    /// Notes the time of the last pause. Returns whether there was one since
    /// the last call.
    pub fn notice_pause(&mut self, view: &View) -> bool {
        let paused = self.resumed != Some(view.resumed);
        self.resumed = Some(view.resumed);
        paused
    }

    /// Notes the members. Returns those that became visible.
    pub fn notice_members(&mut self, view: &View, now: Time) -> Gained {
        self.suspects = view.members.iter().any(|m| m.state == MemberState::Suspect);
        let mut gained = Gained::default();
        let mut visible = Vec::with_capacity(self.visible.len());
        for member in view.alive() {
            let known = self.visible.iter().find(|v| is_run(v, member));
            let since = known.map_or_else(|| self.visible_since(now), |v| v.since);
            if known.is_none() && member.vm.id != view.me.id {
                self.note_gained(member, &mut gained);
            }
            visible.push(Visible {
                id: member.vm.id.clone(),
                incarnation: member.vm.incarnation,
                since,
            });
        }
        self.visible = visible;
        self.agreed = self.views_agree(view);
        self.note_reliable(view, now);
        gained
    }

    /// Returns since when a VM counts as visible that is seen first at `now`.
    /// The VMs that this one finds at its start have been there before.
    fn visible_since(&self, now: Time) -> Option<Time> {
        (self.since_pause(now) >= PROBATION).then_some(now)
    }

    fn note_gained(&mut self, member: &Member, gained: &mut Gained) {
        let id = member.vm.id.clone();
        let run = member.vm.incarnation;
        if self.runs.insert(id.clone(), run) == Some(run) {
            gained.regained.push(id);
        } else {
            gained.joined.push(id);
        }
    }

    fn note_reliable(&mut self, view: &View, now: Time) {
        let own_reliable = self.since_pause(now) >= OWN_PROBATION;
        let is_newcomer = |v: &&Visible| v.since.is_some_and(|t| now.since(t) < PROBATION);
        let is_reliable = |v: &&Visible| {
            if v.id == view.me.id {
                own_reliable
            } else {
                !is_newcomer(v)
            }
        };
        let others = |v: &&Visible| v.id != view.me.id;
        self.has_newcomers = self.visible.iter().filter(others).any(|v| is_newcomer(&v));
        let reliable = self.visible.iter().filter(is_reliable).map(|v| &v.id);
        if reliable.clone().eq(self.reliable.iter()) {
            return;
        }
        self.reliable = reliable.cloned().collect();
        self.version += 1;
        self.changed_at = now;
    }

    /// Tells whether `member` is asked about flows.
    pub fn is_reliable(&self, member: &Member) -> bool {
        self.reliable.binary_search(&member.vm.id).is_ok()
    }

    /// Tells whether all VMs can be expected to rely on the same ones.
    pub fn is_settled(&self, now: Time) -> bool {
        !self.suspects
            && self.agreed
            && !self.has_newcomers
            && now.since(self.changed_at) >= SETTLE_TIME
            && self.since_pause(now) >= SETTLE_TIME
    }

    /// Notes which VMs are alive in the view of `from`.
    pub fn note_reach(&mut self, from: &VmId, reach: Vec<VmTag>) {
        self.reaches.insert(from.clone(), reach);
    }

    /// Returns the tags of the VMs that are alive, this one included.
    pub fn reach(&self, me: &VmId) -> Vec<VmTag> {
        let mut reach: Vec<VmTag> = self.visible.iter().map(|v| tag(&v.id)).collect();
        if !self.visible.iter().any(|v| v.id == *me) {
            reach.push(tag(me));
        }
        reach.sort_unstable();
        reach
    }

    /// Tells whether all VMs that are alive see the same ones alive.
    fn views_agree(&self, view: &View) -> bool {
        let mine = self.reach(&view.me.id);
        let mut others = self.visible.iter().filter(|v| v.id != view.me.id);
        others.all(|v| self.reaches.get(&v.id) == Some(&mine))
    }

    /// Tells whether another VM is visible that is not asked yet.
    pub fn has_newcomers(&self) -> bool {
        self.has_newcomers
    }

    /// Returns the time since the last pause.
    pub fn since_pause(&self, now: Time) -> Millis {
        now.since(self.resumed.unwrap_or(now))
    }

    /// Returns the number of changes that were noted.
    pub fn version(&self) -> u64 {
        self.version
    }
}

fn is_run(visible: &Visible, member: &Member) -> bool {
    visible.id == member.vm.id && visible.incarnation == member.vm.incarnation
}
