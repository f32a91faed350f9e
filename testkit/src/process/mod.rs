//! The system as separate processes on loopback, for tests.

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

/// How often [`wait_until`] looks.
const POLL: Duration = Duration::from_millis(20);

/// Waits until `done` holds and returns how long that took.
///
/// # Panics
///
/// Panics if it does not hold within `limit`.
pub fn wait_until(what: &str, limit: Duration, mut done: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < limit, "{what}: not within {limit:?}");
        thread::sleep(POLL);
    }
    started.elapsed()
}
