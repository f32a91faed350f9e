//! The usage of backend servers, as plans and lists of services report it.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    configuration::Configuration,
    names::BackendId, //
};

/// The work that a backend server has, as far as this VM knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendUsage {
    /// Established flows. `None` if they are not counted: a VM keeps no entry
    /// for a flow whose backend server follows from its hash.
    pub flows: Option<u64>,
    /// Requests that this VM has in flight.
    pub requests: Option<u64>,
}

/// The work of all backend servers, as far as this VM knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// One entry for each backend server with work.
    pub backends: BTreeMap<BackendId, BackendUsage>,
}

impl Usage {
    /// Counts requests by the backend servers that run them.
    pub fn count_requests<'a>(
        cfg: &Configuration,
        running_on: impl Iterator<Item = &'a BackendId>,
    ) -> Usage {
        let idle = BackendUsage {
            flows: None,
            requests: Some(0),
        };
        let names = cfg.backends.iter().map(|b| b.name.clone());
        let mut usage = Usage {
            backends: names.map(|name| (name, idle)).collect(),
        };
        for name in running_on {
            let entry = usage.backends.entry(name.clone()).or_default();
            entry.requests = Some(entry.requests.unwrap_or(0) + 1);
        }
        usage
    }

    /// Returns the work of `backend`.
    pub fn of(&self, backend: &BackendId) -> BackendUsage {
        self.backends.get(backend).copied().unwrap_or_default()
    }
}
