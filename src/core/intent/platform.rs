//! Calls to the platform's object API.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::kernel::clock::Millis;

/// The platform object that holds the configuration in force.
pub const CONFIGURATION_KEY: &str = "configurations/current";

/// How long the edge waits for an answer, on top of a watch's own time.
///
/// The state machines have shorter timeouts of their own. They still use an
/// answer that comes later, so a slow platform is heard in the end.
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
    /// What to do.
    pub op: PlatformOp,
}

/// What to do at the platform. A key is a kind and a name, as `kind/name`.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformOp {
    /// Reads an object.
    Get {
        /// The object.
        key: String,
    },
    /// Writes an object if its version is still `version`; zero means that it
    /// must not exist.
    Put {
        /// The object.
        key: String,
        /// The version that the write rests on.
        version: u64,
        /// The new value.
        value: serde_json::Value,
    },
    /// Waits until an object has a version other than `version`.
    Watch {
        /// The object.
        key: String,
        /// The version that is known.
        version: u64,
        /// How long to wait.
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

    /// Returns the object that the call is about.
    pub fn key(&self) -> &str {
        match self {
            PlatformOp::Get { key }
            | PlatformOp::Put { key, .. }
            | PlatformOp::Watch { key, .. } => key,
        }
    }
}

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Increases with each write.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// How a call to the platform ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformOutcome {
    /// The object as it is now.
    Object(StoredObject),
    /// There is no such object.
    Absent,
    /// The object had another version than the write rested on.
    Conflict,
    /// A watch ended without a change.
    Unchanged,
    /// The platform refused the call.
    Refused(String),
    /// No answer; a write may or may not have taken effect.
    NoAnswer,
}
