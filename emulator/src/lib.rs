//! Emulators of the systems around the load balancer: the network fabric,
//! callers, backend servers and the platform.

pub mod address;
pub mod backends;
pub mod callers;
pub mod configuration;
pub mod configure;
pub mod fabric;
pub mod packet;
pub mod platform;
pub mod receipt;
pub mod report;
