//! The object store of the emulated platform.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

/// A versioned object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// The version, taken from a counter that every write to any object
    /// increments.
    pub version: u64,
    /// The JSON value.
    pub value: Value,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Precondition {
    /// Always.
    None,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// All objects, by `KIND/NAME`.
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
        let strip_kind = |(key, object): (&String, &Object)| {
            let name = key.strip_prefix(&prefix)?;
            Some((name.to_owned(), object.clone()))
        };
        self.objects.iter().filter_map(strip_kind).collect()
    }

    /// Writes the object `key`. Returns `None` if the precondition fails.
    pub(super) fn put(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Value,
    ) -> Option<Object> {
        let current = self.version(key);
        let is_met = match precondition {
            Precondition::None => true,
            Precondition::Absent => current == 0,
            Precondition::Version(version) => current == version && version != 0,
        };
        if !is_met {
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
