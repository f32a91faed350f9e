//! Response times of backend servers, derived from client packets.
//!
//! Covers a backend server that is several times slower than the others of its
//! service while it looks healthy. Its open flows stay; new flows go to the
//! others in proportion to its slowness.

use hashbrown::HashMap;
use smallvec::SmallVec;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Number of samples from which an average is used.
const MIN_ANSWERS: u32 = 4;

/// How long an average is valid after its last sample.
const RETENTION: Millis = Millis::from_secs(4);

/// Ratio to the service's median from which a backend server counts as slow.
const MIN_SLOWNESS: f64 = 1.5;

/// Maximum slowness ratio.
const MAX_SLOWNESS: f64 = 10.0;

/// Moving average of one backend server, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Latency {
    mean: f64,
    answers: u32,
    last: Time,
}

/// Response times of the backend servers.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    latencies: HashMap<Tag, Latency>,
}

impl ResponseTimes {
    /// Records a response time.
    pub fn record(&mut self, tag: Tag, elapsed: Millis, now: Time) {
        let elapsed = elapsed.0 as f64;
        let latency = self.latencies.entry(tag).or_insert(Latency {
            mean: elapsed,
            answers: 0,
            last: now,
        });
        latency.mean += SMOOTHING_FACTOR * (elapsed - latency.mean);
        latency.answers += 1;
        latency.last = now;
    }

    /// Returns the ratio of each backend server's response time to the median
    /// of its service; 1 if it is not notably slower or not known.
    pub fn slowness(&self, pool: &[Tag], now: Time) -> SmallVec<[f64; 32]> {
        let latencies: SmallVec<[Option<f64>; 32]> =
            pool.iter().map(|tag| self.latency(*tag, now)).collect();
        let median = self.median(pool, now).unwrap_or(1.0).max(1.0);
        let ratio = |latency: &Option<f64>| latency.map_or(1.0, |p| p / median);
        latencies
            .iter()
            .map(ratio)
            .map(|r| {
                if r < MIN_SLOWNESS {
                    1.0
                } else {
                    r.min(MAX_SLOWNESS)
                }
            })
            .collect()
    }

    /// Returns the median response time of a pool in milliseconds; `None` while no
    /// average is known.
    pub fn median(&self, pool: &[Tag], now: Time) -> Option<f64> {
        let known = pool.iter().filter_map(|tag| self.latency(*tag, now));
        let mut known: SmallVec<[f64; 32]> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    fn latency(&self, tag: Tag, now: Time) -> Option<f64> {
        let latency = self.latencies.get(&tag)?;
        let is_usable = latency.answers >= MIN_ANSWERS && now.since(latency.last) < RETENTION;
        is_usable.then_some(latency.mean)
    }

    /// Removes expired averages.
    pub fn sweep(&mut self, now: Time) {
        self.latencies.retain(|_, p| now.since(p.last) < RETENTION);
    }
}
