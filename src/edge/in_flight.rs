//! The requests that this VM has open at backend servers, for the metrics.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use crate::core::{
    action::Action,
    engine::Event,
    request::AttemptId, //
};

/// The requests that this VM has open at backend servers.
#[derive(Debug, Default)]
pub struct InFlight {
    /// Maps an attempt that has not ended to the backend server's address for
    /// requests.
    attempts: HashMap<AttemptId, SocketAddr>,
}

impl InFlight {
    /// Takes in an event of the engine.
    pub fn on_event(&mut self, event: &Event) {
        if let Event::AttemptDone(id, _) = event {
            self.attempts.remove(id);
        }
    }

    /// Takes in an action of the engine.
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

    /// Returns how many requests are open at each address that has any.
    pub fn by_address(&self) -> HashMap<SocketAddr, i64> {
        let mut counts = HashMap::new();
        for address in self.attempts.values() {
            *counts.entry(*address).or_default() += 1;
        }
        counts
    }
}
