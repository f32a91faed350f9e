//! Calls of operators.

use serde::Serialize;
use serde_json::Value;

use crate::core::{
    intent::change::Intent,
    names::PlanId, //
};

/// Identifies an operator's call within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdminCallId(pub u64);

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminCall {
    /// Identifies the call.
    pub id: AdminCallId,
    /// What to do.
    pub op: AdminOp,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminOp {
    /// The generation in force on each VM.
    Status,
    /// The services with their backend servers.
    Services,
    /// A plan for an intent. Nothing changes yet.
    MakePlan(Intent),
    /// A plan that was made.
    ShowPlan(PlanId),
    /// The confirmation of a plan.
    Confirm(PlanId),
}

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminReply {
    /// The call that is answered.
    pub id: AdminCallId,
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Value,
}

/// An answer before it is tied to its call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reply {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The body.
    pub(super) body: Value,
}

impl Reply {
    /// Answers with `body`.
    pub(super) fn new(status: u16, body: &impl Serialize) -> Reply {
        Reply {
            status,
            body: serde_json::to_value(body).unwrap_or_default(),
        }
    }

    /// Answers with an error and what to do about it.
    pub(super) fn error(status: u16, error: impl ToString, remedy: &str) -> Reply {
        let body = ErrorBody {
            error: error.to_string(),
            remedy: remedy.to_owned(),
        };
        Reply::new(status, &body)
    }

    /// Ties the answer to its call.
    pub(super) fn to(self, id: AdminCallId) -> AdminReply {
        AdminReply {
            id,
            status: self.status,
            body: self.body,
        }
    }
}

/// The body of an answer that reports an error.
#[derive(Clone, Debug, Serialize)]
struct ErrorBody {
    error: String,
    remedy: String,
}

/// HTTP status codes of the answers.
pub(super) mod status {
    /// The call did what it was asked.
    pub(in crate::core::intent) const OK: u16 = 200;
    /// A plan was stored.
    pub(in crate::core::intent) const CREATED: u16 = 201;
    /// There is no such plan.
    pub(in crate::core::intent) const NOT_FOUND: u16 = 404;
    /// Another plan was confirmed first, or nothing would change.
    pub(in crate::core::intent) const CONFLICT: u16 = 409;
    /// It is no longer known whether the plan took effect.
    pub(in crate::core::intent) const GONE: u16 = 410;
    /// The intent makes no sense.
    pub(in crate::core::intent) const UNPROCESSABLE: u16 = 422;
    /// The platform did not answer, and nothing was done.
    pub(in crate::core::intent) const UNAVAILABLE: u16 = 503;
    /// The outcome could not be learnt.
    pub(in crate::core::intent) const UNKNOWN: u16 = 504;
}
