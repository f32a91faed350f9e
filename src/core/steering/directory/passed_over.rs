//! Objects of backend servers that get no new flows for what they say.

use derive_more::Display;

use crate::core::{
    names::ServiceId,
    steering::directory_entry::Entry, //
};

/// An object that is passed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PassedOver {
    /// Name of the object.
    pub name: String,
    /// Why.
    pub reason: PassedOverReason,
}

impl PassedOver {
    /// Reports a backend server whose service the active configuration does not name.
    pub(super) fn unnamed(entry: &Entry) -> PassedOver {
        PassedOver {
            name: entry.name.clone(),
            reason: PassedOverReason::UnnamedService(entry.server.service.clone()),
        }
    }
}

/// Why an object is passed over.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PassedOverReason {
    /// The named object counts for its backend server.
    #[display("the object {_0} counts for its backend server")]
    Rival(String),
    /// No route of the active configuration leads to its service.
    #[display("the configuration does not name its service {_0}")]
    UnnamedService(ServiceId),
}
