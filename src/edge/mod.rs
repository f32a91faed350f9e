//! Network I/O. Each module handles one external peer or interface, most as an
//! actor that the others look up by name in the registry.

pub mod admin;
pub mod backends;
pub mod caller_http;
pub mod callers;
pub mod counts;
pub mod engine;
pub mod fabric;
pub mod gue;
pub mod headers;
pub mod in_flight;
pub mod log;
pub mod mailbox;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod steering;
pub mod strict_stream;
