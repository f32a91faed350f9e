//! Counts this VM's in-flight requests by backend server, for the metrics.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use crate::core::{
    action::Action,
    engine::Event,
    request::AttemptId, //
};

/// The requests that this VM has in flight.
#[derive(Debug, Default)]
pub struct InFlight {
    /// Maps each attempt in flight to the backend server's request address.
    attempts: HashMap<AttemptId, SocketAddr>,
}

impl InFlight {
    /// Removes an attempt that an engine event reports as done.
    pub fn on_event(&mut self, event: &Event) {
        if let Event::AttemptDone(id, _) = event {
            self.attempts.remove(id);
        }
    }

    /// Adds or removes the attempt that an engine action starts or cancels.
    pub fn on_action(&mut self, action: &Action) {
        match action {
            Action::Attempt(attempt) => {
                self.attempts.insert(attempt.id, attempt.to);
            }
            Action::CancelAttempt(id) => {
                self.attempts.remove(id);
            }
            _ => {}
        }
    }

    /// Returns the number of requests in flight for each address that has any.
    pub fn by_address(&self) -> HashMap<SocketAddr, i64> {
        let mut counts = HashMap::new();
        for address in self.attempts.values() {
            *counts.entry(*address).or_default() += 1;
        }
        counts
    }
}
