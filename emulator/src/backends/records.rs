//! Counters of the emulated backend servers, which tests read over HTTP.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// Counters of one backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Flows opened on it.
    pub flows_opened: u64,
    /// Packets of flows that were not opened on it.
    pub packets_stray: u64,
    /// Packets whose destination is another service.
    pub packets_crossed: u64,
    /// Requests that it ran.
    pub requests_run: u64,
    /// Requests refused because its concurrency limit was reached.
    pub requests_shed: u64,
    /// Requests refused because their deadline had passed.
    pub requests_late: u64,
    /// Requests whose connection closed while they ran.
    pub requests_cancelled: u64,
    /// The highest number of requests that ran concurrently.
    pub most_in_flight: u32,
}

/// Records of all backend servers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// The number of times that each request was started, by request identifier.
    pub runs: BTreeMap<String, u32>,
    /// The counters of each backend server, by name.
    pub backends: BTreeMap<String, BackendRecord>,
}

impl Records {
    /// Returns the counters of the backend server `name`, creating them if
    /// needed.
    pub fn backend(&mut self, name: &str) -> &mut BackendRecord {
        self.backends.entry(name.to_owned()).or_default()
    }

    /// Records that the request `id` started on the backend server `name`.
    pub fn record_start(&mut self, name: &str, id: &str, in_flight: u32) {
        *self.runs.entry(id.to_owned()).or_default() += 1;
        let record = self.backend(name);
        record.requests_run += 1;
        record.most_in_flight = record.most_in_flight.max(in_flight);
    }
}
