//! Load and expected wait of the requests in a data centre.
//!
//! Load is counted in busy slots and follows from the outstanding requests, which
//! include those that wait. At a utilization r of c slots with service time S the
//! expected wait is `S x r^sqrt(2(c+1)) / (c (1 - r))` (Sakasegawa).
//!
//! Plans stay below [`MAX_UTILIZATION`]. Close to 1, a change of the load by a
//! hundredth fills or empties the queue within less than the age of the sums, so a
//! plan that aims at a queue of a certain length oscillates. Backend servers have
//! short queues and reject the rest, which is worse for a client than any cost.

/// Utilization that no plan exceeds while other data centres have free slots. Above
/// it, queues change faster than the sums show, and the share that leaves oscillates.
pub const MAX_UTILIZATION: f64 = 0.92;

/// Utilization from which queues count as full. The margin to [`MAX_UTILIZATION`]
/// keeps variations of the load from being taken for an overload.
const FULL_UTILIZATION: f64 = 0.97;

/// Outstanding requests per slot from which the queues count as full, also in a
/// data centre with few slots.
const MAX_OUTSTANDING: f64 = 2.0;

/// Load by which each request beyond full queues raises the estimate, in slots.
/// Rejected requests are not seen, so the load is only known to be higher. With this
/// value, a step of the load from 0.5 to 1.4 of the capacity is met within 3 s.
const EXCESS_LOAD: f64 = 0.5;

/// Wait that a rejected request stands for at a utilization of 1, in milliseconds.
/// It exceeds the largest cost in the settings.
const REJECTED_MS: f64 = 20_000.0;

/// Halvings of the interval that contains the utilization.
const BISECTIONS: u32 = 16;

/// Returns the expected wait in milliseconds at a load of `load` busy slots of
/// `slots`, if a request takes `service_ms` without waiting. It is finite and grows
/// with the load also beyond the capacity.
pub fn expected_wait_ms(load: f64, slots: f64, service_ms: f64) -> f64 {
    /// Stands for no slots, so that any number of slots is better.
    const MIN_SLOTS: f64 = 1e-6;
    let utilization = load / slots.max(MIN_SLOTS);
    if utilization > MAX_UTILIZATION {
        return utilization * REJECTED_MS;
    }
    service_ms * waiting(utilization, slots) / slots.max(MIN_SLOTS)
}

/// Returns the load in busy slots that leads to `outstanding` requests.
pub fn load_of(outstanding: f64, slots: f64) -> f64 {
    if slots <= 0.0 {
        return outstanding;
    }
    let requests = |r: f64| slots * r + r * waiting(r, slots);
    let full = requests(FULL_UTILIZATION).min(MAX_OUTSTANDING * slots);
    let queued = outstanding.min(full);
    let (mut low, mut high) = (0.0, FULL_UTILIZATION);
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        match requests(middle) > queued {
            true => high = middle,
            false => low = middle,
        }
    }
    low * slots + EXCESS_LOAD * (outstanding - queued)
}

/// Returns how many service times of one slot a request waits, all slots together.
fn waiting(utilization: f64, slots: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt();
    utilization.powf(exponent) / (1.0 - utilization)
}
