//! Small fakes at the interfaces of the core, under virtual time.
//!
//! [`Fleet`] drives several engines. Messages, packets and requests between
//! them and the fakes travel over [`Links`], which delay, lose, duplicate and
//! cut them. VMs are killed, restarted, frozen and stopped. Nothing sleeps and
//! all random numbers come from one seed.

pub mod backend;
pub mod caller;
pub mod cold;
pub mod event_queue;
pub mod fleet;
pub mod flow_check;
pub mod flow_load;
pub mod history;
pub mod links;
pub mod packet;
pub mod platform;
pub mod process;
pub mod sample;
pub mod slots;
pub mod steering;

pub use backend::FakeBackend;
pub use fleet::Fleet;
pub use flow_load::FlowLoad;
pub use links::Links;
pub use platform::FakePlatform;
