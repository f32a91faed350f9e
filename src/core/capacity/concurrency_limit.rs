//! An adaptive limit on the concurrent requests of one backend server.
//!
//! The limit grows by one slot at a time while answers stay quick, and drops to
//! one on a failure, a slowdown or a restart of the backend server.

use crate::{
    core::capacity::{
        SlotReport,
        SlotResult, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The minimum time between two increases of the limit.
const GROWTH_INTERVAL: Millis = Millis::from_secs(1);

/// How many answers per slot are needed before the limit increases by one.
const ANSWERS_PER_SLOT: u32 = 4;

/// The maximum number of times that repeated failures double the growth
/// interval and the pause.
const MAX_DOUBLINGS: u32 = 3;

/// How long nothing is sent after the first failure; doubles with each further
/// one.
const INITIAL_PAUSE: Millis = Millis(100);

/// Ratio of the recent mean answer time to the baseline that counts as slow.
const SLOW_RATIO: f64 = 4.0;

/// Ratio of the recent mean answer time to the baseline above which the limit
/// does not grow.
const ELEVATED_RATIO: f64 = 2.0;

/// Ratio of a single answer time to the baseline that counts as slow.
const SLOW_ANSWER_RATIO: f64 = 2.5;

/// How many consecutive slow answers indicate a cold start.
const MIN_SLOW_ANSWERS: u32 = 3;

/// Answer times up to this are never slow, whatever the baseline.
const MIN_SLOW_TIME: Millis = Millis(20);

/// The weight of a new sample in the recent mean answer time.
const RECENT_WEIGHT: f64 = 0.25;

/// The weight of a new sample in the baseline answer time.
const BASELINE_WEIGHT: f64 = 1.0 / 32.0;

/// The weight of a new sample in the baseline while recent answer times are
/// elevated. Not zero, so that the baseline eventually adapts to a backend
/// server that stays slow.
const ELEVATED_BASELINE_WEIGHT: f64 = 1.0 / 256.0;

/// Why the limit of a backend server was reset to one request. The names of the
/// variants are logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetCause {
    /// It refused a request because of its load.
    Shed,
    /// A request got no answer.
    Lost,
    /// It could not be reached.
    Unreachable,
    /// Its answers took much longer than the baseline.
    Slow,
    /// An answer came from a new run of its process.
    Restarted,
}

/// The concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Invariant: at least one.
    limit: u32,
    answers: u32,
    changed_at: Time,
    failures: u32,
    paused_until: Time,
    recent_mean: Option<f64>,
    baseline: Option<f64>,
    /// The number of consecutive slow answers so far.
    slow_answers: u32,
    run: Option<u64>,
    previous_run: Option<u64>,
}

impl ConcurrencyLimit {
    /// Starts from `limit` concurrent requests, at least one. Use one for a
    /// backend server whose capacity is unknown.
    pub fn new(limit: u32, now: Time) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: limit.max(1),
            answers: 0,
            changed_at: now,
            failures: 0,
            paused_until: now,
            recent_mean: None,
            baseline: None,
            slow_answers: 0,
            run: None,
            previous_run: None,
        }
    }

    /// Returns the limit to apply at `now`: zero during the pause after a
    /// failure.
    pub fn current(&self, now: Time) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        self.limit
    }

    /// Returns the limit regardless of a pause, for a new owner to start from.
    pub fn value(&self) -> u32 {
        self.limit
    }

    /// Resets the limit to one request without counting a failure.
    pub fn reset(&mut self, now: Time) {
        self.limit = 1;
        self.answers = 0;
        self.changed_at = now;
    }

    /// Adjusts the limit to the end of a request on a backend server with
    /// `slots` slots. Returns the cause if the outcome calls for a reset.
    pub fn record(&mut self, now: Time, slots: u32, report: &SlotReport) -> Option<ResetCause> {
        if report.backend_run.is_some() && report.backend_run == self.previous_run {
            return None;
        }
        let cause = self.reset_cause(report);
        match cause {
            Some(_) => self.back_off(now),
            None if report.result != SlotResult::Answered => {}
            // The backend server may still be cold.
            None if self.is_elevated() => self.answers = 0,
            None => self.grow(now, slots),
        }
        cause
    }

    fn reset_cause(&mut self, report: &SlotReport) -> Option<ResetCause> {
        match report.result {
            SlotResult::Unused => return None,
            SlotResult::Shed => return Some(ResetCause::Shed),
            SlotResult::Lost => return Some(ResetCause::Lost),
            SlotResult::Unreachable => return Some(ResetCause::Unreachable),
            SlotResult::Answered => {}
        }
        if self.detect_restart(report.backend_run) {
            return Some(ResetCause::Restarted);
        }
        self.detect_slowdown(report.elapsed)
            .then_some(ResetCause::Slow)
    }

    fn detect_restart(&mut self, run: Option<u64>) -> bool {
        if run.is_none() || run == self.run {
            return false;
        }
        let had_run = self.run.is_some();
        self.previous_run = self.run;
        self.run = run;
        had_run
    }

    /// Adds an answer time to the averages and returns whether answers have
    /// become slow.
    fn detect_slowdown(&mut self, elapsed: Millis) -> bool {
        let sample = elapsed.0 as f64;
        let recent_mean = moving_average(self.recent_mean, sample, RECENT_WEIGHT);
        self.recent_mean = Some(recent_mean);
        let Some(baseline) = self.baseline else {
            self.baseline = Some(sample);
            return false;
        };
        let is_slow = |time: f64, ratio| time > MIN_SLOW_TIME.0 as f64 && time > baseline * ratio;
        self.slow_answers = match is_slow(sample, SLOW_ANSWER_RATIO) {
            true => self.slow_answers + 1,
            false => 0,
        };
        let has_slowed = is_slow(recent_mean, SLOW_RATIO) || self.slow_answers >= MIN_SLOW_ANSWERS;
        if has_slowed && self.limit > 1 {
            self.recent_mean = None;
            self.slow_answers = 0;
            return true;
        }
        let weight = match self.is_elevated() {
            true => ELEVATED_BASELINE_WEIGHT,
            false => BASELINE_WEIGHT,
        };
        self.baseline = Some(moving_average(self.baseline, sample, weight));
        false
    }

    fn is_elevated(&self) -> bool {
        let Some((recent_mean, baseline)) = self.recent_mean.zip(self.baseline) else {
            return false;
        };
        recent_mean > MIN_SLOW_TIME.0 as f64 && recent_mean > baseline * ELEVATED_RATIO
    }

    fn back_off(&mut self, now: Time) {
        if now < self.paused_until {
            // Concurrent requests that fail together count as one failure.
            return;
        }
        let pause = INITIAL_PAUSE.0 << self.failures.min(MAX_DOUBLINGS);
        self.paused_until = now + Millis(pause);
        self.failures += 1;
        self.reset(now);
    }

    fn grow(&mut self, now: Time, slots: u32) {
        self.answers += 1;
        if self.limit >= slots {
            self.failures = 0;
            return;
        }
        let wait = GROWTH_INTERVAL.0 << self.failures.min(MAX_DOUBLINGS);
        let is_due = now.since(self.changed_at) >= Millis(wait);
        if !is_due || self.answers < ANSWERS_PER_SLOT * self.limit {
            return;
        }
        self.limit += 1;
        self.answers = 0;
        self.changed_at = now;
    }
}

fn moving_average(mean: Option<f64>, sample: f64, weight: f64) -> f64 {
    mean.map_or(sample, |mean| mean + (sample - mean) * weight)
}
