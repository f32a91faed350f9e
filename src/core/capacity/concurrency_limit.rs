//! How many requests a backend server bears at once, learnt from its answers.

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

/// The shortest time between two steps of growth.
const GROWTH_INTERVAL: Millis = Millis::from_secs(1);

/// How many answers each open slot must have given before the next one opens.
const GROWTH_ANSWERS: u32 = 4;

/// Repeated failures double the growth interval at most this often.
const MAX_DOUBLINGS: u32 = 3;

/// How long nothing is sent after the first failure.
const FIRST_PAUSE: Millis = Millis(100);

/// Recent answers that take this many times as long as usual are slow.
const SLOW_RATIO: f64 = 4.0;

/// Recent answers that take this many times as long as usual are elevated: the
/// allowance does not grow.
const ELEVATED_RATIO: f64 = 2.0;

/// A single answer that takes this many times as long as usual is slow.
const SLOW_ANSWER_RATIO: f64 = 2.5;

/// Slow answers in a row that show a cold start.
const SLOW_ANSWERS: u32 = 3;

/// Recent answers that are quicker than this are never slow.
const NEVER_SLOW: Millis = Millis(20);

/// The weight of a new sample in the recent time of an answer.
const RECENT_WEIGHT: f64 = 0.25;

/// The weight of a new sample in the usual time of an answer.
const USUAL_WEIGHT: f64 = 1.0 / 32.0;

/// The same while recent answers are elevated. A backend server that stays slow
/// is slow for good, in the end.
const ELEVATED_WEIGHT: f64 = 1.0 / 256.0;

/// Why the allowance of a backend server fell back to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fall {
    /// It refused a request because of its load.
    Shed,
    /// No answer came.
    Lost,
    /// It could not be reached.
    Unreachable,
    /// Its answers took much longer than usual.
    Slow,
    /// Its answer named a new run.
    Restarted,
}

/// How many requests one backend server may have at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Invariant: at least one.
    open: u32,
    answers: u32,
    changed: Time,
    failures: u32,
    closed_until: Time,
    recent: Option<f64>,
    usual: Option<f64>,
    /// Slow answers since the last one that was not.
    slow_answers: u32,
    run: Option<u64>,
    former_run: Option<u64>,
}

impl ConcurrencyLimit {
    /// Creates the allowance of a backend server that is known to bear `open`
    /// requests. One that nothing is known of bears one.
    pub fn new(open: u32, now: Time) -> ConcurrencyLimit {
        ConcurrencyLimit {
            open: open.max(1),
            answers: 0,
            changed: now,
            failures: 0,
            closed_until: now,
            recent: None,
            usual: None,
            slow_answers: 0,
            run: None,
            former_run: None,
        }
    }

    /// Returns how many requests the backend server may have at once.
    pub fn at(&self, now: Time) -> u32 {
        if now < self.closed_until {
            return 0;
        }
        self.open
    }

    /// Returns the allowance that a new owner should start from.
    pub fn known(&self) -> u32 {
        self.open
    }

    /// Falls back to one request without a failure.
    pub fn reset(&mut self, now: Time) {
        self.open = 1;
        self.answers = 0;
        self.changed = now;
    }

    /// Takes in how a request ended on a backend server with `slots` slots.
    /// Returns why the allowance fell, if it did.
    pub fn report(&mut self, now: Time, slots: u32, report: &SlotReport) -> Option<Fall> {
        if report.backend_run.is_some() && report.backend_run == self.former_run {
            return None;
        }
        let fall = self.cause_of_fall(report);
        match fall {
            Some(_) => self.fall(now),
            None if report.result != SlotResult::Answered => {}
            // It may still be cold.
            None if self.is_elevated() => self.answers = 0,
            None => self.grow(now, slots),
        }
        fall
    }

    fn cause_of_fall(&mut self, report: &SlotReport) -> Option<Fall> {
        match report.result {
            SlotResult::Unused => return None,
            SlotResult::Shed => return Some(Fall::Shed),
            SlotResult::Lost => return Some(Fall::Lost),
            SlotResult::Unreachable => return Some(Fall::Unreachable),
            SlotResult::Answered => {}
        }
        if self.is_new_run(report.backend_run) {
            return Some(Fall::Restarted);
        }
        self.is_slow(report.elapsed).then_some(Fall::Slow)
    }

    fn is_new_run(&mut self, run: Option<u64>) -> bool {
        if run.is_none() || run == self.run {
            return false;
        }
        let known = self.run.is_some();
        self.former_run = self.run;
        self.run = run;
        known
    }

    /// Learns how long an answer took and tells whether answers became slow.
    fn is_slow(&mut self, elapsed: Millis) -> bool {
        let sample = elapsed.0 as f64;
        let recent = average(self.recent, sample, RECENT_WEIGHT);
        self.recent = Some(recent);
        let Some(usual) = self.usual else {
            self.usual = Some(sample);
            return false;
        };
        let is_slow = |time: f64, ratio| time > NEVER_SLOW.0 as f64 && time > usual * ratio;
        self.slow_answers = match is_slow(sample, SLOW_ANSWER_RATIO) {
            true => self.slow_answers + 1,
            false => 0,
        };
        let has_slowed = is_slow(recent, SLOW_RATIO) || self.slow_answers >= SLOW_ANSWERS;
        if has_slowed && self.open > 1 {
            self.recent = None;
            self.slow_answers = 0;
            return true;
        }
        let weight = match self.is_elevated() {
            true => ELEVATED_WEIGHT,
            false => USUAL_WEIGHT,
        };
        self.usual = Some(average(self.usual, sample, weight));
        false
    }

    fn is_elevated(&self) -> bool {
        let Some((recent, usual)) = self.recent.zip(self.usual) else {
            return false;
        };
        recent > NEVER_SLOW.0 as f64 && recent > usual * ELEVATED_RATIO
    }

    fn fall(&mut self, now: Time) {
        if now < self.closed_until {
            // Several requests of one incident fail together.
            return;
        }
        let pause = FIRST_PAUSE.0 << self.failures.min(MAX_DOUBLINGS);
        self.closed_until = now + Millis(pause);
        self.failures += 1;
        self.reset(now);
    }

    fn grow(&mut self, now: Time, slots: u32) {
        self.answers += 1;
        if self.open >= slots {
            self.failures = 0;
            return;
        }
        let wait = GROWTH_INTERVAL.0 << self.failures.min(MAX_DOUBLINGS);
        let is_due = now.since(self.changed) >= Millis(wait);
        if !is_due || self.answers < GROWTH_ANSWERS * self.open {
            return;
        }
        self.open += 1;
        self.answers = 0;
        self.changed = now;
    }
}

fn average(old: Option<f64>, sample: f64, weight: f64) -> f64 {
    old.map_or(sample, |old| old + (sample - old) * weight)
}
