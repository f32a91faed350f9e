//! The objects of the platform.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

/// An object with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// Increases with each write to any object.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Precondition {
    /// Nothing.
    None,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// All objects.
#[derive(Default)]
pub(super) struct Store {
    last_version: u64,
    objects: BTreeMap<String, Object>,
}

impl Store {
    /// Returns the version of the object `key`, or zero if there is none.
    pub(super) fn version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |o| o.version)
    }

    /// Returns the object `key`.
    pub(super) fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    /// Returns the objects of `kind` by name.
    pub(super) fn list(&self, kind: &str) -> BTreeMap<String, Object> {
        let prefix = format!("{kind}/");
        let named = |(key, object): (&String, &Object)| {
            let name = key.strip_prefix(&prefix)?;
            Some((name.to_owned(), object.clone()))
        };
        self.objects.iter().filter_map(named).collect()
    }

    /// Writes the object `key`. Returns `None` if the precondition fails.
    pub(super) fn put(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Value,
    ) -> Option<Object> {
        let current = self.version(key);
        let holds = match precondition {
            Precondition::None => true,
            Precondition::Absent => current == 0,
            Precondition::Version(version) => current == version && version != 0,
        };
        if !holds {
            return None;
        }
        self.last_version += 1;
        let object = Object {
            version: self.last_version,
            value,
        };
        self.objects.insert(key.to_owned(), object.clone());
        Some(object)
    }
}
