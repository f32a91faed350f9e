//! The decisions of the system, free of input and output.
//!
//! Each submodule is one state machine. It is driven with a [`Cx`], which
//! carries the time, the view of the fleet and the configuration in force, and
//! it answers by pushing [`Action`]s.

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
