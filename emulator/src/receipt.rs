//! The request header and answer format that callers and backend servers share.

use serde::{
    Deserialize,
    Serialize, //
};

/// Carries the identifier that the caller gave to a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The JSON body of a backend server's answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// The name of the backend server.
    pub backend: String,
    /// The service of the backend server.
    pub service: String,
    /// The caller's identifier of the request.
    pub id: String,
    /// The body of the request.
    pub body: String,
}
