//! The headers that the system reads, writes and passes on.

use actix_web::http::header::{
    self,
    HeaderMap, //
};
use bytes::Bytes;

use crate::core::request::{
    Header,
    Headers, //
};

/// Carries a caller's deadline, in milliseconds from now.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// Carries a ticket for a request that is not idempotent.
pub const TICKET_HEADER: &str = "x-ticket";

/// Says of a request without an answer of a backend server whether it ran:
/// `not-run`, `unknown`, or `rejected` if only this call surely did not run.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Says when to come back, in milliseconds. `Retry-After` has whole seconds.
pub const RETRY_AFTER_MS_HEADER: &str = "x-retry-after-ms";

/// Carries the time, in milliseconds since the Unix epoch, after which a
/// backend server must not start a request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// By this header a backend server says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Returns the headers of a message that go on to the other side.
pub fn end_to_end(all: &HeaderMap) -> Headers {
    let named = connection_options(all);
    all.iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| !named.iter().any(|n| n == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns the header names that `Connection` lists.
fn connection_options(all: &HeaderMap) -> Vec<String> {
    all.get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// Tells whether a header belongs to one connection only, or is the system's own.
fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "content-length"
            | "expect"
            | "host"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | TIMEOUT_HEADER
            | TICKET_HEADER
            | DEADLINE_HEADER
    )
}
