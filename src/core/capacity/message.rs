//! The messages that VMs exchange about slots.

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    core::{
        capacity::{
            SEQUENCE_BITS,
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

/// Identifies a loan request at the borrower.
///
/// Invariant: increases across all runs of the borrower. The upper bits are the
/// incarnation of the run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LoanRequestId(pub u64);

impl LoanRequestId {
    /// Returns the run of the borrower that sent the request.
    pub fn run(self) -> Incarnation {
        Incarnation(self.0 >> SEQUENCE_BITS)
    }
}

/// Identifies a lease on one slot at the VM that grants it.
///
/// Invariant: increases across all runs of that VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// The maximum remaining times of several running requests.
pub type RemainingTimes = SmallVec<[Millis; 2]>;

/// The results of the requests that used one loan, in the order of their ends.
pub type Reports = SmallVec<[SlotReport; 2]>;

/// The state of a VM's claim to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The VM wants to become the owner.
    Wanted,
    /// The VM is the owner.
    Owned,
    /// The VM has released the backend server. It starts no further requests
    /// there, but earlier ones may still be running.
    Released,
}

/// A VM's claim to one backend server, with its load.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The backend server.
    pub backend: BackendId,
    /// The state of the claim.
    pub state: ClaimState,
    /// How many requests the backend server may run concurrently.
    pub limit: u32,
    /// How many of its slots are in use or lent.
    pub leased: u32,
    /// The maximum remaining times of requests that may outlast the ownership.
    pub running: RemainingTimes,
}

impl Claim {
    /// Returns whether the VM needs the promise that no other VM becomes the
    /// owner.
    pub fn needs_promise(&self) -> bool {
        self.state != ClaimState::Released
    }
}

/// The load of one backend server as known to its owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// How many requests it may run concurrently.
    pub limit: u32,
    /// How many of its slots are in use or lent.
    pub leased: u32,
}

/// One loan that a borrower holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldLoan {
    /// The lease at the lender.
    pub id: LeaseId,
    /// The maximum remaining time of the request that uses the loan, once it
    /// has run for [`super::LONG_RUN_TIME`].
    pub remaining: Option<Millis>,
}

/// A message about the ownership of backend servers or about their slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CapacityMessage {
    /// Claims backend servers and renews the ownership of those already owned.
    ///
    /// Omitting a backend server that an earlier message named withdraws the
    /// claim to it.
    Claims {
        /// The run of the sender.
        incarnation: Incarnation,
        /// Increases with each message of the sender's run.
        seq: u64,
        /// When the claims were made, by the sender's clock.
        at: Time,
        /// All claims of the sender.
        claims: Vec<Claim>,
    },
    /// Answers [`CapacityMessage::Claims`].
    Vote {
        /// The run of the voter.
        voter: Incarnation,
        /// The run that made the claims.
        incarnation: Incarnation,
        /// The sequence number of the claims.
        seq: u64,
        /// When the claims were made, by the clock of the VM that made them.
        at: Time,
        /// Whether the voter started too recently to know the promises that its
        /// earlier run may have made.
        abstains: bool,
        /// The claimed backend servers that are promised to the claiming VM.
        granted: Vec<BackendId>,
    },
    /// Requests the loan of a slot from the owner of a backend server.
    Borrow {
        /// Identifies the request. Retries have the same identifier.
        request_id: LoanRequestId,
        /// The backend server.
        backend: BackendId,
    },
    /// Lends a slot.
    Lend {
        /// The loan request that is answered.
        request_id: LoanRequestId,
        /// Identifies the loan at the lender.
        id: LeaseId,
        /// For how long requests may start on the slot, from the time at which
        /// the borrower first sent its loan request.
        duration: Millis,
        /// The load of the backend server, including this loan.
        load: Load,
    },
    /// Refuses to lend a slot.
    Deny {
        /// The loan request that is answered.
        request_id: LoanRequestId,
        /// The load of the backend server. Its limit is zero if the sender is
        /// not the owner.
        load: Load,
    },
    /// Returns a loan to the lender.
    Return {
        /// Identifies the loan at the lender.
        id: LeaseId,
        /// How the requests that used it ended.
        reports: Reports,
    },
    /// Lists all loans from the receiver that the sender's run holds. Loans to
    /// earlier runs of the sender are not covered.
    LoanList {
        /// The run of the sender.
        incarnation: Incarnation,
        /// The highest loan that the sender has received.
        ///
        /// Invariant: the sender never uses a loan up to this one that is not
        /// listed.
        received: LeaseId,
        /// The loans that the sender holds.
        loans: Vec<HeldLoan>,
    },
    /// Tells the borrower to start no further requests on loans of a backend
    /// server.
    Recall {
        /// The backend server.
        backend: BackendId,
    },
}
