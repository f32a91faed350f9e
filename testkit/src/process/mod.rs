//! Runs the system as separate processes on loopback, for tests.

pub mod address;
pub mod child;
pub mod http;
pub mod proxy;
pub mod steering;
pub mod system;
pub mod users_platform;

pub use child::{
    Child,
    Signal, //
};
pub use system::{
    Spec,
    System, //
};

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// How often [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it holds and returns how long that took.
///
/// # Panics
///
/// Panics with `description` if the condition does not hold within `timeout`.
pub fn wait_until(
    description: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < timeout,
            "timed out after {timeout:?} waiting until {description}"
        );
        thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}
