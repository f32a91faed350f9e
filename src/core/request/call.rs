//! Requests as callers hand them in.

use derive_more::Display;

use crate::{
    core::{
        names::ServiceId,
        request::http::HttpRequest, //
    },
    kernel::clock::Time,
};

/// Identifies a caller's request within one run of the process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A request that a caller has handed to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifies the request.
    pub id: CallId,
    /// The service that it is for.
    pub service: ServiceId,
    /// The request.
    pub request: HttpRequest,
    /// The ticket that the caller presented, as text.
    pub ticket: Option<String>,
    /// When the caller gives up.
    pub deadline: Time,
}
