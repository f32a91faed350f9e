//! What this VM can reach: one verdict on all backend servers.
//!
//! Readiness, refusals and heartbeats read the verdict instead of judging on their own,
//! so that they agree when faults meet: the backend servers of a data centre lose power
//! while it is cut off from the others, and its VMs restart. Designed for data centres
//! with tens of VMs, whose clients all return as soon as one of them is ready.

use super::{
    Steering,
    directory::Fitness,
    directory_entry::Entry,
    failure_detector::HealthState,
    tag::Tag, //
};
use crate::kernel::clock::Time;

/// Part of the slots in the own data centre that must be usable before its clients
/// return.
const RETURN_PART: f64 = 0.5;

/// What new flows of this VM's clients can get.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// No backend server exists. Other VMs could not place flows either.
    #[default]
    NoBackends,
    /// None can be reached: all are dead, draining, evacuated or behind lost paths.
    Nobody,
    /// Some may be reached, but this VM has not seen any of their data centres work.
    Untried,
    /// Fewer than the clients may need, while other data centres may have more.
    Part,
    /// Enough, or all that there are.
    Enough,
}

/// How a backend server can be used for new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// It may get flows, as far as its fitness allows.
    Open(Fitness),
    /// The path to its data centre is lost. Whether it lives is not known.
    BehindLostPath,
    /// It drains, is dead, evacuated or gone, or nothing confirms that it has returned.
    Closed,
}

/// Counts of the backend servers by their use for new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Survey {
    /// Whether any backend server may hold flows.
    pub has_backends: bool,
    /// Backend servers that may get flows.
    pub open: usize,
    /// Whether a flow or a probe has shown that the data centre of one of them works.
    pub is_proven: bool,
    /// Slots of those that may get flows without limit, in all data centres.
    pub ready_slots: u32,
    /// Slots in the own data centre, but for evacuated and draining backend servers.
    pub local_slots: u32,
    /// Backend servers behind lost paths.
    pub behind_lost_paths: usize,
    /// Of these, the ones whose data centre serves its own clients, as far as known.
    pub served_elsewhere: usize,
}

impl Survey {
    /// Returns the verdict.
    pub fn reach(&self) -> Reach {
        if !self.has_backends {
            return Reach::NoBackends;
        }
        if self.open == 0 {
            return Reach::Nobody;
        }
        if !self.is_proven {
            return Reach::Untried;
        }
        let needed_slots = RETURN_PART * f64::from(self.local_slots);
        if self.served_elsewhere > 0 && f64::from(self.ready_slots) < needed_slots {
            return Reach::Part;
        }
        Reach::Enough
    }

    /// Returns whether VMs of other data centres may serve clients that this VM cannot.
    pub fn others_may_serve(&self) -> bool {
        self.served_elsewhere > 0 || self.behind_lost_paths == 0
    }
}

/// The verdict, as of the last update.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reachability {
    pub(super) reach: Reach,
    /// Whether VMs of other data centres may serve clients that this VM cannot.
    pub(super) others_may_serve: bool,
}

impl Reachability {
    /// Returns the verdict for other VMs: whether this VM, which is ready or not,
    /// reaches enough backend servers for its clients. `None` if it has not tried.
    pub(super) fn report(&self, is_ready: bool) -> Option<bool> {
        match self.reach {
            Reach::NoBackends | Reach::Untried => None,
            Reach::Nobody => Some(false),
            Reach::Part => Some(is_ready),
            Reach::Enough => Some(true),
        }
    }
}

impl Steering {
    /// Updates the verdict.
    pub(super) fn update_reachability(&mut self, now: Time) {
        let survey = self.survey(now);
        self.reachability = Reachability {
            reach: survey.reach(),
            others_may_serve: survey.others_may_serve(),
        };
    }

    /// Returns how a backend server can be used for new flows.
    pub(super) fn access(&self, tag: Tag, entry: &Entry, now: Time) -> Access {
        let fitness = self.directory.fitness(entry, now);
        if fitness == Fitness::Unfit {
            return Access::Closed;
        }
        if self.paths.is_lost(&entry.server.data_centre, now) {
            return Access::BehindLostPath;
        }
        let is_dead = self.detector.health(tag) >= HealthState::Unreachable;
        match is_dead || self.detector.is_unconfirmed(tag) {
            true => Access::Closed,
            false => Access::Open(fitness),
        }
    }

    /// Returns the number of backend servers that may get new flows.
    pub(super) fn open_backends(&self, now: Time) -> usize {
        let entries = self.directory.iter();
        let accesses = entries.map(|(tag, entry)| self.access(tag, entry, now));
        accesses.filter(|a| matches!(a, Access::Open(_))).count()
    }

    /// Counts the backend servers. Ends early while no path is lost: a single one whose
    /// data centre works decides then.
    fn survey(&self, now: Time) -> Survey {
        let has_lost_path = self.paths.has_lost(now);
        let mut survey = Survey::default();
        for (tag, entry) in self.directory.iter() {
            self.count(tag, entry, &mut survey, now);
            if survey.is_proven && !has_lost_path {
                break;
            }
        }
        survey
    }

    fn count(&self, tag: Tag, entry: &Entry, survey: &mut Survey, now: Time) {
        if !entry.may_hold_flows() {
            return;
        }
        survey.has_backends = true;
        let slots = entry.server.slots;
        let data_centre = &entry.server.data_centre;
        if *data_centre == self.me.data_centre
            && self.directory.fitness(entry, now) < Fitness::Unfit
        {
            survey.local_slots = survey.local_slots.saturating_add(slots);
        }
        match self.access(tag, entry, now) {
            Access::Open(fitness) => {
                survey.open += 1;
                survey.is_proven |= self.paths.has_worked(data_centre);
                if fitness == Fitness::Ready {
                    survey.ready_slots = survey.ready_slots.saturating_add(slots);
                }
            }
            Access::BehindLostPath => {
                survey.behind_lost_paths += 1;
                let is_served = !self.takeovers.is_active(data_centre);
                survey.served_elsewhere += usize::from(is_served);
            }
            Access::Closed => {}
        }
    }
}
