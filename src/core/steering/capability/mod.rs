//! How fast each backend server works, learned from the response times that all
//! VMs measure.

pub mod service_time;

pub use service_time::ServiceTime;
