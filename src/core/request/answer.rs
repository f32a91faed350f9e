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

/// When a refused caller should come back if nothing better is known.
pub const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Why a request surely did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// No connection to a backend server could be made.
    #[display("no connection to a backend server")]
    NotConnected,
    /// The backend server refused the request because of its load.
    #[display("the backend server is overloaded")]
    Shed,
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    DeadlinePassed,
    /// Every slot of the service is busy.
    #[display("every slot is busy")]
    NoSlot,
    /// No backend server of the service takes new work.
    #[display("no backend server takes new work")]
    NoBackend,
    /// No service has the name that the request gives.
    #[display("no service has this name; see the Host header")]
    NoService,
    /// This VM is stopping.
    #[display("this VM is stopping; go to another one")]
    Stopping,
    /// The ticket has expired unused.
    #[display("the ticket has expired unused; get a new one")]
    TicketExpired,
}

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The answer did not come in time.
    #[display("the answer did not come in time")]
    Timeout,
    /// The connection was lost after the request was sent.
    #[display("the connection was lost after the request was sent")]
    ConnectionLost,
    /// The VM that ran the request is gone.
    #[display("the VM that ran the request is gone")]
    VmGone,
    /// The data centre of the backend server was taken out.
    #[display("the data centre of the backend server was taken out")]
    DataCentreOut,
    /// This VM is stopping and does not decide about the ticket.
    #[display("this VM is stopping; repeat with the same ticket at another one")]
    Stopping,
    /// The ticket is so old that nothing is known of it any more.
    #[display("the ticket is too old for its outcome to be known")]
    TicketForgotten,
    /// The request ended and its answer has been discarded.
    #[display("the request ended, but its answer is no longer kept")]
    AnswerForgotten,
}

/// The final answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The backend server's answer.
    Answered(HttpResponse),
    /// The request surely did not run, and its ticket is void.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Millis,
    },
    /// Whether the request ran is not known.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
    /// The request is not idempotent and needs this ticket.
    TicketNeeded {
        /// The ticket, as text.
        ticket: String,
    },
    /// The ticket cannot be read.
    TicketInvalid,
    /// The ticket has been used for another request.
    TicketMismatch,
    /// The body is larger than that of a non-idempotent request may be.
    BodyTooLarge,
}

impl Answer {
    /// Creates a refusal.
    pub fn not_run(reason: NotRunReason) -> Answer {
        Answer::NotRun {
            reason,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// Creates an answer that says that the outcome is not known.
    pub fn unknown(reason: UnknownReason) -> Answer {
        Answer::Unknown { reason }
    }

    /// Returns roughly how many bytes the answer occupies.
    pub fn size(&self) -> usize {
        let response = match self {
            Answer::Answered(response) => response.size(),
            _ => 0,
        };
        size_of::<Answer>() + response
    }

    /// Returns the counter of such answers.
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
