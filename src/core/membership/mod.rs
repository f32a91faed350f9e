//! Group membership of the entry VMs: heartbeats, incarnations and views.
//!
//! The VMs over which the fabric distributes packets send each other
//! heartbeats. A VM whose heartbeats stop is first suspected and then removed.
//! Views are not agreed on between VMs: the state machines that use a [`View`]
//! must stay correct while the views of two VMs differ.

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

/// Interval at which a VM sends heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Time without a heartbeat after which a member is suspected.
pub const SUSPECT_AFTER: Millis = Millis(1_500);

/// Time without a heartbeat after which a member is removed from the view.
pub const LOST_AFTER: Millis = Millis::from_secs(4);

/// Time without an event after which this process regards itself as paused.
pub const PAUSE_THRESHOLD: Millis = Millis::from_secs(1);

/// Maximum number of members in a view. Heartbeats of further VMs are counted
/// and ignored.
pub const MAX_MEMBERS: usize = 64;
