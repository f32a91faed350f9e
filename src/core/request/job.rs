//! A request on its way through queueing, attempts and retries.

use smallvec::SmallVec;

use crate::{
    core::{
        names::{
            BackendId,
            ServiceId, //
        },
        request::{
            answer::{
                Answer,
                NotRunReason,
                UnknownReason, //
            },
            attempt::AttemptOutcome,
            call::CallId,
            http::HttpRequest,
            ticket::Issuer, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;

/// Recipient of a job's final answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Recipient {
    /// A caller of this VM.
    Call(CallId),
    /// All waiters of a ticket.
    Ticket {
        /// Run that issued the ticket.
        issuer: Issuer,
        /// Ticket number within that run.
        number: u64,
    },
}

/// A request that this VM runs, with the results of its attempts.
#[derive(Clone, Debug)]
pub struct Job {
    /// Recipient of the final answer.
    pub recipient: Recipient,
    /// Service whose backend servers may run it.
    pub service: ServiceId,
    /// Sent unchanged in each attempt.
    pub request: HttpRequest,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Backend servers of the failed attempts.
    pub tried: SmallVec<[BackendId; 2]>,
    /// Reason of the last attempt that is known not to have run.
    not_run: Option<NotRunReason>,
    /// Reason of the last attempt that may have run.
    ///
    /// Invariant: never reset, so that the request is never reported as "not
    /// run".
    may_have_run: Option<UnknownReason>,
}

impl Job {
    /// Creates a job without attempts.
    pub fn new(
        recipient: Recipient,
        service: ServiceId,
        request: HttpRequest,
        deadline: Time,
    ) -> Job {
        Job {
            recipient,
            service,
            request,
            deadline,
            tried: SmallVec::new(),
            not_run: None,
            may_have_run: None,
        }
    }

    /// Records a failed attempt at `backend`.
    pub fn on_failure(&mut self, backend: BackendId, outcome: &AttemptOutcome) {
        self.tried.push(backend);
        match outcome {
            AttemptOutcome::Answered(_) => {}
            AttemptOutcome::NotRun(reason) => self.not_run = Some(*reason),
            AttemptOutcome::Unknown(reason) => self.may_have_run = Some(*reason),
        }
    }

    /// Returns whether another attempt is safe and within [`MAX_ATTEMPTS`].
    pub fn may_retry(&self) -> bool {
        let known_not_run = self.may_have_run.is_none();
        self.tried.len() < MAX_ATTEMPTS && (known_not_run || self.request.is_idempotent())
    }

    /// Returns the final answer when no further attempt is made. `reason` applies
    /// if no attempt has failed.
    pub fn failed(&self, reason: NotRunReason, retry_after: Millis) -> Answer {
        match self.may_have_run {
            Some(reason) => Answer::Unknown { reason },
            None => Answer::NotRun {
                reason: self.not_run.unwrap_or(reason),
                retry_after,
            },
        }
    }
}
