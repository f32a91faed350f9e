//! The registry in which services find each other by name.

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

/// A service's address could not be had.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum RegistryError {
    /// No service has the name.
    #[display("no service is called {name:?}; start it before those that call it")]
    NotRegistered {
        /// The name.
        name: &'static str,
    },
    /// The service takes another type of message.
    #[display("service {name:?} does not take this message; check the name")]
    MessageTypeMismatch {
        /// The name.
        name: &'static str,
    },
}

type Entry = Box<dyn Any + Send>;

/// Maps the names of services to their mailboxes.
#[derive(Clone, Default)]
pub struct Registry {
    entries: Arc<Mutex<BTreeMap<&'static str, Entry>>>,
}

impl Registry {
    /// Enters the mailbox of the service `name`. A later entry replaces an
    /// earlier one.
    pub fn register<M>(&self, name: &'static str, mailbox: Recipient<M>)
    where
        M: Message + Send + 'static,
        M::Result: Send,
    {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(name, Box::new(mailbox));
    }

    /// Finds the mailbox of the service `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such service or it takes another type of message.
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
