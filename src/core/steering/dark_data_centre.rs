//! Detection of a data centre whose backend servers all go dark.
//!
//! Covers a loss of power: a VM sees a request to each of some fifty backend servers
//! every few seconds only, so it would find them dead one by one while their open flows
//! take further requests. The first clients that wait for several of them have all others
//! probed, and several failures together make a failed probe enough. A VM whose own link
//! is down or full would see the same, so another backend server must have accepted a
//! probe meanwhile.

use rand::seq::IteratorRandom;

use super::{
    Steering,
    directory_entry::Entry,
    failure_detector::HealthState,
    reachability::Access,
    tag::Tag, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::Time, //
};

/// Dead backend servers in one data centre that make all others there suspect.
const MIN_DEAD_TOGETHER: usize = 2;

/// The same for backend servers that leave a client waiting and fail a probe, while
/// others accept theirs.
const MIN_LIKELY_DEAD_TOGETHER: usize = 3;

/// Backend servers of one data centre that leave clients waiting, from which all others
/// there are probed.
const MIN_SILENT_TOGETHER: usize = 2;

impl Steering {
    /// Several dead backend servers in one data centre may mean that it lost
    /// power or is partitioned.
    pub(super) fn check_data_centre(&mut self, tag: Tag, now: Time) {
        let Some(entry) = self.directory.entry(tag) else {
            return;
        };
        let data_centre = entry.server.data_centre.clone();
        let backends = self.backends_in(&data_centre);
        let is_dead = |tag: &&Tag| self.detector.health(**tag) == HealthState::Dead;
        let is_likely_dead = |tag: &&Tag| self.detector.is_likely_dead(**tag, now);
        let dead = backends.iter().filter(is_dead).count();
        let likely_dead = backends.iter().filter(is_likely_dead).count();
        let fail_together =
            likely_dead >= MIN_LIKELY_DEAD_TOGETHER && self.detector.is_link_working(now);
        if dead >= MIN_DEAD_TOGETHER || fail_together {
            self.suspect_data_centre(&data_centre, now);
        }
    }

    /// Schedules probes of a data centre's backend servers before clients reach
    /// them.
    pub(super) fn suspect_data_centre(&mut self, data_centre: &DataCentreId, now: Time) {
        let mut dead = Vec::new();
        for tag in self.backends_in(data_centre) {
            if self.detector.health(tag) != HealthState::Dead
                && self.detector.suspect_data_centre(tag, now)
            {
                dead.push(tag);
            }
        }
        for tag in dead {
            self.declare_dead(tag, now);
        }
    }

    /// Probes the other backend servers of a data centre once clients wait for several
    /// of them, and one elsewhere, which shows whether the link of this VM works.
    pub(super) fn watch_data_centre(&mut self, tag: Tag, now: Time) {
        let Some(entry) = self.directory.entry(tag) else {
            return;
        };
        let data_centre = entry.server.data_centre.clone();
        let backends = self.backends_in(&data_centre);
        let silent = backends
            .iter()
            .filter(|t| self.detector.has_silent_flow(**t));
        if silent.count() < MIN_SILENT_TOGETHER {
            return;
        }
        for tag in backends {
            self.detector.watch(tag, now);
        }
        if !self.detector.is_link_working(now) {
            self.probe_elsewhere(&data_centre, now);
        }
    }

    fn probe_elsewhere(&mut self, data_centre: &DataCentreId, now: Time) {
        let is_elsewhere = |(tag, entry): &(Tag, &Entry)| {
            entry.server.data_centre != *data_centre
                && matches!(self.access(*tag, entry, now), Access::Open(_))
        };
        let elsewhere = self.directory.iter().filter(is_elsewhere);
        let mut tags: Vec<Tag> = elsewhere.map(|(tag, _)| tag).collect();
        tags.sort_unstable();
        if let Some(tag) = tags.into_iter().choose(&mut self.rng) {
            self.probe_path(tag);
        }
    }
}
