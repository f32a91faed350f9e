//! Figures of one VM, for the metrics.

use super::store::Kind;
use crate::kernel::clock::Millis;

/// Figures of one VM.
#[derive(Clone, Copy, Debug)]
pub struct Stats {
    /// Whether it serves new flows.
    pub is_ready: bool,
    /// The flows that are recorded.
    pub flows: usize,
    /// Those whose client waits.
    pub waiting: u64,
    /// The backend servers that take new flows.
    pub backends: usize,
    /// The backend servers that are held for dead.
    pub dead: usize,
    /// The flows of other VMs that are known here.
    pub replicas: usize,
    /// The other VMs that are heard.
    pub peers: usize,
    /// The operators' number of the configuration in force.
    pub version: u64,
    /// How old the knowledge of each kind is, by the order of [`Kind::ALL`].
    pub ages: [Option<Millis>; Kind::ALL.len()],
}
