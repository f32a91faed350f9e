//! Test fakes for the interfaces of the core, with virtual time.
//!
//! [`Fleet`] runs several engines. Messages, packets and requests between them
//! and the fakes pass over simulated [`Links`], which can delay, lose, duplicate
//! and block them. VMs can be killed, restarted, frozen and stopped. Runs are
//! deterministic: time is virtual and all random numbers come from one seed.

pub mod backend;
pub mod caller;
pub mod cold;
pub mod event_queue;
pub mod fleet;
pub mod flow_check;
pub mod flow_load;
pub mod history;
pub mod links;
pub mod malformed;
pub mod packet;
pub mod platform;
pub mod process;
pub mod sample;
pub mod slots;
pub mod steering;
pub mod store_calls;

pub use backend::FakeBackend;
pub use fleet::Fleet;
pub use flow_load::FlowLoad;
pub use links::Links;
pub use platform::FakePlatform;
