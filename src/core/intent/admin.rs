//! Operators' calls and the answers to them.

use serde::Serialize;
use serde_json::Value;

use crate::core::{
    intent::change::Intent,
    names::PlanId, //
};

/// Identifies an operator's call within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdminCallId(pub u64);

/// An operator's call.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminCall {
    /// Identifies the call.
    pub id: AdminCallId,
    /// The requested operation.
    pub op: AdminOp,
}

/// An operation that an operator requests.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminOp {
    /// Reports the generation in force on each VM.
    Status,
    /// Lists the services with their backend servers.
    Services,
    /// Makes a plan for an intent, which changes nothing until it is confirmed.
    MakePlan(Intent),
    /// Shows a stored plan and its state.
    ShowPlan(PlanId),
    /// Confirms a plan.
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

/// An answer that is not yet addressed to a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reply {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The body.
    pub(super) body: Value,
}

impl Reply {
    /// Creates an answer with `body` as JSON.
    pub(super) fn new(status: u16, body: &impl Serialize) -> Reply {
        Reply {
            status,
            body: serde_json::to_value(body).unwrap_or_default(),
        }
    }

    /// Creates an answer with an error and a remedy.
    pub(super) fn error(status: u16, error: impl ToString, remedy: &str) -> Reply {
        let body = ErrorBody {
            error: error.to_string(),
            remedy: remedy.to_owned(),
        };
        Reply::new(status, &body)
    }

    /// Addresses the answer to the call `id`.
    pub(super) fn for_call(self, id: AdminCallId) -> AdminReply {
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
    /// The call succeeded.
    pub(in crate::core::intent) const OK: u16 = 200;
    /// A plan was stored.
    pub(in crate::core::intent) const CREATED: u16 = 201;
    /// The plan, or an object that the intent names, does not exist.
    pub(in crate::core::intent) const NOT_FOUND: u16 = 404;
    /// Another plan was confirmed first, or nothing would change.
    pub(in crate::core::intent) const CONFLICT: u16 = 409;
    /// It is no longer known whether the plan took effect.
    pub(in crate::core::intent) const GONE: u16 = 410;
    /// The intent is invalid, or the object to store is too large.
    pub(in crate::core::intent) const UNPROCESSABLE: u16 = 422;
    /// The platform did not answer, and nothing was done.
    pub(in crate::core::intent) const UNAVAILABLE: u16 = 503;
    /// The outcome is unknown.
    pub(in crate::core::intent) const UNKNOWN: u16 = 504;
}
