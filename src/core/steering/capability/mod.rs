//! How fast each backend server works, learned from the response times that all
//! VMs measure.
//!
//! Designed for fleets larger than a full mesh, in which one VM gets far too few
//! responses of a backend server to judge it: 0.1 per second with 70 VMs. Each VM
//! reports its own samples with its load, and every VM derives the same cost
//! factors from the sums. Small fleets use
//! [`ResponseTimes`](super::response_times::ResponseTimes).

use hashbrown::HashMap;
use smallvec::SmallVec;

mod estimate;
mod exchange;
mod samples;
pub mod service_time;

use estimate::Estimate;
use samples::{
    Samples,
    Speed, //
};
pub use service_time::ServiceTime;

use super::tag::Tag;
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Interval at which the estimates follow the samples.
const UPDATE_INTERVAL: Millis = Millis(250);

/// How long the samples of other VMs may be from before a restart of the backend
/// server: all VMs read it from the store within a second, and their sums are up to
/// 1.25 s old.
const RESTART_SETTLE_TIME: Millis = Millis(2_500);

/// How long the first samples are held back if no median becomes known.
const HOLD_TIME: Millis = Millis(2_000);

/// How long a backend server that responds too fast gets no new flow while others
/// are left.
const DOUBT_TIME: Millis = Millis::from_secs(2);

/// A response to one request.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Backend server.
    pub tag: Tag,
    /// Time from the request to the acknowledgement of the response.
    pub elapsed: Millis,
    /// Part of it that the network takes, in milliseconds.
    pub network_ms: f64,
    /// Requests outstanding at the backend server when this one was sent, itself
    /// included.
    pub outstanding: u32,
    /// Requests that the backend server processes at once.
    pub slots: u32,
}

/// Service times of the backend servers.
#[derive(Debug, Default)]
pub struct Capability {
    /// Whether the fleet is larger than a full mesh.
    is_active: bool,
    /// Responses to this VM.
    samples: HashMap<Tag, Samples>,
    /// Estimates from the samples of all VMs, as of the last update.
    estimates: HashMap<Tag, Estimate>,
    /// Backend servers that ended, with the time until which other VMs may report
    /// samples from before.
    ended: HashMap<Tag, Time>,
    /// Backend servers that respond too fast, with the end of the doubt.
    doubtful: HashMap<Tag, Time>,
    next_update: Time,
}

impl Capability {
    /// Activates the estimates in fleets larger than a full mesh.
    pub fn set_active(&mut self, is_active: bool) {
        if !is_active && self.is_active {
            *self = Capability::default();
        }
        self.is_active = is_active;
    }

    /// Returns whether service times are estimated.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records a response to this VM.
    pub fn record(&mut self, response: &Response, now: Time) {
        let estimate = self.estimates.get(&response.tag);
        let processing_ms = (response.elapsed.0 as f64 - response.network_ms).max(0.0);
        let requests_per_slot = f64::from(response.outstanding) / f64::from(response.slots.max(1));
        let service_ms = processing_ms / requests_per_slot.max(1.0);
        let limit_ms = estimate.map_or(f64::MAX, Estimate::sample_limit_ms);
        let speed = match estimate {
            Some(e) if processing_ms < e.fast_below_ms() => Speed::Fast,
            _ if service_ms > limit_ms => Speed::Slow,
            _ => Speed::Usual,
        };
        let samples = self
            .samples
            .entry(response.tag)
            .or_insert_with(|| Samples::open(now));
        samples.record_answer(speed, now);
        if speed != Speed::Fast {
            samples.add(service_ms.min(limit_ms), now);
        }
    }

    /// Returns the samples of this VM for one backend server. The first ones are held
    /// back until they can be limited.
    pub fn report(&self, tag: Tag, now: Time) -> ServiceTime {
        let is_limited = self.estimates.contains_key(&tag);
        let may_report = |s: &&Samples| is_limited || now.since(s.first()) >= HOLD_TIME;
        let samples = self.samples.get(&tag).filter(may_report);
        samples.map_or(ServiceTime::default(), |s| s.report(now))
    }

