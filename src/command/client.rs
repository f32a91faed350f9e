//! Client of the entry VMs' admin API.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use awc::{
    Client,
    error::SendRequestError,
    http::{
        Method,
        StatusCode, //
    },
};
use derive_more::{
    Display,
    Error, //
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::command::{
    EXIT_FAILED,
    EXIT_NO_ANSWER,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_USAGE, //
};

/// Timeout of a request to one VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Error of an operator command.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No admin address was given.
    #[display("no admin address given; use --admin IP:PORT")]
    NoAddress,
    /// No VM responded.
    #[display(
        "no entry VM responded: {attempts}; check the addresses and that the VMs are running"
    )]
    NoAnswer {
        /// Each address with its transport error.
        attempts: String,
    },
    /// The VM rejected the request.
    #[display("{error}; {remedy}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Reason given by the VM.
        error: String,
        /// Suggested fix given by the VM.
        remedy: String,
        /// Invalid fields of the submitted objects, one per entry.
        faults: Vec<String>,
    },
    /// The response cannot be decoded.
    #[display("cannot decode the response: {reason}; run the same version on all VMs")]
    Malformed {
        /// Message of the decoder.
        reason: String,
    },
    /// An input file cannot be read or parsed.
    #[display("{path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Message of the I/O error or the parser.
        reason: String,
    },
}

impl ClientError {
    /// Returns the exit code of a command that fails with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            ClientError::NoAddress | ClientError::File { .. } => EXIT_USAGE,
            ClientError::NoAnswer { .. } => EXIT_NO_ANSWER,
            ClientError::Refused { status: 504, .. } => EXIT_UNKNOWN,
            ClientError::Refused { .. } | ClientError::Malformed { .. } => EXIT_FAILED,
        }
    }

    /// Prints the error and any invalid fields to standard error.
    pub fn print(&self) {
        eprintln!("{self}");
        if let ClientError::Refused { faults, .. } = self {
            for fault in faults {
                eprintln!("  {fault}");
            }
        }
    }
}

/// Prints the error of an operator command, if any, and returns the exit code.
pub fn report(result: Result<(), ClientError>) -> u8 {
    match result {
        Ok(()) => EXIT_OK,
        Err(e) => {
            e.print();
            e.exit_code()
        }
    }
}

/// A request to the admin API.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// HTTP method.
    pub method: Method,
    /// Path with a leading slash.
    pub path: String,
    /// JSON body; `Value::Null` sends no body.
    pub body: Value,
}

impl AdminRequest {
    /// Creates a GET request for `path`.
    pub fn get(path: impl Into<String>) -> AdminRequest {
        AdminRequest {
            method: Method::GET,
            path: path.into(),
            body: Value::Null,
        }
    }

    /// Creates a POST request that sends `body` to `path`.
    pub fn post(path: impl Into<String>, body: Value) -> AdminRequest {
        AdminRequest {
            method: Method::POST,
            path: path.into(),
            body,
        }
    }
}

/// Sends `req` to the VMs at `addresses` in turn until one handles it.
///
/// Tries the next VM after a transport error or a 5xx status, for instance when
/// a VM cannot reach the platform or does not know the outcome. Retrying is
/// safe because confirming a plan is idempotent.
///
/// # Errors
///
/// Fails if `addresses` is empty, no VM responds or the request is rejected.
pub fn call(addresses: &[SocketAddr], req: &AdminRequest) -> Result<Value, ClientError> {
    if addresses.is_empty() {
        return Err(ClientError::NoAddress);
    }
    actix_rt::System::new().block_on(try_each(addresses, req))
}

/// Decodes a response body.
///
/// # Errors
///
/// Fails if `body` does not have the structure of `T`.
pub fn decode<T: DeserializeOwned>(body: Value) -> Result<T, ClientError> {
    serde_json::from_value(body).map_err(|e| ClientError::Malformed {
        reason: e.to_string(),
    })
}

async fn try_each(addresses: &[SocketAddr], req: &AdminRequest) -> Result<Value, ClientError> {
    let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let mut attempts = Vec::new();
    let mut refused = None;
    for address in addresses {
        match call_vm(&client, *address, req).await {
            Ok(body) => return Ok(body),
            Err(CallError::Transport(e)) => attempts.push(format!("{address}: {e}")),
            Err(CallError::Response(e)) => {
                let is_final = !matches!(&e, ClientError::Refused { status, .. } if *status >= 500);
                if is_final {
                    return Err(e);
                }
                refused = Some(prefer_unknown(refused, e));
            }
        }
    }
    let attempts = attempts.join(", ");
    Err(refused.unwrap_or(ClientError::NoAnswer { attempts }))
}

/// Keeps the earlier error if its outcome is unknown, since a later VM's reply
/// that nothing was done does not settle it.
fn prefer_unknown(earlier: Option<ClientError>, later: ClientError) -> ClientError {
    match earlier {
        Some(earlier) if earlier.exit_code() == EXIT_UNKNOWN => earlier,
        _ => later,
    }
}

enum CallError {
    Transport(String),
    Response(ClientError),
}

impl From<SendRequestError> for CallError {
    fn from(e: SendRequestError) -> CallError {
        CallError::Transport(e.to_string())
    }
}

async fn call_vm(
    client: &Client,
    address: SocketAddr,
    req: &AdminRequest,
) -> Result<Value, CallError> {
    let url = format!("http://{address}{}", req.path);
    let builder = client.request(req.method.clone(), url);
    let mut response = match &req.body {
        Value::Null => builder.send().await?,
        body => builder.send_json(body).await?,
    };
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|e| CallError::Transport(e.to_string()))?;
    parse_response(response.status(), &body).map_err(CallError::Response)
}

fn parse_response(status: StatusCode, body: &[u8]) -> Result<Value, ClientError> {
    let value = serde_json::from_slice::<Value>(body).unwrap_or_default();
    if status.is_success() {
        return Ok(value);
    }
    let text_of = |field: &str| {
        let text = value.get(field).and_then(Value::as_str);
        text.unwrap_or_default().to_owned()
    };
    let faults = value.get("faults").and_then(Value::as_array);
    let faults = faults.into_iter().flatten().filter_map(Value::as_str);
    let error = match text_of("error") {
        empty if empty.is_empty() => status.to_string(),
        error => error,
    };
    Err(ClientError::Refused {
        status: status.as_u16(),
        error,
        remedy: text_of("remedy"),
        faults: faults.map(str::to_owned).collect(),
    })
}
