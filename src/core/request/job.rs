//! A request that this VM runs.

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

/// The most attempts at one request.
const MAX_ATTEMPTS: usize = 3;

/// Who gets the final answer of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// A caller of this VM.
    Call(CallId),
    /// Those who wait for the outcome of a ticket.
    Ticket {
        /// Who issued it.
        issuer: Issuer,
        /// The ticket's number.
        number: u64,
    },
}

/// A request that this VM runs.
#[derive(Clone, Debug)]
pub struct Job {
    /// Who gets the final answer.
    pub owner: Owner,
    /// The service.
    pub service: ServiceId,
    /// The request.
    pub request: HttpRequest,
    /// When the caller gives up.
    pub deadline: Time,
    /// The backend servers that were tried.
    pub tried: SmallVec<[BackendId; 2]>,
    /// Why the last attempt surely did not run, if it did not.
    not_run: Option<NotRunReason>,
    /// Why the request may have run, if it may have.
    ///
    /// Invariant: never reset, so that the request is never called "not run".
    may_have_run: Option<UnknownReason>,
}

impl Job {
    /// Creates a job that was not tried yet.
    pub fn new(owner: Owner, service: ServiceId, request: HttpRequest, deadline: Time) -> Job {
        Job {
            owner,
            service,
            request,
            deadline,
            tried: SmallVec::new(),
            not_run: None,
            may_have_run: None,
        }
    }

    /// Takes in the failure of the attempt at `backend`.
    pub fn on_failure(&mut self, backend: BackendId, outcome: &AttemptOutcome) {
        self.tried.push(backend);
        match outcome {
            AttemptOutcome::Answered(_) => {}
            AttemptOutcome::NotRun(reason) => self.not_run = Some(*reason),
            AttemptOutcome::Unknown(reason) => self.may_have_run = Some(*reason),
        }
    }

    /// Tells whether another attempt is allowed by what is known of the earlier
    /// ones.
    pub fn may_retry(&self) -> bool {
        let surely_not_run = self.may_have_run.is_none();
        self.tried.len() < MAX_ATTEMPTS && (surely_not_run || self.request.is_idempotent())
    }

    /// Returns the final answer if no further attempt is made. `reason` is why,
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
