//! Messages about membership.

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

/// A message about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender is alive.
    Heartbeat {
        /// The sender.
        vm: Vm,
        /// The generation in force at the sender.
        generation: Generation,
        /// Whether the sender has begun a planned stop.
        leaving: bool,
        /// The run of the receiver whose heartbeat arrived at the sender
        /// lately; zero if there is none.
        hears: Incarnation,
    },
    /// The other VMs that the sender knows, for a VM that has just joined.
    Members {
        /// The VMs.
        vms: Vec<Vm>,
    },
    /// The receiver's incarnation is lower than one that the sender knows, so
    /// its wall clock was set back. The receiver has to take a higher one.
    Superseded {
        /// The highest incarnation that the sender knows of the receiver.
        known: Incarnation,
    },
}
