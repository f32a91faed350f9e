//! Identifiers of objects and processes.

use std::sync::Arc;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name without validating it.
            pub fn new(name: impl AsRef<str>) -> $name {
                $name(Arc::from(name.as_ref()))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns a 64-bit hash that is the same on every VM.
            pub fn hash64(&self) -> u64 {
                xxh3_64(self.0.as_bytes())
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> $name {
                $name::new(name)
            }
        }
    };
}

/// Defines an ordered number that must not be confused with others.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        pub struct $name(pub u64);
    };
}
pub(crate) use number_type;

name_type! {
    /// The name of an entry VM.
    VmId
}

name_type! {
    /// The name of a data centre.
    DataCentreId
}

name_type! {
    /// The name of a service.
    ServiceId
}

name_type! {
    /// The name of a backend server.
    BackendId
}

name_type! {
    /// The name of a plan.
    PlanId
}

number_type! {
    /// Distinguishes successive runs of the process at one address.
    ///
    /// Invariant: a later run of the same VM has a greater number.
    Incarnation
}

number_type! {
    /// The version number of a configuration.
    ///
    /// Invariant: strictly increasing; a lower generation is never applied over a
    /// higher one, whatever its source.
    Generation
}
