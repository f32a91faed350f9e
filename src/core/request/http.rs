//! Fully buffered HTTP messages.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// An HTTP header field.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Raw value, not necessarily UTF-8.
    pub value: Bytes,
}

/// Header fields; a name may occur more than once.
pub type Headers = Vec<Header>;

/// A fully buffered HTTP request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: String,
    /// Path including the query.
    pub path: String,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns whether the method is idempotent by RFC 9110, so that a retry is
    /// safe.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            self.method.as_str(),
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        )
    }
}

/// A fully buffered HTTP response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the run number of the backend server's process from
    /// [`RUN_HEADER`].
    pub fn backend_run(&self) -> Option<u64> {
        let header = self.headers.iter().find(|h| h.name == RUN_HEADER)?;
        std::str::from_utf8(&header.value).ok()?.parse().ok()
    }

    /// Returns the approximate size of headers and body, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Response header with the run number of the backend server's process.
pub const RUN_HEADER: &str = "x-run";
