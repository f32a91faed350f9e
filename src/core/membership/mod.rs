//! Who belongs to the fleet: heartbeats, incarnations and views.
//!
//! The VMs over which the fabric sprays the same packets send each other
//! heartbeats. A VM whose heartbeats stop is first suspected and then dropped.
//! Membership decides nothing that needs agreement: the state machines that
//! use a [`View`] stay correct while the views of two VMs differ.

pub mod machine;
pub mod message;
pub mod view;

pub use machine::Membership;
pub use machine::Seed;
pub use message::MembershipMessage;
pub use view::Member;
pub use view::MemberState;
pub use view::View;
pub use view::Vm;

use crate::kernel::clock::Millis;

/// How often a VM sends heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// A member that was silent for this long is suspected.
pub const SUSPECT_AFTER: Millis = Millis(1_500);

/// A member that was silent for this long leaves the view.
pub const LOST_AFTER: Millis = Millis::from_secs(4);

/// A process that handles no event for this long has been paused.
pub const PAUSE_LIMIT: Millis = Millis::from_secs(1);

/// The most members that a view holds. Heartbeats of further VMs are counted
/// and ignored.
pub const MAX_MEMBERS: usize = 64;
