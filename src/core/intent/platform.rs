//! Calls to the platform's object API.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::kernel::clock::Millis;

/// The key of the platform object that holds the record.
pub const CONFIGURATION_KEY: &str = "configurations/current";

/// How long the I/O layer waits for an answer, in addition to a watch's own
/// timeout.
///
/// The state machines have shorter timeouts. They still use an answer that
/// comes later, so that changes arrive even from a slow platform.
pub const ANSWER_TIMEOUT: Millis = Millis::from_secs(45);

/// The largest value that the platform stores, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Identifies a call to the platform within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlatformCallId(pub u64);

/// A call to the platform's object API.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformCall {
    /// Identifies the call.
    pub id: PlatformCallId,
    /// The requested operation.
    pub op: PlatformOp,
}

/// An operation on a platform object. A key has the form `kind/name`.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformOp {
    /// Reads an object.
    Get {
        /// The key of the object.
        key: String,
    },
    /// Writes an object if its version is still `version`; zero means that it
    /// must not exist.
    Put {
        /// The key of the object.
        key: String,
        /// The version that the write replaces.
        version: u64,
        /// The new value.
        value: serde_json::Value,
    },
    /// Waits until an object has a version other than `version`.
    Watch {
        /// The key of the object.
        key: String,
        /// The version that the caller knows.
        version: u64,
        /// How long the platform waits for a change.
        timeout: Millis,
    },
}

impl PlatformOp {
    /// Returns a read of the configuration in force.
    pub fn read_configuration() -> PlatformOp {
        PlatformOp::Get {
            key: CONFIGURATION_KEY.to_owned(),
        }
    }

    /// Returns the key of the object.
    pub fn key(&self) -> &str {
        match self {
            PlatformOp::Get { key }
            | PlatformOp::Put { key, .. }
            | PlatformOp::Watch { key, .. } => key,
        }
    }
}

/// An object as the platform stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Increases with each write.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// The outcome of a platform call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformOutcome {
    /// The object as it is now.
    Object(StoredObject),
    /// The object does not exist.
    Absent,
    /// The object has another version than the one that the write replaces.
    Conflict,
    /// A watch ended without a change.
    Unchanged,
    /// The platform refused the call.
    Refused(String),
    /// No answer; a write may or may not have taken effect.
    NoAnswer,
}
