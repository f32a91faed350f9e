//! Attempts to run a request on a backend server.

use std::net::SocketAddr;

use derive_more::Display;

use crate::{
    core::request::{
        answer::{
            NotRunReason,
            UnknownReason, //
        },
        http::{
            HttpRequest,
            HttpResponse, //
        },
    },
    kernel::clock::{
        Millis,
        WallTime, //
    },
};

/// Attempt number, unique within one run of the process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

/// A single try of a request at one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Unique within one run of the process.
    pub id: AttemptId,
    /// Request address of the backend server.
    pub to: SocketAddr,
    /// The request to send.
    pub request: HttpRequest,
    /// Latest time at which the backend server may start the request.
    pub deadline: WallTime,
    /// Maximum wait for the answer.
    pub timeout: Millis,
}

/// Result of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The backend server answered.
    Answered(HttpResponse),
    /// The backend server is known not to have run the request.
    NotRun(NotRunReason),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}
