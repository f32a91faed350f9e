//! The ramp that returns a data centre to service step by step.
//!
//! Each step is one conditional write of the record. Any VM may make it: the
//! first of the ranking when the step is due, the others after staggered
//! delays. If two VMs make the same step, both writes set the same share on the
//! same version, and the platform accepts one of them.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        configuration::{
            Configuration,
            DataCentre,
            DataCentreState, //
        },
        counter::Counter,
        cx::Cx,
        intent::{
            calls::{
                Calls,
                Purpose, //
            },
            in_force::InForce,
            platform::{
                CONFIGURATION_KEY,
                PlatformOp,
                PlatformOutcome,
                StoredObject, //
            },
            ranking::rank,
            record::Record, //
        },
        names::{
            DataCentreId,
            VmId, //
        },
        notice::Notice,
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The shares of a returning data centre, in percent. The step after the last
/// share sets its state to `In`.
pub const RAMP_SHARES: [u8; 4] = [10, 25, 50, 75];

/// How long each share stays in force.
pub const RAMP_STEP_DURATION: Millis = Millis::from_secs(10);

/// The delay that each rank adds before a VM tries a step.
const RANK_DELAY: Millis = Millis::from_secs(3);

/// The highest rank with a delay of its own.
const MAX_RANK: u64 = 5;

/// How long to wait for the platform before a step is retried.
const RETRY_DELAY: Millis = Millis::from_secs(3);

/// A step of a ramp, as shown in plans.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RampStep {
    /// The time from the confirmation to the step.
    pub after_ms: Millis,
    /// The share of the data centre's weight that counts for new work after
    /// the step, in percent.
    pub share: u8,
}

/// Returns the steps that follow a confirmed return.
pub fn ramp_steps() -> Vec<RampStep> {
    let shares = RAMP_SHARES.iter().copied().chain([100]);
    let step = |(at, share): (usize, u8)| RampStep {
        after_ms: Millis(RAMP_STEP_DURATION.0 * at as u64),
        share,
    };
    shares.enumerate().map(step).collect()
}

/// Returns `cfg` with the returning data centre `name` advanced by one step.
fn advance(cfg: &Configuration, name: &DataCentreId) -> Configuration {
    let mut next = cfg.clone();
    let dc = next.data_centres.iter_mut().find(|d| d.name == *name);
    if let Some(dc) = dc {
        match RAMP_SHARES.iter().find(|share| **share > dc.share) {
            Some(share) => dc.share = *share,
            None => {
                dc.state = DataCentreState::In;
                dc.share = 100;
            }
        }
    }
    next
}

/// The share of a returning data centre and when this VM first saw it.
#[derive(Clone, Copy, Debug)]
struct CurrentShare {
    share: u8,
    since: Time,
}

/// A step in progress.
#[derive(Clone, Debug)]
struct StepAttempt {
    data_centre: DataCentreId,
    share: u8,
    until: Time,
}

/// The state machine that drives ramps.
#[derive(Debug, Default)]
pub(super) struct Ramps {
    current_shares: BTreeMap<DataCentreId, CurrentShare>,
    attempt: Option<StepAttempt>,
    not_before: Time,
}

impl Ramps {
    /// Starts a step that is due.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, in_force: &InForce) {
        self.observe(cx.now, in_force.cfg());
        if self.current_shares.is_empty() || cx.now < self.not_before {
            return;
        }
        if self.attempt.as_ref().is_some_and(|a| cx.now < a.until) {
            return;
        }
        let delay = Millis(RANK_DELAY.0 * my_rank(cx).min(MAX_RANK));
        let due = |current: &CurrentShare| cx.now >= current.since + RAMP_STEP_DURATION + delay;
        let Some((name, current)) = self.current_shares.iter().find(|(_, current)| due(current))
        else {
            return;
        };
        self.attempt = Some(StepAttempt {
            data_centre: name.clone(),
            share: current.share,
            until: cx.now + RETRY_DELAY,
        });
        calls.send(cx, Purpose::Ramp, PlatformOp::read_configuration());
    }

    /// Handles the outcome of a call for a step.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        in_force: &InForce,
        outcome: PlatformOutcome,
    ) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        match outcome {
            PlatformOutcome::Object(object) => self.on_object(cx, calls, attempt, &object),
            PlatformOutcome::Conflict
            | PlatformOutcome::NoAnswer
            | PlatformOutcome::Absent
            | PlatformOutcome::Unchanged
            | PlatformOutcome::Refused(_) => {
                cx.count(Counter::RampRetried);
                self.not_before = cx.now + RETRY_DELAY;
            }
        }
        self.observe(cx.now, in_force.cfg());
    }

    /// Handles the record as it was read, or as it was written with the next
    /// share.
    fn on_object(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        attempt: StepAttempt,
        object: &StoredObject,
    ) {
        let Ok(decoded) = Record::from_value(&object.value) else {
            return;
        };
        let record = decoded.record;
        let dc = record.cfg.data_centre(&attempt.data_centre);
        let Some(dc) = dc.filter(|_| decoded.refused.is_empty()) else {
            return;
        };
        if dc.state != DataCentreState::Returning || dc.share != attempt.share {
            report_step(cx, &attempt, dc);
            return;
        }
        let next = record.successor(advance(&record.cfg, &attempt.data_centre));
        self.attempt = Some(StepAttempt {
            until: cx.now + RETRY_DELAY,
            ..attempt
        });
        let op = PlatformOp::Put {
            key: CONFIGURATION_KEY.to_owned(),
            version: object.version,
            value: next.to_value(),
        };
        calls.send(cx, Purpose::Ramp, op);
    }

    /// Tracks since when each returning data centre has had its share.
    fn observe(&mut self, now: Time, cfg: &Configuration) {
        let returning = |name: &DataCentreId| {
            let dc = cfg.data_centre(name)?;
            (dc.state == DataCentreState::Returning).then_some(dc.share)
        };
        self.current_shares
            .retain(|name, current| returning(name) == Some(current.share));
        for dc in &cfg.data_centres {
            if returning(&dc.name).is_none() {
                continue;
            }
            let current = CurrentShare {
                share: dc.share,
                since: now,
            };
            self.current_shares
                .entry(dc.name.clone())
                .or_insert(current);
        }
    }
}

/// Reports the step if it has taken effect.
fn report_step(cx: &mut Cx<'_>, attempt: &StepAttempt, dc: &DataCentre) {
    if dc.share > attempt.share {
        cx.count(Counter::RampAdvanced);
        let detail = format!("{} at {}%", dc.name, dc.share);
        cx.note(Notice::RampAdvanced, detail);
    }
}

/// Returns this VM's rank among the alive VMs.
fn my_rank(cx: &Cx<'_>) -> u64 {
    let alive: Vec<&VmId> = cx.view.alive().map(|m| &m.vm.id).collect();
    rank(&cx.view.me.id, &alive)
}
