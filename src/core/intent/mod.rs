//! Operators' intents, plans and the configuration in force.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        action::Action,
        configuration::Configuration,
        cx::Cx,
        names::VmId,
        notice::Notice, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often the configuration is read while no watch is open.
pub const READ_INTERVAL: Millis = Millis::from_secs(1);

/// The platform object that holds the configuration in force.
pub const CONFIGURATION_KEY: &str = "configurations/current";

/// Identifies a call to the platform within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
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

/// Identifies an operator's call within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AdminCallId(pub u64);

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminCall {
    /// Identifies the call.
    pub id: AdminCallId,
    /// What to do.
    pub op: AdminOp,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminOp {
    /// The generation in force on each VM.
    Status,
}

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminReply {
    /// The call that is answered.
    pub id: AdminCallId,
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: serde_json::Value,
}

/// A message about configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IntentMessage {
    /// A placeholder that is never sent.
    Nothing,
}

/// The state machine of intents and configuration.
#[derive(Debug, Default)]
pub struct Intents {
    current: Arc<Configuration>,
    next_read: Time,
    next_call: u64,
}

impl Intents {
    /// Starts with no configuration.
    pub fn open() -> Intents {
        Intents::default()
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Does what has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_read {
            return;
        }
        self.next_read = cx.now + READ_INTERVAL;
        let id = PlatformCallId(self.next_call);
        self.next_call += 1;
        cx.act(Action::Platform(PlatformCall {
            id,
            op: PlatformOp::Get {
                key: CONFIGURATION_KEY.to_owned(),
            },
        }));
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, _cx: &mut Cx<'_>, _from: &VmId, _msg: IntentMessage) {}

    /// Takes in the end of a call to the platform.
    pub fn on_platform(&mut self, cx: &mut Cx<'_>, _id: PlatformCallId, outcome: PlatformOutcome) {
        let PlatformOutcome::Object(object) = outcome else {
            return;
        };
        match serde_json::from_value::<Configuration>(object.value) {
            Ok(next) => self.apply(cx, next),
            Err(e) => cx.note(Notice::ConfigurationRefused, e.to_string()),
        }
    }

    /// Takes in a call of an operator.
    pub fn on_admin(&mut self, cx: &mut Cx<'_>, call: AdminCall) {
        let body = serde_json::json!({ "generation": self.current.generation });
        cx.act(Action::Admin(AdminReply {
            id: call.id,
            status: 200,
            body,
        }));
    }

    fn apply(&mut self, cx: &mut Cx<'_>, next: Configuration) {
        if next.generation <= self.current.generation {
            return;
        }
        cx.note(
            Notice::ConfigurationApplied,
            format!("generation {}", next.generation),
        );
        self.current = Arc::new(next);
    }
}
