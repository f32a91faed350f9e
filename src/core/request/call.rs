//! Requests received from callers.

use derive_more::Display;

use crate::{
    core::{
        names::ServiceId,
        request::http::HttpRequest, //
    },
    kernel::clock::Time,
};

/// Number of a caller's request, unique within one run of the process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A request that a caller sent to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Unique within one run of the process.
    pub id: CallId,
    /// The requested service, which may not be configured.
    pub service: ServiceId,
    /// The HTTP request without this load balancer's own headers.
    pub request: HttpRequest,
    /// Text of the ticket header, not yet validated.
    pub ticket: Option<String>,
    /// When the caller stops waiting.
    pub deadline: Time,
}
