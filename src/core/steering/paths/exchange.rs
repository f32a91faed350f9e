//! Collection of the evidence on paths, exchange with other VMs, and effects.

use rand::seq::IteratorRandom;

use super::{
    super::{
        Action,
        Steering,
        decision::Decision,
        failure_detector::HealthState,
        members::Member,
        tag::Tag, //
    },
    Change,
    PathEvidence,
    PathReport,
    Paths, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

impl Steering {
    /// Evaluates the paths to other data centres.
    pub(in super::super) fn update_paths(&mut self, now: Time) {
        if self.peers.is_full_mesh() {
            self.paths.clear();
            return;
        }
        self.record_late_handshakes(now);
        self.paths.evaluate();
        if self.paths.take_notification(now) {
            self.peers.send_soon(now);
        }
        self.update_shared_verdicts(now);
        self.probe_lost_paths(now);
        self.record_path_changes(now);
    }

    /// Records that a flow opened at a backend server.
    pub(in super::super) fn record_path_opened(
        &mut self,
        tag: Tag,
        elapsed: Option<Millis>,
        now: Time,
    ) {
        let limit = self.handshakes.late_after();
        if let Some(entry) = self.directory.entry(tag) {
            let data_centre = &entry.server.data_centre;
            self.paths.record_opened(data_centre, elapsed, limit, now);
        }
    }

    /// Records that a backend server accepted a probe.
    pub(in super::super) fn record_path_probe(&mut self, tag: Tag, now: Time) {
        if let Some(entry) = self.directory.entry(tag) {
            let data_centre = &entry.server.data_centre;
            self.paths.record_accepted_probe(data_centre, now);
        }
    }

    /// Returns whether the path to a backend server is lost.
    pub(in super::super) fn is_path_lost(&self, tag: Tag, now: Time) -> bool {
        let entry = self.directory.entry(tag);
        entry.is_some_and(|e| self.paths.is_lost(&e.server.data_centre, now))
    }

    /// Returns whether a backend server is in another data centre while this one is
    /// cut off. Its silence shows nothing: other VMs may still reach it.
    pub(in super::super) fn is_behind_cut(&self, tag: Tag, now: Time) -> bool {
        let entry = self.directory.entry(tag);
        let is_remote = entry.is_some_and(|e| e.server.data_centre != self.me.data_centre);
        is_remote && self.paths.is_cut_off(now)
    }

    /// Returns whether a new flow must not be sent to a backend server because its
    /// path is lost and no trial is due. Lost paths are chosen only if nothing else
    /// is left.
    pub(in super::super) fn is_behind_lost_path(&mut self, tag: Tag, now: Time) -> bool {
        let Some(entry) = self.directory.entry(tag) else {
            return false;
        };
        let data_centre = &entry.server.data_centre;
        self.paths.is_lost(data_centre, now) && !self.paths.take_trial(data_centre, now)
    }

    /// Returns the paths from this data centre.
    pub fn paths(&self) -> &Paths {
        &self.paths
    }

    fn record_late_handshakes(&mut self, now: Time) {
        self.paths.clear_late();
        let limit = self.handshakes.late_after();
        for (tag, sent_at) in self.handshakes.unopened() {
            let Some(entry) = self.directory.entry(tag) else {
                continue;
            };
            let data_centre = &entry.server.data_centre;
            self.paths
                .record_unopened(data_centre, tag, sent_at, limit, now);
        }
    }

    /// Updates the verdicts for all VMs of this data centre, if this VM is the hub
    /// that sends them.
    fn update_shared_verdicts(&mut self, now: Time) {
        if !self.sends_loads(now) {
            self.paths.leave_verdicts_to_others(now);
            return;
        }
        let own = self.paths.report(now);
        let local = self.peers.live_local(now);
        let mut reports: Vec<(Time, &[PathReport])> = local
            .filter(|m| !m.heartbeat.paths.is_empty())
            .map(|m| (m.heard, &m.heartbeat.paths[..]))
            .collect();
        reports.push((now, &own));
        let peers = &self.peers;
        let is_heard = |data_centre: &DataCentreId| {
            let is_there = |m: &Member| m.heartbeat.data_centre == *data_centre;
            peers.live(now).any(is_there) || !peers.data_centres().contains(data_centre)
        };
        self.paths.on_reports(&reports, is_heard, now);
        if self.paths.take_news(now) {
            self.send_loads(now);
        }
    }

    /// Probes a backend server behind each lost path.
    fn probe_lost_paths(&mut self, now: Time) {
        for data_centre in self.paths.take_probes(now) {
            let mut tags = self.backends_in(&data_centre);
            tags.sort_unstable();
            if let Some(tag) = tags.into_iter().choose(&mut self.rng) {
                self.probe_path(tag);
            }
        }
    }

    /// Probes the backend servers behind a path that works again, if they were found
    /// unreachable. Otherwise reports and probes from before would keep them unused
    /// for three seconds.
    fn recheck_backends(&mut self, data_centre: &DataCentreId) {
        for tag in self.backends_in(data_centre) {
            if self.detector.health(tag) >= HealthState::Unreachable {
                self.detector.drop_reports(tag);
                self.probe_path(tag);
            }
        }
    }

    /// Probes a backend server at once.
    pub(in super::super) fn probe_path(&mut self, tag: Tag) {
        if let Some(entry) = self.directory.entry(tag) {
            let address = entry.server.address;
            self.actions.push(Action::Probe { tag, address });
        }
    }

    fn record_path_changes(&mut self, now: Time) {
        for (data_centre, change) in self.paths.take_changes(now) {
            if matches!(change, Change::Restored { .. }) {
                self.recheck_backends(&data_centre);
            }
            let evidence = self.path_evidence(&data_centre, now);
            let decision = match change {
                Change::Confirmed if evidence == PathEvidence::LateHandshakes => continue,
                Change::Lost | Change::Confirmed => Decision::PathLost {
                    data_centre,
                    evidence,
                },
                Change::Restored { lost_for } => Decision::PathRestored {
                    data_centre,
                    lost_for,
                },
            };
            self.decisions.push(decision);
        }
    }

    fn path_evidence(&self, data_centre: &DataCentreId, now: Time) -> PathEvidence {
        if self.paths.is_reported(data_centre, now) {
            return PathEvidence::Reported;
        }
        let mut live = self.peers.live(now);
        let is_there = |m: &Member| m.heartbeat.data_centre == *data_centre;
        // Only hubs hear VMs of other data centres.
        if !self.peers.is_hub() || live.any(is_there) {
            return PathEvidence::LateHandshakes;
        }
        match self.paths.is_heard_elsewhere(data_centre, now) {
            true => PathEvidence::HeardElsewhere,
            false => PathEvidence::NotHeard,
        }
    }
}
