//! dragonflytrack: a layer-4 load balancer that preserves established flows
//! during planned changes.
//!
//! The crate is layered:
//!
//! - [`core`] holds the decision logic. It has no sockets, threads or clocks:
//!   it maps typed events and the current time to typed actions.
//! - [`edge`] owns the sockets. Each module handles one external party.
//! - [`kernel`] provides the clock and the service registry of a process.
//! - [`platform`] translates between the users' platform formats and [`core`].
//! - [`settings`] reads and validates the INI file of one process.
//! - [`command`] implements the command line.

pub mod command;
pub mod core;
pub mod edge;
pub mod kernel;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod settings;
