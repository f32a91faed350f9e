//! Verdicts on paths from the evidence of one VM or of all VMs of a data centre.

use super::{
    super::tag::Tag,
    EVIDENCE_TIME,
    MIN_LATE_BACKENDS,
    Path,
    PathReport,
    Paths,
    VERDICT_TIME,
    late_handshakes::LateHandshakes, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// VMs with late handshakes that make a path lost to all VMs. A path that only one
/// VM finds lost is lost to that VM.
const MIN_REPORTING_VMS: usize = 2;

/// Minimum age of a handshake that counts in the sum. A VM that has reported a late
/// one reports its completion at the earliest 100 ms later.
const MIN_SHARED_AGE: Millis = Millis(125);

/// Minimum interval between two heartbeats out of turn.
const NOTIFICATION_INTERVAL: Millis = Millis(100);

/// Sum of the reports of all VMs of a data centre on one path.
#[derive(Debug, Default)]
struct Sum {
    worked_at: Option<Time>,
    /// Late handshakes, with the number of the reporting VM.
    late: Vec<(Tag, Time, usize)>,
}

impl Sum {
    fn of(data_centre: &DataCentreId, reports: &[(Time, &[PathReport])]) -> Sum {
        let mut sum = Sum::default();
        for (vm, (at, reports)) in reports.iter().enumerate() {
            for report in reports.iter().filter(|r| r.data_centre == *data_centre) {
                let opened_at = report.opened.map(|age| *at - age);
                sum.worked_at = sum.worked_at.max(opened_at);
                let late = report.late.iter().map(|(tag, age)| (*tag, *at - *age, vm));
                sum.late.extend(late);
            }
        }
        sum
    }

    /// Keeps the handshakes that count: late ones of the last second, sent after the
    /// path last worked, whose completion would be known by now.
    fn retain_valid(&mut self, worked_at: Option<Time>, now: Time) {
        let worked_at = self.worked_at.max(worked_at);
        let counts = MIN_SHARED_AGE..EVIDENCE_TIME;
        self.late.retain(|(_, sent_at, _)| {
            counts.contains(&now.since(*sent_at)) && Some(*sent_at) > worked_at
        });
    }

    /// Returns when the first late packet was sent if the path is lost. `is_heard`
    /// tells whether VMs of the data centre are heard.
    fn lost_since(&self, is_heard: bool) -> Option<Time> {
        let first_sent = self.late.iter().map(|(_, at, _)| *at).min()?;
        let is_lost = !is_heard || self.has_enough_evidence();
        is_lost.then_some(first_sent)
    }

    fn has_enough_evidence(&self) -> bool {
        let mut tags: Vec<Tag> = self.late.iter().map(|(tag, ..)| *tag).collect();
        tags.sort_unstable();
        tags.dedup();
        let mut vms: Vec<usize> = self.late.iter().map(|(.., vm)| *vm).collect();
        vms.dedup();
        tags.len() >= MIN_LATE_BACKENDS && vms.len() >= MIN_REPORTING_VMS
    }
}

impl Paths {
    /// Records a handshake that has not completed. It counts if it is late and was
    /// sent after the path last worked. `usual_limit` is the time after which a
    /// handshake with any backend server is late.
    pub(super) fn record_unopened(
        &mut self,
        data_centre: &DataCentreId,
        tag: Tag,
        sent_at: Time,
        usual_limit: Millis,
        now: Time,
    ) {
        if *data_centre == self.local {
            return;
        }
        let path = self.path_mut(data_centre);
        let is_late = (path.late_after(usual_limit)..EVIDENCE_TIME).contains(&now.since(sent_at));
        if is_late && Some(sent_at) > path.worked_at {
            path.late.add(tag, sent_at);
        }
    }

    /// Removes the late handshakes, before they are recorded anew.
    pub(super) fn clear_late(&mut self) {
        self.paths
            .values_mut()
            .for_each(|path| path.late = LateHandshakes::default());
    }

    /// Updates the verdicts of this VM alone.
    pub(super) fn evaluate(&mut self) {
        for path in self.paths.values_mut() {
            let (backends, first_sent) = path.late.count_since(path.cleared_at);
            let is_lost = backends >= MIN_LATE_BACKENDS;
            update_verdict(
                &mut path.lost_here,
                first_sent.filter(|_| is_lost),
                path.worked_at,
            );
        }
    }

    /// Updates the verdicts for all VMs of the data centre from their reports, each
    /// with the time when it arrived. `is_heard` tells whether VMs of a data centre
    /// are heard.
    pub fn on_reports(
        &mut self,
        reports: &[(Time, &[PathReport])],
        is_heard: impl Fn(&DataCentreId) -> bool,
        now: Time,
    ) {
        let all = reports.iter().flat_map(|(_, reports)| reports.iter());
        let late = all.filter(|r| !r.late.is_empty());
        for report in late.filter(|r| r.data_centre != self.local) {
            self.paths.entry(report.data_centre.clone()).or_default();
        }
        let was_sender = std::mem::replace(&mut self.is_sender, true);
        for (data_centre, path) in &mut self.paths {
            if *data_centre == self.local {
                continue;
            }
            let was_lost = path.lost_to_all.is_some();
            if !was_sender {
                path.adopt_reported(now);
            }
            let mut sum = Sum::of(data_centre, reports);
            sum.retain_valid(path.worked_at, now);
            let lost_since = sum.lost_since(sum.late.is_empty() || is_heard(data_centre));
            let worked_at = sum.worked_at.max(path.worked_at);
            update_verdict(&mut path.lost_to_all, lost_since, worked_at);
            self.has_news |= !was_lost && path.lost_to_all.is_some();
        }
    }

    /// Drops the verdicts for all VMs, which another hub makes now.
    pub(super) fn leave_verdicts_to_others(&mut self, now: Time) {
        self.is_sender = false;
        for path in self.paths.values_mut() {
            if path.lost_to_all.take().is_some() {
                path.reported = Some((now, now + VERDICT_TIME));
            }
        }
    }

    /// Returns whether to send heartbeats out of turn because handshakes with further
    /// backend servers are late, or the path works in spite of those reported.
    pub(super) fn take_notification(&mut self, now: Time) -> bool {
        let has_completed = |path: &Path| path.late.len() == 0 && path.notified > 0;
        let is_new = |path: &Path| path.late.len() > path.notified || has_completed(path);
        let has_new = self.paths.values().any(is_new);
        if has_new && now < self.next_notification {
            return false;
        }
        for path in self.paths.values_mut() {
            path.notified = path.late.len();
        }
        if has_new {
            self.next_notification = now + NOTIFICATION_INTERVAL;
        }
        has_new
    }
}

impl Path {
    /// Adopts the verdict of the hub that sent it until now.
    fn adopt_reported(&mut self, now: Time) {
        if let Some((since, until)) = self.reported.take()
            && now < until
        {
            self.lost_to_all.get_or_insert(since);
        }
    }
}

/// Updates a verdict by the evidence for it, and by when the path last worked.
fn update_verdict(verdict: &mut Option<Time>, lost_since: Option<Time>, worked_at: Option<Time>) {
    verdict.take_if(|since| worked_at >= Some(*since));
    *verdict = verdict.or(lost_since);
}
