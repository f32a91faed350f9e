//! Messages about slots between the VMs.

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    core::{
        capacity::{
            RUN_BITS,
            SlotReport, //
        },
        names::{
            BackendId,
            Incarnation, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Identifies a request for a loan at the borrower.
///
/// Invariant: grows over all runs of the borrower.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AskId(pub u64);

impl AskId {
    /// Returns the run of the borrower that asked.
    pub fn run(self) -> Incarnation {
        Incarnation(self.0 >> RUN_BITS)
    }
}

/// Identifies a lease on one slot at the VM that grants it.
///
/// Invariant: grows over all runs of that VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// For how long each of several runs may go on.
pub type RunBounds = SmallVec<[Millis; 2]>;

/// Reports of the requests that used one loan.
pub type Reports = SmallVec<[SlotReport; 2]>;

/// How a VM stands to a backend server that it claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The VM would like to own the backend server.
    Wanted,
    /// The VM owns the backend server.
    Held,
    /// The VM has given the backend server up. It starts nothing there, though
    /// earlier runs may go on.
    Released,
}

/// What a VM says about one backend server that it claims.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The backend server.
    pub backend: BackendId,
    /// How the VM stands to it.
    pub state: ClaimState,
    /// How many requests the backend server may have at once.
    pub open: u32,
    /// How many of its slots are in use or lent.
    pub leased: u32,
    /// The bounds of runs that may outlast the VM's ownership.
    pub running: RunBounds,
}

impl Claim {
    /// Tells whether the VM asks that no other VM become the owner.
    pub fn asks_for_promise(&self) -> bool {
        self.state != ClaimState::Released
    }
}

/// The load of one backend server as its owner knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// How many requests it may have at once.
    pub open: u32,
    /// How many of its slots are in use or lent.
    pub leased: u32,
}

/// One loan that a borrower holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldLoan {
    /// The loan.
    pub id: LeaseId,
    /// For how long a request that uses it may go on, once it has run for
    /// longer than [`super::LONG_RUN`].
    pub bound: Option<Millis>,
}

/// A message about slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CapacityMessage {
    /// Claims backend servers and renews the ownership of those held.
    ///
    /// A backend server that an earlier claim named and this one does not is
    /// given up.
    Claims {
        /// The sender's run.
        incarnation: Incarnation,
        /// Grows with each message of the sender's run.
        seq: u64,
        /// When the claims were made, by the sender's clock.
        at: Time,
        /// The claims.
        claims: Vec<Claim>,
    },
    /// Answers [`CapacityMessage::Claims`].
    Vote {
        /// The voter's run.
        voter: Incarnation,
        /// The run that made the claims.
        incarnation: Incarnation,
        /// The number of the claims.
        seq: u64,
        /// When the claims were made, by the clock of the VM that made them.
        at: Time,
        /// The voter started too recently to remember its promises.
        abstains: bool,
        /// The claimed backend servers that are promised to the claiming VM.
        granted: Vec<BackendId>,
    },
    /// Asks the owner of a backend server for a slot.
    Ask {
        /// Identifies the request. A repetition has the same number.
        ask: AskId,
        /// The backend server.
        backend: BackendId,
    },
    /// Lends a slot.
    Lend {
        /// The request that is answered.
        ask: AskId,
        /// The loan.
        id: LeaseId,
        /// No request may start on the slot once this has passed since the
        /// loan was asked for.
        span: Millis,
        /// The load of the backend server, this loan included.
        load: Load,
    },
    /// Refuses to lend a slot.
    Deny {
        /// The request that is answered.
        ask: AskId,
        /// The load of the backend server. Nothing is open if the sender does
        /// not own it.
        load: Load,
    },
    /// Gives a loan back.
    Return {
        /// The loan.
        id: LeaseId,
        /// How the requests that used it ended.
        reports: Reports,
    },
    /// Lists all loans that the sender's run holds of the receiver. It says
    /// nothing about loans to earlier runs.
    Holding {
        /// The sender's run.
        incarnation: Incarnation,
        /// The highest loan that the sender has received.
        ///
        /// Invariant: the sender never uses a loan up to this one that is not
        /// listed.
        received: LeaseId,
        /// The loans.
        loans: Vec<HeldLoan>,
    },
    /// Asks to start nothing more on loans of a backend server.
    Recall {
        /// The backend server.
        backend: BackendId,
    },
}
