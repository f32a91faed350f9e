//! Process-wide facilities: the clock and the service registry.

pub mod clock;
pub mod registry;
