//! The decision logic of the load balancer, free of I/O.
//!
//! [`Engine`] dispatches each [`Event`] to the state machines in the submodules.
//! A state machine is driven with a [`Cx`], which carries the time, the view of
//! the fleet and the configuration in force, and pushes [`Action`]s to it.

pub mod action;
pub mod capacity;
pub mod configuration;
pub mod counter;
pub mod cx;
pub mod engine;
pub mod flow;
pub mod intent;
pub mod membership;
pub mod message;
pub mod names;
pub mod notice;
pub mod request;
pub mod steering;

pub use action::Action;
pub use counter::Counter;
pub use counter::Counters;
pub use cx::Cx;
pub use engine::Engine;
pub use engine::Event;
pub use message::PeerMessage;
pub use notice::Notice;
