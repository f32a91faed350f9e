//! Network I/O of an entry VM that steers flows by tag.
//!
//! Everything runs on one thread, client packets first: the VM gets a fraction of
//! a core, on which more threads would only take turns. Each module handles one
//! external peer or interface.

pub mod entry_vm;
pub mod format;
pub mod log;
pub mod message_format;
pub mod metrics;
pub mod packets;
pub mod peers;
pub mod probes;
pub mod ready;
pub mod snapshots;
pub mod store;

pub use entry_vm::EntryVm;
pub use format::PlatformFormat;
