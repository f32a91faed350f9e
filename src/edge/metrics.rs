//! The metrics of the process, in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text, //
    },
    metrics::{
        counter::ConstCounter,
        family::Family,
        gauge::{
            ConstGauge,
            Gauge, //
        },
    },
    registry::Registry,
};

use crate::{
    core::{
        counter::Counter,
        engine::Engine,
        membership::MemberState, //
    },
    edge::{
        counts::EdgeCounts,
        in_flight::InFlight, //
    },
};

/// The prefix of all metric names.
const PREFIX: &str = "dragonflytrack";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PeerLabels {
    state: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct BackendLabels {
    service: String,
    backend: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    service: String,
}

/// Encodes the metrics of `engine`, with the counters of `edge` added to its own.
pub fn encode(engine: &Engine, edge: &EdgeCounts, in_flight: &InFlight) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    add_counters(&mut registry, engine, edge);
    add_peers(&mut registry, engine);
    add_flows(&mut registry, engine);
    add_requests(&mut registry, engine, in_flight);
    registry.register(
        "generation",
        "The generation of the configuration in force",
        ConstGauge::new(to_gauge(engine.configuration().generation.0)),
    );
    registry.register(
        "ready",
        "Whether a configuration is in force",
        ConstGauge::new(i64::from(engine.is_ready())),
    );
    let mut buf = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode(&mut buf, &registry);
    buf
}

fn add_counters(registry: &mut Registry, engine: &Engine, edge: &EdgeCounts) {
    for counter in Counter::ALL {
        let count = engine.counters().get(*counter) + edge.get(*counter);
        // The encoder appends a full stop.
        let help = counter.help().trim_end_matches('.');
        registry.register(counter.name(), help, ConstCounter::new(count));
    }
}

fn add_peers(registry: &mut Registry, engine: &Engine) {
    let peers = Family::<PeerLabels, Gauge>::default();
    for state in ["alive", "suspect", "leaving"] {
        peers.get_or_create(&PeerLabels { state }).set(0);
    }
    for member in engine.view().others() {
        let state = match member.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
        };
        peers.get_or_create(&PeerLabels { state }).inc();
    }
    registry.register("peers", "Other entry VMs by state", peers);
}

fn add_flows(registry: &mut Registry, engine: &Engine) {
    let stats = engine.flow_stats();
    let gauges = [
        (
            "flow_entries",
            "Flows that are recorded here",
            stats.entries,
        ),
        (
            "flow_entry_bytes",
            "Memory of the recorded flows",
            stats.entry_bytes,
        ),
        (
            "flow_changed_buckets",
            "Buckets whose new flows have to be recorded or looked up",
            stats.changed_buckets,
        ),
        (
            "flow_wanted_buckets",
            "Buckets whose pins this VM waits for",
            stats.wanted_buckets,
        ),
        (
            "flow_unready_services",
            "Services whose history is not known yet",
            stats.unready_services,
        ),
    ];
    for (name, help, n) in gauges {
        registry.register(name, help, ConstGauge::new(to_gauge(n as u64)));
    }
}

/// Adds the requests that this VM has in flight and their imbalance: the largest
/// number at one backend server divided by the mean of its service.
fn add_requests(registry: &mut Registry, engine: &Engine, in_flight: &InFlight) {
    let by_backend = Family::<BackendLabels, Gauge>::default();
    let imbalance = Family::<ServiceLabels, Gauge<f64, AtomicU64>>::default();
    let in_flight_at = in_flight.by_address();
    let cfg = engine.configuration();
    for service in &cfg.services {
        let mut counts = Vec::new();
        for backend in cfg.backends_of(&service.name) {
            let count = in_flight_at.get(&backend.requests).copied().unwrap_or(0);
            let labels = BackendLabels {
                service: service.name.to_string(),
                backend: backend.name.to_string(),
            };
            by_backend.get_or_create(&labels).set(count);
            counts.push(count);
        }
        let service = service.name.to_string();
        let labels = ServiceLabels { service };
        imbalance.get_or_create(&labels).set(max_over_mean(&counts));
    }
    registry.register(
        "backend_requests_in_flight",
        "Requests that this VM has open at a backend server",
        by_backend,
    );
    registry.register(
        "service_requests_imbalance",
        "Largest over mean number of requests that this VM has open, 0 if none",
        imbalance,
    );
}

fn max_over_mean(counts: &[i64]) -> f64 {
    let sum: i64 = counts.iter().sum();
    let max = counts.iter().max().copied().unwrap_or(0);
    if sum == 0 {
        return 0.0;
    }
    max as f64 * counts.len() as f64 / sum as f64
}

fn to_gauge(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
