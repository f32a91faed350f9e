//! Encoding of messages between VMs: a version byte, then the postcard format.
//!
//! During a roll-out, VMs of two builds run side by side. Messages of another
//! version are refused, so that neither build takes one for something else; the
//! VMs of each build then read the store themselves.

use derive_more::{
    Display,
    Error,
    From, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Version of all messages. Builds before the first version sent a number below
/// 4 in its place.
const VERSION: u8 = 20;

/// An error in a message of another VM.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum MessageError {
    /// The sender runs another build.
    #[display("the message has version {got}, not {VERSION}; finish the roll-out")]
    #[from(ignore)]
    Version {
        /// First byte of the message; 0 if it is empty.
        got: u8,
    },
    /// The rest is not a message.
    #[display("the message is malformed: {source}; check the sender")]
    Malformed {
        /// Cause.
        source: postcard::Error,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message cannot be serialized.
pub fn encode(msg: &impl Serialize) -> Result<Vec<u8>, MessageError> {
    Ok(postcard::to_extend(msg, vec![VERSION])?)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message has another version or is malformed.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, MessageError> {
    match buf.split_first() {
        Some((&VERSION, body)) => Ok(postcard::from_bytes(body)?),
        first => Err(MessageError::Version {
            got: first.map_or(0, |(version, _)| *version),
        }),
    }
}
