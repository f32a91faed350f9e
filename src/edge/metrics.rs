//! The metrics of the process in the text exposition format.

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
    edge::counts::EdgeCounts,
};

/// What the names of all metrics begin with.
const PREFIX: &str = "dragonflytrack";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PeerLabels {
    state: &'static str,
}

/// Writes the metrics of `engine`, with the counts of the sockets added.
pub fn encode(engine: &Engine, edge: &EdgeCounts) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    add_counters(&mut registry, engine, edge);
    add_peers(&mut registry, engine);
    registry.register(
        "generation",
        "The generation of the configuration in force",
        ConstGauge::new(gauge(engine.configuration().generation.0)),
    );
    registry.register(
        "ready",
        "Whether a configuration is in force",
        ConstGauge::new(i64::from(engine.is_ready())),
    );
    let mut buf = String::new();
    // Writing into a string cannot fail.
    let _ = text::encode(&mut buf, &registry);
    buf
}

fn add_counters(registry: &mut Registry, engine: &Engine, edge: &EdgeCounts) {
    for counter in Counter::ALL {
        let count = engine.counters().get(*counter) + edge.get(*counter);
        // The library adds the full stop.
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

fn gauge(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
