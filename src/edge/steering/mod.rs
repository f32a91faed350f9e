//! The sockets of an entry VM that steers by tag.
//!
//! One thread does all the work, packets first: on a fraction of a core further
//! threads would only take turns. Each module speaks to one outside party.

pub mod entry_vm;
pub mod format;
pub mod log;
pub mod metrics;
pub mod packets;
pub mod peers;
pub mod probes;
pub mod ready;
pub mod store;

pub use entry_vm::EntryVm;
pub use format::PlatformFormat;
