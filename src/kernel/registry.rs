//! Registry that maps service names to actor mailboxes.

use std::{
    any::Any,
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use actix::{
    Message,
    Recipient, //
};
use derive_more::{
    Display,
    Error, //
};

/// Error of a mailbox lookup.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum RegistryError {
    /// No service is registered under this name.
    #[display("service {name:?} is not registered; start it before the services that use it")]
    NotRegistered {
        /// The name that was looked up.
        name: &'static str,
    },
    /// The service is registered for another message type.
    #[display("service {name:?} does not accept this message type; check the name")]
    MessageTypeMismatch {
        /// The name that was looked up.
        name: &'static str,
    },
}

/// A [`Recipient`] with its message type erased.
type AnyMailbox = Box<dyn Any + Send>;

/// Mailboxes of the services of one process, by name. Clones share the entries.
#[derive(Clone, Default)]
pub struct Registry {
    entries: Arc<Mutex<BTreeMap<&'static str, AnyMailbox>>>,
}

impl Registry {
    /// Registers the mailbox of the service `name`, replacing any earlier one.
    pub fn register<M>(&self, name: &'static str, mailbox: Recipient<M>)
    where
        M: Message + Send + 'static,
        M::Result: Send,
    {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(name, Box::new(mailbox));
    }

    /// Returns the mailbox of the service `name`.
    ///
    /// # Errors
    ///
    /// Fails if the service is not registered or accepts another message type.
    pub fn find<M>(&self, name: &'static str) -> Result<Recipient<M>, RegistryError>
    where
        M: Message + Send + 'static,
        M::Result: Send,
    {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = entries
            .get(name)
            .ok_or(RegistryError::NotRegistered { name })?;
        entry
            .downcast_ref::<Recipient<M>>()
            .cloned()
            .ok_or(RegistryError::MessageTypeMismatch { name })
    }
}
