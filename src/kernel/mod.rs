//! The micro-kernel: the clock, and the registry in which the services of a
//! process find each other by name.

pub mod clock;
pub mod registry;
