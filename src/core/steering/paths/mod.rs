//! Which data centres can be reached from this one.
//!
//! Handles the loss of the path to a whole data centre: it has no power, or the
//! network between it and this data centre is cut, in one direction or both. The
//! evidence is handshakes with several of its backend servers that are late at
//! several VMs. Designed for fleets that are too large for a full mesh, where a
//! VM alone opens too few flows to another data centre to tell a lost path from
//! one slow backend server.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

mod evaluation;
mod exchange;
mod late_handshakes;
mod path;

use self::path::{
    Change,
    Path, //
};
use super::tag::Tag;
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Backend servers with late handshakes that show that a path is lost.
pub const MIN_LATE_BACKENDS: usize = 3;

/// Lost paths that show that this data centre is cut off. With a single one, either
/// side of it may have failed.
const MIN_LOST_PATHS: usize = 2;

/// How long a late handshake counts after its packet was sent.
const EVIDENCE_TIME: Millis = Millis(1_000);

/// How long a hub's verdict is valid without renewal.
const VERDICT_TIME: Millis = Millis(1_500);

/// Minimum interval between two sums out of turn, which bounds the traffic of a hub.
const NEWS_INTERVAL: Millis = Millis(250);

/// Interval between two trials of a lost path: probes, and flows that no other
/// backend server can take.
const TRIAL_INTERVAL: Millis = Millis(1_000);

/// How long a sign that VMs are heard elsewhere is valid.
const HEARD_TIME: Millis = Millis(1_000);

/// Weight of a new handshake in the mean of a data centre.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Handshakes of a VM with the backend servers of one data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    /// Data centre of the backend servers.
    pub data_centre: DataCentreId,
    /// Time since the path last worked; `None` if that was not seen in the last
    /// second.
    pub opened: Option<Millis>,
    /// Backend servers with handshakes that are late, and the time since the last
    /// such packet was sent. Only packets that were sent after the path last worked.
    ///
    /// Invariant: at most [`MIN_LATE_BACKENDS`], without duplicates.
    pub late: SmallVec<[(Tag, Millis); MIN_LATE_BACKENDS]>,
}

/// Evidence for the loss of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathEvidence {
    /// Handshakes are late, but VMs of the data centre are heard.
    LateHandshakes,
    /// No VM of the data centre is heard, here or elsewhere: it may have no power.
    NotHeard,
    /// Another data centre hears VMs of the data centre: the network is partitioned.
    HeardElsewhere,
    /// A hub reports the loss.
    Reported,
}

/// Paths from this data centre to all data centres.
#[derive(Debug)]
pub struct Paths {
    /// Data centre of this VM.
    local: DataCentreId,
    /// Includes the local data centre, for its handshake time.
    paths: BTreeMap<DataCentreId, Path>,
    /// Earliest time of the next heartbeats out of turn.
    next_notification: Time,
    /// Whether this VM is the hub that sends the load sums, which makes the verdicts
    /// for all VMs of its data centre.
    is_sender: bool,
    /// Whether a path became lost to all VMs since the last call of
    /// [`Paths::take_news`].
    has_news: bool,
    /// Earliest time of the next sums out of turn.
    next_news: Time,
}

impl Paths {
    /// Creates the paths from `local`.
    pub fn open(local: DataCentreId) -> Paths {
        Paths {
            local,
            paths: BTreeMap::new(),
            next_notification: Time::default(),
            is_sender: false,
            has_news: false,
            next_news: Time::default(),
        }
    }

    /// Records that a flow opened after `elapsed`, if known. `usual_limit` is the
    /// time after which a handshake with any backend server is late.
    pub fn record_opened(
        &mut self,
        data_centre: &DataCentreId,
        elapsed: Option<Millis>,
        usual_limit: Millis,
        now: Time,
    ) {
        let path = self.path_mut(data_centre);
        // The packet that opens a flow proves only that the path worked a round trip
        // earlier.
        let limit = path.late_after(usual_limit);
        let round_trip = match elapsed {
            // The flow may have opened before the loss, and its packets have passed other
            // VMs since.
            Some(elapsed) if path.is_lost(now) => elapsed,
            None if path.is_lost(now) => return,
            Some(elapsed) => elapsed.min(limit),
            None => limit,
        };
        path.record_working(now - round_trip);
        let Some(elapsed) = elapsed.map(|t| t.0 as f64) else {
            return;
        };
        let mean_ms = path.mean_ms.get_or_insert(elapsed);
        *mean_ms += SMOOTHING_FACTOR * (elapsed - *mean_ms);
    }

    /// Records that a backend server accepted a probe.
    pub fn record_accepted_probe(&mut self, data_centre: &DataCentreId, now: Time) {
        self.path_mut(data_centre).record_working(now);
    }

    /// Returns whether new flows should not use the path to a data centre.
    pub fn is_lost(&self, data_centre: &DataCentreId, now: Time) -> bool {
        let path = self.paths.get(data_centre);
        path.is_some_and(|path| path.is_lost(now))
    }

    /// Returns whether new flows should avoid any path.
    pub fn has_lost(&self, now: Time) -> bool {
        self.paths.values().any(|path| path.is_lost(now))
    }

