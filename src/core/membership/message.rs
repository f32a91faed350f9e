//! Membership messages.
//!
//! They are encoded with postcard, so the order of fields and variants is part
//! of the wire format.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    membership::view::Vm,
    names::{
        Generation,
        Incarnation, //
    },
};

/// A membership message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Sent periodically to show that the sender is alive.
    Heartbeat {
        /// The sending VM.
        vm: Vm,
        /// The configuration generation in force at the sender.
        generation: Generation,
        /// Whether the sender has begun a graceful shutdown.
        leaving: bool,
        /// The incarnation of the receiver from which the sender has recently
        /// received a heartbeat, or zero if there is none.
        heard_incarnation: Incarnation,
    },
    /// Tells a VM that has just joined which other VMs the sender knows.
    Members {
        /// The known VMs.
        vms: Vec<Vm>,
    },
    /// Tells the receiver that the sender knows a higher incarnation of it,
    /// because its wall clock was set back. The receiver must choose a higher
    /// incarnation.
    Superseded {
        /// The highest incarnation of the receiver that the sender knows.
        known: Incarnation,
    },
}
