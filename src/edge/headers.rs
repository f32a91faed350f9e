//! The HTTP headers that the load balancer reads, sets and forwards.

use actix_web::http::header::{
    self,
    HeaderMap, //
};
use bytes::Bytes;

use crate::core::request::{
    Header,
    Headers, //
};

/// A caller's timeout in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The ticket of a request that is not idempotent.
pub const TICKET_HEADER: &str = "x-ticket";

/// Whether a request ran, in a response that does not come from a backend
/// server: `not-run`, `unknown`, or `rejected` if it is certain only that this
/// call did not run.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// The retry delay in milliseconds, as `Retry-After` has only whole seconds.
pub const RETRY_AFTER_MS_HEADER: &str = "x-retry-after-ms";

/// The time, in milliseconds since the Unix epoch, after which a backend server
/// must not start a request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Set by a backend server that did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Returns the end-to-end headers, which are forwarded to the other side.
pub fn end_to_end(headers: &HeaderMap) -> Headers {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| !options.iter().any(|n| n == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns the header names listed in `Connection`, in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// Returns whether a header applies to one connection only, or is set by the
/// load balancer itself.
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