    /// Returns whether the paths to all other data centres, at least
    /// `MIN_LOST_PATHS`, are lost. This data centre is then more likely cut off than
    /// all others without power, so silence beyond the paths shows nothing about the
    /// backend servers there.
    pub fn is_cut_off(&self, now: Time) -> bool {
        let remote = self.paths.iter().filter(|(d, _)| **d != self.local);
        let (lost, working): (Vec<&Path>, Vec<&Path>) =
            remote.map(|(_, path)| path).partition(|p| p.is_lost(now));
        lost.len() >= MIN_LOST_PATHS && working.is_empty()
    }

    /// Returns whether this VM has seen the path to a data centre working.
    pub fn has_worked(&self, data_centre: &DataCentreId) -> bool {
        let path = self.paths.get(data_centre);
        path.is_some_and(|path| path.worked_at.is_some())
    }

    /// Returns the paths that are lost to all VMs of this data centre, by the verdict
    /// of this VM or of the hub that sent the last one.
    pub fn lost_to_all(&self, now: Time) -> Vec<DataCentreId> {
        let is_lost = |path: &Path| path.lost_to_all.is_some() || path.is_reported_lost(now);
        let lost = self.paths.iter().filter(|(_, path)| is_lost(path));
        lost.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Returns whether a path became lost to all VMs since the last call, so that it
    /// must be sent at once.
    fn take_news(&mut self, now: Time) -> bool {
        if !self.has_news || now < self.next_news {
            return false;
        }
        self.next_news = now + NEWS_INTERVAL;
        std::mem::take(&mut self.has_news)
    }

    /// Records the lost paths that a hub of this data centre reports. Two hubs that both
    /// send verdicts ignore each other's verdicts, which would renew them for ever.
    pub fn record_verdicts(&mut self, lost: &[DataCentreId], now: Time) {
        if self.is_sender {
            return;
        }
        for data_centre in lost {
            if *data_centre == self.local {
                continue;
            }
            let path = self.path_mut(data_centre);
            let since = path.reported.map_or(now, |(since, _)| since);
            path.reported = Some((since, now + VERDICT_TIME));
        }
        for (data_centre, path) in &mut self.paths {
            if !lost.contains(data_centre) && path.reported.take().is_some() {
                // Another VM has shown that the path works. This VM has not, so it does
                // not report so.
                path.cleared_at = now;
                path.lost_here = None;
            }
        }
    }

    /// Takes the permission to send a flow along a lost path, which shows whether it
    /// works again.
    pub fn take_trial(&mut self, data_centre: &DataCentreId, now: Time) -> bool {
        let path = self.path_mut(data_centre);
        let is_due = path.needs_trial(now) && now >= path.next_trial;
        if is_due {
            path.next_trial = now + TRIAL_INTERVAL;
        }
        is_due
    }

    /// Takes the data centres that a probe should try now.
    fn take_probes(&mut self, now: Time) -> Vec<DataCentreId> {
        let mut due = Vec::new();
        for (data_centre, path) in &mut self.paths {
            if path.needs_trial(now) && now >= path.next_probe {
                path.next_probe = now + TRIAL_INTERVAL;
                due.push(data_centre.clone());
            }
        }
        due
    }

    /// Returns the evidence of this VM, for the hubs.
    pub fn report(&self, now: Time) -> Vec<PathReport> {
        let remote = self.paths.iter().filter(|(d, _)| **d != self.local);
        let report = |(data_centre, path): (&DataCentreId, &Path)| {
            let opened = path.worked_at.map(|at| now.since(at));
            PathReport {
                data_centre: data_centre.clone(),
                opened: opened.filter(|age| *age < EVIDENCE_TIME),
                late: path.late.ages(now),
            }
        };
        remote
            .map(report)
            .filter(|r| r.opened.is_some() || !r.late.is_empty())
            .collect()
    }

    /// Takes the changes to log since the last call.
    fn take_changes(&mut self, now: Time) -> Vec<(DataCentreId, Change)> {
        let is_sender = self.is_sender;
        let change = |(data_centre, path): (&DataCentreId, &mut Path)| {
            let change = path.take_change(is_sender, now)?;
            Some((data_centre.clone(), change))
        };
        self.paths.iter_mut().filter_map(change).collect()
    }

    /// Records that the data centre `by` hears VMs of another one.
    pub fn record_heard(&mut self, data_centre: &DataCentreId, by: &DataCentreId, now: Time) {
        if *by == self.local || by == data_centre {
            return;
        }
        if let Some(path) = self.paths.get_mut(data_centre) {
            path.heard_elsewhere = Some(now);
        }
    }

    /// Returns whether another data centre hears VMs of the data centre.
    fn is_heard_elsewhere(&self, data_centre: &DataCentreId, now: Time) -> bool {
        let path = self.paths.get(data_centre);
        let heard = path.and_then(|path| path.heard_elsewhere);
        heard.is_some_and(|at| now.since(at) < HEARD_TIME)
    }

    /// Returns whether a hub reports that a path is lost.
    fn is_reported(&self, data_centre: &DataCentreId, now: Time) -> bool {
        let path = self.paths.get(data_centre);
        path.is_some_and(|path| path.is_reported_lost(now))
    }

    /// Forgets all verdicts.
    fn clear(&mut self) {
        self.is_sender = false;
        self.paths.values_mut().for_each(|path| {
            (path.lost_here, path.lost_to_all, path.reported) = Default::default()
        });
    }

    fn path_mut(&mut self, data_centre: &DataCentreId) -> &mut Path {
        self.paths.entry(data_centre.clone()).or_default()
    }
}
