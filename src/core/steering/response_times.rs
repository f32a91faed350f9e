//! How fast backend servers answer, as the packets of their clients show.
//!
//! The load that this answers: a backend server that works several times slower
//! than the others of its service while it looks healthy. Flows that are open
//! stay; new ones go to the others in proportion to how slow it is.

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// What a new answer weighs against those before it.
const SMOOTHING: f64 = 0.2;

/// Answers below which nothing is concluded.
const ENOUGH_ANSWERS: u32 = 4;

/// Answers that are older are forgotten.
const KEPT_FOR: Millis = Millis::from_secs(4);

/// A backend server this much slower than the middle one of its service is
/// noticed.
const NOTICED: f64 = 1.5;

/// The most that slowness counts.
const MOST: f64 = 10.0;

/// How fast one backend server answers.
#[derive(Clone, Copy, Debug)]
struct Pace {
    mean: f64,
    answers: u32,
    last: Time,
}

/// How fast the backend servers answer.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    paces: HashMap<Tag, Pace>,
}

impl ResponseTimes {
    /// Notes that an answer of a backend server took `took`.
    pub fn note(&mut self, tag: Tag, took: Millis, now: Time) {
        let took = took.0 as f64;
        let pace = self.paces.entry(tag).or_insert(Pace {
            mean: took,
            answers: 0,
            last: now,
        });
        pace.mean += SMOOTHING * (took - pace.mean);
        pace.answers += 1;
        pace.last = now;
    }

    /// Returns how many times slower than the middle one each backend server of
    /// a service is; 1 for those that are not noticeably slower or not known.
    pub fn slowness(&self, pool: &[Tag], now: Time) -> SmallVec<[f64; 32]> {
        let paces: SmallVec<[Option<f64>; 32]> =
            pool.iter().map(|tag| self.pace(*tag, now)).collect();
        let mut known: SmallVec<[f64; 32]> = paces.iter().flatten().copied().collect();
        known.sort_by(f64::total_cmp);
        let middle = known.get(known.len() / 2).copied().unwrap_or(1.0).max(1.0);
        let ratio = |pace: &Option<f64>| pace.map_or(1.0, |p| p / middle);
        paces
            .iter()
            .map(ratio)
            .map(|r| if r < NOTICED { 1.0 } else { r.min(MOST) })
            .collect()
    }

    fn pace(&self, tag: Tag, now: Time) -> Option<f64> {
        let pace = self.paces.get(&tag)?;
        let is_known = pace.answers >= ENOUGH_ANSWERS && now.since(pace.last) < KEPT_FOR;
        is_known.then_some(pace.mean)
    }

    /// Forgets what is old.
    pub fn sweep(&mut self, now: Time) {
        self.paces.retain(|_, p| now.since(p.last) < KEPT_FOR);
    }
}
