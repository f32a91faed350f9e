//! Final answers to callers.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        counter::Counter,
        request::http::HttpResponse, //
    },
    kernel::clock::Millis,
};

/// Delay asked of a refused caller when no latency estimate exists.
pub const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Why a request is known not to have run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// Connecting to the backend server failed.
    #[display("no connection to a backend server")]
    NotConnected,
    /// The backend server shed the request.
    #[display("the backend server is overloaded")]
    Shed,
    /// The deadline passed before the request started.
    #[display("the deadline passed before the request was sent")]
    DeadlinePassed,
    /// No slot of the service is free, or none became free in time.
    #[display("every slot is busy")]
    NoSlot,
    /// No backend server of the service accepts new work.
    #[display("no backend server takes new work")]
    NoBackend,
    /// The configuration has no service of the requested name.
    #[display("no service has this name; see the Host header")]
    NoService,
    /// This VM is stopping and accepts no new requests.
    #[display("this VM is stopping; go to another one")]
    Stopping,
    /// The ticket expired before it was used.
    #[display("the ticket has expired unused; get a new one")]
    TicketExpired,
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// No answer arrived before the timeout.
    #[display("the answer did not come in time")]
    Timeout,
    /// The connection was lost after the request was sent.
    #[display("the connection was lost after the request was sent")]
    ConnectionLost,
    /// The VM that ran the request is gone.
    #[display("the VM that ran the request is gone")]
    VmGone,
    /// The backend server's data centre was taken out of service.
    #[display("the data centre of the backend server was taken out")]
    DataCentreOut,
    /// This VM is stopping and no longer redeems tickets.
    #[display("this VM is stopping; repeat with the same ticket at another one")]
    Stopping,
    /// The record of the ticket has been discarded because of its age.
    #[display("the ticket is too old for its outcome to be known")]
    TicketForgotten,
    /// The request finished, but its answer was discarded or is too large to
    /// relay.
    #[display("the request ended, but its answer is no longer kept")]
    AnswerForgotten,
}

/// Final answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The backend server's response.
    Answered(HttpResponse),
    /// The request is known not to have run, and its ticket is void.
    NotRun {
        /// Cause of the refusal.
        reason: NotRunReason,
        /// Delay after which the caller may try again.
        retry_after: Millis,
    },
    /// The request may or may not have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
    /// The request is not idempotent and needs this ticket.
    TicketNeeded {
        /// The ticket in its text form.
        ticket: String,
    },
    /// The ticket is malformed or was not issued by the run it names.
    TicketInvalid,
    /// The ticket was already used for a different request.
    TicketMismatch,
    /// The body of a non-idempotent request is too large to relay.
    BodyTooLarge,
}

impl Answer {
    /// Creates a refusal with the default retry delay.
    pub fn not_run(reason: NotRunReason) -> Answer {
        Answer::NotRun {
            reason,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// Creates an answer for an unknown outcome.
    pub fn unknown(reason: UnknownReason) -> Answer {
        Answer::Unknown { reason }
    }

    /// Returns the approximate size in memory, in bytes.
    pub fn size(&self) -> usize {
        let response = match self {
            Answer::Answered(response) => response.size(),
            _ => 0,
        };
        size_of::<Answer>() + response
    }

    /// Returns the metric that counts answers of this kind.
    pub fn counter(&self) -> Counter {
        match self {
            Answer::Answered(_) => Counter::RequestAnswered,
            Answer::NotRun { reason, .. } => reason.counter(),
            Answer::Unknown { reason } => reason.counter(),
            Answer::TicketNeeded { .. } => Counter::RequestTicketNeeded,
            Answer::TicketInvalid => Counter::RequestTicketInvalid,
            Answer::TicketMismatch => Counter::RequestTicketMismatch,
            Answer::BodyTooLarge => Counter::RequestBodyTooLarge,
        }
    }
}

impl NotRunReason {
    fn counter(self) -> Counter {
        match self {
            NotRunReason::NotConnected => Counter::RequestRefusedNotConnected,
            NotRunReason::Shed => Counter::RequestRefusedShed,
            NotRunReason::DeadlinePassed => Counter::RequestRefusedDeadline,
            NotRunReason::NoSlot => Counter::RequestRefusedNoSlot,
            NotRunReason::NoBackend => Counter::RequestRefusedNoBackend,
            NotRunReason::NoService => Counter::RequestRefusedNoService,
            NotRunReason::Stopping => Counter::RequestRefusedStopping,
            NotRunReason::TicketExpired => Counter::RequestRefusedTicketExpired,
        }
    }
}

impl UnknownReason {
    fn counter(self) -> Counter {
        match self {
            UnknownReason::Timeout => Counter::RequestUnknownTimeout,
            UnknownReason::ConnectionLost => Counter::RequestUnknownConnectionLost,
            UnknownReason::VmGone => Counter::RequestUnknownVmGone,
            UnknownReason::DataCentreOut => Counter::RequestUnknownDataCentreOut,
            UnknownReason::Stopping => Counter::RequestUnknownStopping,
            UnknownReason::TicketForgotten => Counter::RequestUnknownTicketForgotten,
            UnknownReason::AnswerForgotten => Counter::RequestUnknownAnswerForgotten,
        }
    }
}
