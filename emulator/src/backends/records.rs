//! What backend servers have seen, for checkers to read.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// What one backend server has seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Flows opened on it.
    pub flows_opened: u64,
    /// Packets of flows that it does not own.
    pub packets_stray: u64,
    /// Packets for another service.
    pub packets_crossed: u64,
    /// Requests that it ran.
    pub requests_run: u64,
    /// Requests refused because they would have passed its limit.
    pub requests_shed: u64,
    /// Requests refused because their deadline had passed.
    pub requests_late: u64,
    /// Requests whose connection closed while they ran.
    pub requests_cancelled: u64,
    /// The most requests that ran at once.
    pub most_in_flight: u32,
}

/// What all backend servers have seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// How many times each request was started, by the caller's identifier.
    pub runs: BTreeMap<String, u32>,
    /// The record of each backend server.
    pub backends: BTreeMap<String, BackendRecord>,
}

impl Records {
    /// Returns the record of the backend server called `name`.
    pub fn backend(&mut self, name: &str) -> &mut BackendRecord {
        self.backends.entry(name.to_owned()).or_default()
    }

    /// Records that the request `id` started on the backend server `name`.
    pub fn start(&mut self, name: &str, id: &str, in_flight: u32) {
        *self.runs.entry(id.to_owned()).or_default() += 1;
        let record = self.backend(name);
        record.requests_run += 1;
        record.most_in_flight = record.most_in_flight.max(in_flight);
    }
}