    /// Returns the backend servers with samples of this VM that fulfil a condition,
    /// at most `limit`, the latest samples first.
    pub fn sampled(&self, condition: impl Fn(Tag) -> bool, limit: usize) -> Vec<Tag> {
        let sampled = self.samples.iter().filter(|(tag, _)| condition(**tag));
        let mut sampled: Vec<(Time, Tag)> = sampled.map(|(tag, s)| (s.last(), *tag)).collect();
        sampled.sort_unstable_by(|a, b| b.cmp(a));
        sampled.truncate(limit);
        sampled.into_iter().map(|(_, tag)| tag).collect()
    }

    /// Discards what is known of a backend server that restarted or is gone.
    pub fn forget(&mut self, tag: Tag, now: Time) {
        self.samples.remove(&tag);
        self.estimates.remove(&tag);
        self.doubtful.remove(&tag);
        if self.is_active {
            self.ended.insert(tag, now + RESTART_SETTLE_TIME);
        }
    }

    /// Returns the cost factor of each backend server of a pool: its service time
    /// over the median of its service, 1 if it is not known. `None` in a full mesh.
    pub fn factors(&self, pool: &[Tag]) -> Option<SmallVec<[f64; 32]>> {
        let factors = || pool.iter().map(|tag| self.factor(*tag)).collect();
        self.is_active.then(factors)
    }

    /// Returns the cost factor of one backend server; 1 if it is not known.
    pub fn factor(&self, tag: Tag) -> f64 {
        self.estimates.get(&tag).map_or(1.0, Estimate::factor)
    }

    /// Returns the median service time of a pool. `None` while it is not known.
    pub fn median(&self, pool: &[Tag]) -> Option<Millis> {
        let estimate = pool.iter().find_map(|tag| self.estimates.get(tag))?;
        Some(Millis(estimate.median_ms().round() as u64))
    }

    /// Returns whether a backend server responds far too fast. Most likely it
    /// rejects requests or fails.
    pub fn is_doubtful(&self, tag: Tag, now: Time) -> bool {
        self.doubtful.get(&tag).is_some_and(|until| now < *until)
    }

    /// Returns the number of backend servers whose service time is known.
    pub fn estimated(&self) -> usize {
        self.estimates.values().filter(|e| e.is_known()).count()
    }

    /// Returns the number of backend servers that respond far too fast.
    pub fn doubtful(&self, now: Time) -> usize {
        self.doubtful.values().filter(|until| now < **until).count()
    }

    /// Returns whether [`Capability::update`] is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.is_active && now >= self.next_update
    }

    /// Derives the estimates from the samples of this VM and of the `others`, if
    /// that is due. Returns the backend servers that have become doubtful.
    pub fn update<'a>(
        &mut self,
        pools: impl Iterator<Item = &'a [Tag]>,
        others: impl Fn(Tag) -> ServiceTime,
        now: Time,
    ) -> Vec<Tag> {
        if !self.is_due(now) {
            return Vec::new();
        }
        self.next_update = now + UPDATE_INTERVAL;
        self.samples.retain(|_, s| !s.is_expired(now));
        self.ended.retain(|_, until| now < *until);
        self.doubtful.retain(|_, until| now < *until);
        let before = std::mem::take(&mut self.estimates);
        let mut found = Vec::new();
        for pool in pools {
            let sum = |tag: &Tag| (*tag, self.sum(*tag, &others, now));
            let sums: Vec<(Tag, ServiceTime)> = pool.iter().map(sum).collect();
            for (tag, estimate) in estimate::estimates(&sums) {
                let samples = self.samples.get_mut(&tag);
                if let Some(samples) = samples.filter(|_| !before.contains_key(&tag)) {
                    samples.limit(estimate.sample_limit_ms());
                }
                self.estimates.insert(tag, estimate);
            }
            for tag in estimate::too_fast(&sums) {
                if self.doubtful.insert(tag, now + DOUBT_TIME).is_none() {
                    found.push(tag);
                }
            }
        }
        found
    }

    fn sum(&self, tag: Tag, others: impl Fn(Tag) -> ServiceTime, now: Time) -> ServiceTime {
        let own = self.samples.get(&tag);
        let mut sum = own.map_or(ServiceTime::default(), |s| s.report(now));
        if !self.ended.contains_key(&tag) {
            sum.merge(others(tag));
        }
        sum
    }
}
