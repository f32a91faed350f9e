//! What callers and backend servers agree on for a request.

use serde::{
    Deserialize,
    Serialize, //
};

/// Carries the caller's identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The body of a backend server's answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// The backend server.
    pub backend: String,
    /// The service of the backend server.
    pub service: String,
    /// The caller's identifier of the request.
    pub id: String,
    /// The body of the request.
    pub body: String,
}
