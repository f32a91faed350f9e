//! The ramp by which a data centre returns.
//!
//! Each step is one conditional write of the record. Any VM may take it: the
//! first of the ranking tries when the step is due, the others later, one
//! after the other. Two VMs that take the same step write the same share on
//! the same version, and the platform accepts one of them.

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

/// The shares of a returning data centre, in percent. After the last it is in.
pub const RAMP: [u8; 4] = [10, 25, 50, 75];

/// How long each share lasts.
pub const RAMP_STEP: Millis = Millis::from_secs(10);

/// How much later each further VM of the ranking tries a step.
const RANK_DELAY: Millis = Millis::from_secs(3);

/// The last rank that is told apart.
const MAX_RANK: u64 = 5;

/// How long to wait for the platform before a step is tried again.
const RETRY_AFTER: Millis = Millis::from_secs(3);

/// A step of a ramp, as plans show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RampStep {
    /// When the step is due after confirmation.
    pub after_ms: Millis,
    /// The share of its weight that the data centre then takes, in percent.
    pub share: u8,
}

/// Returns the steps that follow a confirmed return.
pub fn steps() -> Vec<RampStep> {
    let shares = RAMP.iter().copied().chain([100]);
    let step = |(at, share): (usize, u8)| RampStep {
        after_ms: Millis(RAMP_STEP.0 * at as u64),
        share,
    };
    shares.enumerate().map(step).collect()
}

/// Returns `cfg` with the returning data centre `name` one step further.
fn advance(cfg: &Configuration, name: &DataCentreId) -> Configuration {
    let mut next = cfg.clone();
    let dc = next.data_centres.iter_mut().find(|d| d.name == *name);
    if let Some(dc) = dc {
        match RAMP.iter().find(|share| **share > dc.share) {
            Some(share) => dc.share = *share,
            None => {
                dc.state = DataCentreState::In;
                dc.share = 100;
            }
        }
    }
    next
}

/// A share that a returning data centre has.
#[derive(Clone, Copy, Debug)]
struct Level {
    share: u8,
    since: Time,
}

/// A step that is being taken.
#[derive(Clone, Debug)]
struct Attempt {
    data_centre: DataCentreId,
    share: u8,
    until: Time,
}

/// The state machine that drives ramps.
#[derive(Debug, Default)]
pub(super) struct Ramps {
    levels: BTreeMap<DataCentreId, Level>,
    attempt: Option<Attempt>,
    not_before: Time,
}

impl Ramps {
    /// Takes the steps that have become due.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, in_force: &InForce) {
        self.observe(cx.now, in_force.cfg());
        if self.levels.is_empty() || cx.now < self.not_before {
            return;
        }
        if self.attempt.as_ref().is_some_and(|a| cx.now < a.until) {
            return;
        }
        let delay = Millis(RANK_DELAY.0 * my_rank(cx).min(MAX_RANK));
        let due = |level: &Level| cx.now >= level.since + RAMP_STEP + delay;
        let Some((name, level)) = self.levels.iter().find(|(_, level)| due(level)) else {
            return;
        };
        self.attempt = Some(Attempt {
            data_centre: name.clone(),
            share: level.share,
            until: cx.now + RETRY_AFTER,
        });
        calls.send(cx, Purpose::Ramp, PlatformOp::read_configuration());
    }

    /// Takes in the end of a call about a step.
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
                self.not_before = cx.now + RETRY_AFTER;
            }
        }
        self.observe(cx.now, in_force.cfg());
    }

    /// The record was read, or it was written and shows the next share.
    fn on_object(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        attempt: Attempt,
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
        let next = record.succeed(advance(&record.cfg, &attempt.data_centre));
        self.attempt = Some(Attempt {
            until: cx.now + RETRY_AFTER,
            ..attempt
        });
        let op = PlatformOp::Put {
            key: CONFIGURATION_KEY.to_owned(),
            version: object.version,
            value: next.to_value(),
        };
        calls.send(cx, Purpose::Ramp, op);
    }

    /// Notes since when each returning data centre has had its share.
    fn observe(&mut self, now: Time, cfg: &Configuration) {
        let returning = |name: &DataCentreId| {
            let dc = cfg.data_centre(name)?;
            (dc.state == DataCentreState::Returning).then_some(dc.share)
        };
        self.levels
            .retain(|name, level| returning(name) == Some(level.share));
        for dc in &cfg.data_centres {
            if returning(&dc.name).is_none() {
                continue;
            }
            let level = Level {
                share: dc.share,
                since: now,
            };
            self.levels.entry(dc.name.clone()).or_insert(level);
        }
    }
}

/// Reports a step that has been taken.
fn report_step(cx: &mut Cx<'_>, attempt: &Attempt, dc: &DataCentre) {
    if dc.share > attempt.share {
        cx.count(Counter::RampAdvanced);
        let detail = format!("{} at {}%", dc.name, dc.share);
        cx.note(Notice::RampAdvanced, detail);
    }
}

/// Returns this VM's place among those that may take a step.
fn my_rank(cx: &Cx<'_>) -> u64 {
    let alive: Vec<&VmId> = cx.view.alive().map(|m| &m.vm.id).collect();
    rank(&cx.view.me.id, &alive)
}
