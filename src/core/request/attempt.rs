//! Tries of requests at backend servers.

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

/// Identifies an attempt at a backend server within one run of the process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

/// One try of a request at one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The backend server's address for requests.
    pub to: SocketAddr,
    /// The request.
    pub request: HttpRequest,
    /// The backend server must not start the request after this.
    pub deadline: WallTime,
    /// How long to wait for the answer.
    pub timeout: Millis,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The backend server answered.
    Answered(HttpResponse),
    /// The backend server surely did not run the request.
    NotRun(NotRunReason),
    /// Whether the request ran is not known.
    Unknown(UnknownReason),
}
