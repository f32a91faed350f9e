//! HTTP messages, whole.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// One HTTP header.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// The headers of one message.
pub type Headers = Vec<Header>;

/// An HTTP request, whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Tells whether running the request twice has the effect of running it once.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            self.method.as_str(),
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        )
    }
}

/// An HTTP response, whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the run of the backend server, if the response names one.
    pub fn backend_run(&self) -> Option<u64> {
        let header = self.headers.iter().find(|h| h.name == RUN_HEADER)?;
        std::str::from_utf8(&header.value).ok()?.parse().ok()
    }

    /// Returns roughly how many bytes the response occupies.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Names the run of a backend server's process.
pub const RUN_HEADER: &str = "x-run";
