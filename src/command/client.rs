//! Calls the admin API of an entry VM.

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

/// How long to wait for the answer of one VM.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// The largest answer, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// A call of the admin API has failed.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No address was given.
    #[display("no entry VM to ask; give --admin IP:PORT")]
    NoAddress,
    /// No VM answered.
    #[display("no entry VM answered: {tried}; check the addresses and that the VMs run")]
    NoAnswer {
        /// What happened at each address.
        tried: String,
    },
    /// The VM refused the call.
    #[display("{error}; {remedy}")]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// Why.
        error: String,
        /// What to do about it.
        remedy: String,
        /// The faults of the objects, one a field.
        faults: Vec<String>,
    },
    /// The answer makes no sense.
    #[display("the answer cannot be read: {reason}; use the same version on all VMs")]
    Malformed {
        /// Why.
        reason: String,
    },
    /// A file cannot be used.
    #[display("{path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
}

impl ClientError {
    /// Returns the exit code that tells the failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            ClientError::NoAddress | ClientError::File { .. } => EXIT_USAGE,
            ClientError::NoAnswer { .. } => EXIT_NO_ANSWER,
            ClientError::Refused { status: 504, .. } => EXIT_UNKNOWN,
            ClientError::Refused { .. } | ClientError::Malformed { .. } => EXIT_FAILED,
        }
    }

    /// Prints the error for people.
    pub fn print(&self) {
        eprintln!("{self}");
        if let ClientError::Refused { faults, .. } = self {
            for fault in faults {
                eprintln!("  {fault}");
            }
        }
    }
}

/// Prints the error of an operator's verb, if any. Returns the exit code.
pub fn finish(result: Result<(), ClientError>) -> u8 {
    match result {
        Ok(()) => EXIT_OK,
        Err(e) => {
            e.print();
            e.exit_code()
        }
    }
}

/// A call of the admin API.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body; null for none.
    pub body: Value,
}

impl AdminRequest {
    /// Reads `path`.
    pub fn get(path: impl Into<String>) -> AdminRequest {
        AdminRequest {
            method: Method::GET,
            path: path.into(),
            body: Value::Null,
        }
    }

    /// Sends `body` to `path`.
    pub fn post(path: impl Into<String>, body: Value) -> AdminRequest {
        AdminRequest {
            method: Method::POST,
            path: path.into(),
            body,
        }
    }
}

/// Calls the first VM of `addresses` that can answer.
///
/// The next VM is asked when one cannot be reached, cannot reach the platform
/// or cannot learn the outcome. That is safe, because a repeated confirmation
/// takes effect once.
///
/// # Errors
///
/// Fails if no VM answers or the last one refuses the call.
pub fn call(addresses: &[SocketAddr], req: &AdminRequest) -> Result<Value, ClientError> {
    if addresses.is_empty() {
        return Err(ClientError::NoAddress);
    }
    actix_rt::System::new().block_on(call_in_turn(addresses, req))
}

/// Decodes an answer.
///
/// # Errors
///
/// Fails if `body` is not what this version expects.
pub fn decode<T: DeserializeOwned>(body: Value) -> Result<T, ClientError> {
    serde_json::from_value(body).map_err(|e| ClientError::Malformed {
        reason: e.to_string(),
    })
}

async fn call_in_turn(addresses: &[SocketAddr], req: &AdminRequest) -> Result<Value, ClientError> {
    let client = Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let mut tried = Vec::new();
    let mut refused = None;
    for address in addresses {
        match call_one(&client, *address, req).await {
            Ok(body) => return Ok(body),
            Err(Failure::Transport(e)) => tried.push(format!("{address}: {e}")),
            Err(Failure::Answer(e)) => {
                let is_last_word =
                    !matches!(&e, ClientError::Refused { status, .. } if *status >= 500);
                if is_last_word {
                    return Err(e);
                }
                refused = Some(most_careful(refused, e));
            }
        }
    }
    let tried = tried.join(", ");
    Err(refused.unwrap_or(ClientError::NoAnswer { tried }))
}

/// An unknown outcome at one VM outweighs another VM's "nothing was done".
fn most_careful(earlier: Option<ClientError>, later: ClientError) -> ClientError {
    match earlier {
        Some(earlier) if earlier.exit_code() == EXIT_UNKNOWN => earlier,
        _ => later,
    }
}

enum Failure {
    Transport(String),
    Answer(ClientError),
}

impl From<SendRequestError> for Failure {
    fn from(e: SendRequestError) -> Failure {
        Failure::Transport(e.to_string())
    }
}

async fn call_one(
    client: &Client,
    address: SocketAddr,
    req: &AdminRequest,
) -> Result<Value, Failure> {
    let url = format!("http://{address}{}", req.path);
    let sent = client.request(req.method.clone(), url);
    let mut response = match &req.body {
        Value::Null => sent.send().await?,
        body => sent.send_json(body).await?,
    };
    let body = response.body().limit(MAX_ANSWER).await;
    let body = body.map_err(|e| Failure::Transport(e.to_string()))?;
    read(response.status(), &body).map_err(Failure::Answer)
}

fn read(status: StatusCode, body: &[u8]) -> Result<Value, ClientError> {
    let value = serde_json::from_slice::<Value>(body).unwrap_or_default();
    if status.is_success() {
        return Ok(value);
    }
    let text = |field: &str| {
        let found = value.get(field).and_then(Value::as_str);
        found.unwrap_or_default().to_owned()
    };
    let faults = value.get("faults").and_then(Value::as_array);
    let faults = faults.into_iter().flatten().filter_map(Value::as_str);
    let error = match text("error") {
        empty if empty.is_empty() => status.to_string(),
        error => error,
    };
    Err(ClientError::Refused {
        status: status.as_u16(),
        error,
        remedy: text("remedy"),
        faults: faults.map(str::to_owned).collect(),
    })
}
