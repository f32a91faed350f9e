//! Readiness for new flows, as reported to the routers.

use super::{
    Steering,
    decision::Decision,
    directory::Fitness,
    failure_detector::HealthState,
    tag::Tag, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a VM must be unable to place flows before it reports not ready.
const UNREADY_AFTER: Millis = Millis(300);

/// Time within which a VM of the same data centre answers the first heartbeat.
const PEER_ANSWER_TIME: Millis = Millis(75);

/// Time that the routers may take to notice that a VM is not ready.
pub const ROUTER_NOTICE_TIME: Millis = Millis(1_500);

/// Readiness for new flows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Readiness {
    /// Whether routers may send new flows here.
    pub(super) is_ready: bool,
    /// Since when no flow can be placed.
    failing_since: Option<Time>,
}

impl Readiness {
    /// Returns whether the routers may be about to send clients to other VMs.
    pub(super) fn awaits_router_notice(&self, now: Time) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) < UNREADY_AFTER + ROUTER_NOTICE_TIME)
    }

    /// Updates the readiness with whether this VM can serve new flows now.
    /// Returns whether the readiness changed.
    pub(super) fn update(&mut self, can_serve: bool, now: Time) -> bool {
        if can_serve {
            self.failing_since = None;
        } else {
            self.failing_since.get_or_insert(now);
        }
        let was_ready = self.is_ready;
        self.is_ready = match self.failing_since {
            None => true,
            Some(since) => was_ready && now.since(since) < UNREADY_AFTER,
        };
        was_ready != self.is_ready
    }
}

impl Steering {
    /// Reports this VM as not ready when it cannot place any flow, so that the
    /// routers send its clients to other VMs.
    pub(super) fn update_readiness(&mut self, now: Time) {
        let has_available = self.available_backends(now).next().is_some();
        let has_no_alternative = self.has_no_backend() || self.is_without_alternative(now);
        let has_path = has_available && !self.awaits_path_verdict(now);
        let can_serve = self.is_synced() && (has_path || has_no_alternative);
        if self.readiness.update(can_serve, now) {
            let is_ready = self.readiness.is_ready;
            let backends = self.available_backends(now).count();
            self.decisions
                .push(Decision::Readiness { is_ready, backends });
        }
    }

    /// Returns whether this VM, which has just started, depends on paths to other data
    /// centres that it has not seen working, and the VMs of its data centre have found
    /// lost or were not heard yet. One that is ready too early brings all clients of
    /// the data centre back to VMs that cannot serve them: the routers use all VMs of
    /// a data centre as soon as one is ready.
    ///
    /// The peers report only what they have tried themselves, so VMs that have all just
    /// started do not wait for each other.
    fn awaits_path_verdict(&self, now: Time) -> bool {
        if self.has_working_path(now) {
            return false;
        }
        let local = self.peers.live_local(now);
        let verdicts = local.filter_map(|m| m.heartbeat.reaches_backends);
        let (working, lost): (Vec<bool>, Vec<bool>) = verdicts.partition(|reaches| *reaches);
        if lost.is_empty() && working.is_empty() {
            return now.since(self.started_at) < PEER_ANSWER_TIME;
        }
        lost.len() > working.len()
    }

    /// Returns whether this VM can reach backend servers that may get new flows, as far
    /// as it has tried.
    pub(super) fn reaches_backends(&self, now: Time) -> Option<bool> {
        match self.has_working_path(now) {
            true => Some(true),
            false => self.has_lost_all_paths(now).then_some(false),
        }
    }

    /// Returns whether an available backend server is in this data centre, or in one to
    /// which this VM has seen the path working.
    fn has_working_path(&self, now: Time) -> bool {
        let available = self.available_backends(now);
        let mut entries = available.filter_map(|tag| self.directory.entry(tag));
        entries.any(|e| {
            let data_centre = &e.server.data_centre;
            *data_centre == self.me.data_centre || self.paths.has_worked(data_centre)
        })
    }

    /// Returns the backend servers that may get new flows.
    pub(super) fn available_backends(&self, now: Time) -> impl Iterator<Item = Tag> {
        self.directory
            .iter()
            .filter(move |(_, e)| self.directory.fitness(e, now) < Fitness::Unfit)
            .filter(move |(_, e)| !self.paths.is_lost(&e.server.data_centre, now))
            .map(|(tag, _)| tag)
            .filter(|tag| self.detector.health(*tag) < HealthState::Unreachable)
            .filter(|tag| !self.detector.is_unconfirmed(*tag))
    }

    /// Returns whether no backend server exists at all. Other VMs could not
    /// place flows either, so this VM stays ready.
    pub(super) fn has_no_backend(&self) -> bool {
        self.directory.iter().all(|(_, e)| !e.may_hold_flows())
    }
}
