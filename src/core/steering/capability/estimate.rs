//! Estimates from the summed samples of a service.

use smallvec::SmallVec;

use super::{
    super::tag::Tag,
    ServiceTime, //
};

/// Number of samples from which a mean is used.
const MIN_SAMPLES: u16 = 8;

/// Number of backend servers with a sample from which the median of their means is
/// used at the start. Fewer may all be of the heavy tail.
const MIN_FIRST_MEANS: usize = 3;

/// Bounds of the cost factor.
const FACTOR_BOUNDS: [f64; 2] = [0.2, 10.0];

/// Relative variance of one sample. A log-normal spread of 0.5 with 3 % of requests
/// that take 7 times as long has 0.38 after the limit on samples.
const SAMPLE_VARIANCE: f64 = 0.4;

/// Variance of a mean that is rounded to milliseconds, in square milliseconds.
const ROUNDING_VARIANCE_MS2: f64 = 1.0 / 12.0;

/// Standard errors of a deviation from the median that counts by half. A smaller one
/// is mostly chance and counts much less, a larger one almost fully.
const HALF_STANDARD_ERRORS: f64 = 4.0;

/// Multiple of the current mean that a sample counts at most.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Part of the median below which a response is no sample.
const FAST_PART: f64 = 0.25;

/// Median service time from which fast responses are distinguished from the
/// variation of the network, in milliseconds.
const MIN_MEDIAN_MS: f64 = 20.0;

/// Number of recent responses that are required to judge a backend server. One that
/// gets 11 requests per second often gets no 8 in a given second.
const MIN_ANSWERS: u16 = 6;

/// Part of the recent responses of a backend server that may be far off.
const MAX_OFF_PART: f64 = 0.8;

/// Standard errors by which the part of responses that are far off must exceed the
/// usual one of the service.
const OFF_STANDARD_ERRORS: f64 = 3.0;

/// Estimate for one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Invariant: within [`FACTOR_BOUNDS`].
    factor: f64,
    /// Mean service time in milliseconds; the median of the service while it is not
    /// known.
    mean_ms: f64,
    /// Median of the service in milliseconds.
    median_ms: f64,
    /// Whether it has [`MIN_SAMPLES`].
    is_known: bool,
}

impl Estimate {
    fn new(sum: &ServiceTime, median_ms: f64) -> Estimate {
        let is_known = sum.samples >= MIN_SAMPLES;
        let mean_ms = match is_known {
            true => f64::from(sum.mean_ms).max(1.0),
            false => median_ms,
        };
        let samples = f64::from(sum.samples.max(MIN_SAMPLES));
        let factor = shrunk_ratio(mean_ms, median_ms, samples);
        let [min, max] = FACTOR_BOUNDS;
        Estimate {
            factor: factor.clamp(min, max),
            mean_ms,
            median_ms,
            is_known,
        }
    }

    /// Returns whether enough samples are known.
    pub(super) fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the median of the service in milliseconds.
    pub(super) fn median_ms(&self) -> f64 {
        self.median_ms
    }

    /// Returns the cost factor.
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns the time in milliseconds below which a response is no sample. A
    /// backend server that works faster than others also has faster responses.
    pub(super) fn fast_below_ms(&self) -> f64 {
        let [min, max] = [FACTOR_BOUNDS[0] * self.median_ms, self.median_ms];
        FAST_PART * self.mean_ms.clamp(min, max)
    }

    /// Returns the time in milliseconds that a sample counts at most, so that a heavy
    /// tail does not decide the mean.
    pub(super) fn sample_limit_ms(&self) -> f64 {
        MAX_SAMPLE_RATIO * self.mean_ms
    }
}

/// Returns the estimates for the backend servers of a service. Empty while its median
/// is not known.
///
/// A mean follows a sudden change within its half-life. Where most of the recent
/// responses exceed the limit on samples, the mean is at least at that limit.
pub(super) fn estimates(sums: &[(Tag, ServiceTime)]) -> Vec<(Tag, Estimate)> {
    let Some(median_ms) = median_ms(sums) else {
        return Vec::new();
    };
    let median_ms = median_ms.max(1.0);
    let slow = far_off(sums, |sum| sum.slow);
    let estimate = |(tag, sum): &(Tag, ServiceTime)| {
        let mut estimate = Estimate::new(sum, median_ms);
        if slow.contains(tag) {
            estimate.factor = estimate.factor.max(MAX_SAMPLE_RATIO);
        }
        (*tag, estimate)
    };
    sums.iter().map(estimate).collect()
}

/// Returns the backend servers whose recent responses are mostly too fast.
pub(super) fn too_fast(sums: &[(Tag, ServiceTime)]) -> Vec<Tag> {
    match median_ms(sums).is_some_and(|m| m >= MIN_MEDIAN_MS) {
        true => far_off(sums, |sum| sum.fast),
        false => Vec::new(),
    }
}

/// Returns the backend servers whose recent responses are mostly far off in one
/// direction, and much more often than is usual in the service. Where requests of
/// several kinds share a service, or all of its backend servers are full, many
/// responses of all of them are.
fn far_off(sums: &[(Tag, ServiceTime)], count: impl Fn(&ServiceTime) -> u16) -> Vec<Tag> {
    let judged = sums.iter().filter(|(_, sum)| sum.answers >= MIN_ANSWERS);
    let part = |sum: &ServiceTime| f64::from(count(sum)) / f64::from(sum.answers);
    let parts = judged.clone().map(|(_, sum)| part(sum));
    let usual = median(parts.collect()).unwrap_or(0.0);
    let is_far_off = |sum: &ServiceTime| {
        let error = (usual * (1.0 - usual) / f64::from(sum.answers)).sqrt();
        part(sum) > MAX_OFF_PART.max(usual + OFF_STANDARD_ERRORS * error)
    };
    let found = judged.filter(|(_, sum)| is_far_off(sum));
    found.map(|(tag, _)| *tag).collect()
}

/// Returns the ratio of a mean of `samples` samples to the median, shrunk toward 1 as
/// far as it may be due to chance.
fn shrunk_ratio(mean_ms: f64, median_ms: f64, samples: f64) -> f64 {
    let deviation = (mean_ms / median_ms).ln();
    if deviation == 0.0 {
        return 1.0;
    }
    let variance = SAMPLE_VARIANCE / samples + ROUNDING_VARIANCE_MS2 / mean_ms.powi(2);
    let certainty = (deviation.powi(2) / variance).powi(2);
    (deviation * certainty / (certainty + HALF_STANDARD_ERRORS.powi(4))).exp()
}

/// Returns the median service time of a service in milliseconds. Until a backend
/// server has [`MIN_SAMPLES`], it is that of the first samples.
fn median_ms(sums: &[(Tag, ServiceTime)]) -> Option<f64> {
    let means = |min_samples: u16| {
        let known = sums.iter().filter(|(_, s)| s.samples >= min_samples);
        let means: SmallVec<[f64; 32]> = known.map(|(_, s)| f64::from(s.mean_ms)).collect();
        means
    };
    let first = || Some(means(1)).filter(|first| first.len() >= MIN_FIRST_MEANS);
    median(means(MIN_SAMPLES)).or_else(|| median(first()?))
}

fn median(mut values: SmallVec<[f64; 32]>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
