//! Gauges of one VM, for the metrics.

use super::store::{
    Era,
    Kind, //
};
use crate::kernel::clock::Millis;

/// Gauges of one VM.
#[derive(Clone, Copy, Debug)]
pub struct Stats {
    /// Whether it serves new flows.
    pub is_ready: bool,
    /// Number of recorded flows.
    pub flows: usize,
    /// Number of flows whose client waits for an answer.
    pub waiting: u64,
    /// Number of backend servers that take new flows.
    pub backends: usize,
    /// Number of backend servers found dead.
    pub dead: usize,
    /// Number of backend servers whose service time is known; zero in a full mesh.
    pub estimated: usize,
    /// Number of backend servers that respond far too fast.
    pub too_fast: usize,
    /// Number of flow replicas of other VMs.
    pub replicas: usize,
    /// Number of peers that are heard.
    pub peers: usize,
    /// Newest era of the store that was seen.
    pub era: Era,
    /// Operator-assigned version of the active configuration.
    pub version: u64,
    /// Age of the knowledge of each kind, in the order of [`Kind::ALL`].
    pub ages: [Option<Millis>; Kind::ALL.len()],
}
