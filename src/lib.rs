//! dragonflytrack: a layer-4 load balancer that keeps established flows
//! through planned change.
//!
//! The crate is layered:
//!
//! - [`core`] decides. It has no sockets, threads or clocks: typed events and
//!   the time go in, typed actions come out.
//! - [`edge`] owns the sockets. Each module there speaks to one outside party.
//! - [`kernel`] lets the services of a process find each other by name.
//! - [`platform`] translates the names and forms of the users' platform.
//! - [`settings`] reads and checks the INI file of one process.
//! - [`command`] is the command line.

pub mod command;
pub mod core;
pub mod edge;
pub mod kernel;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod settings;
