//! Metrics of a VM that steers by tag, in the OpenMetrics text format.

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::{
            ConstGauge,
            Gauge, //
        },
        histogram::Histogram, //
    },
    registry::Registry,
};

use crate::{
    core::steering::{
        Steering,
        decision::Decision,
        failure_detector::ProbeOutcome, //
        packet::Verdict,
        store::{
            Kind,
            Malformed,
            StoreAnswer, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The prefix of all metric names.
const PREFIX: &str = "dragonflytrack_steering";

/// The upper bounds of the response time histogram, in seconds.
const RESPONSE_TIME_BUCKETS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EventLabels {
    event: u16,
    detail: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CallLabels {
    subject: &'static str,
    answer: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabels {
    kind: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabels {
    route: String,
}

/// The counters and histograms that the I/O tasks update.
#[derive(Debug)]
pub struct Metrics {
    decisions: Family<EventLabels, Counter>,
    packets: Family<OutcomeLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    probes: Family<OutcomeLabels, Counter>,
    missing_eras: Counter,
    refused_messages: Counter,
    response_times: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            decisions: Family::default(),
            packets: Family::default(),
            calls: Family::default(),
            probes: Family::default(),
            missing_eras: Counter::default(),
            refused_messages: Counter::default(),
            response_times: Histogram::new(RESPONSE_TIME_BUCKETS),
        }
    }
}

impl Metrics {
    /// Counts a decision by its event and detail.
    pub fn count_decision(&self, decision: &Decision) {
        let labels = EventLabels {
            event: decision.notice().number(),
            detail: detail(decision),
        };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts a client packet by its verdict.
    pub fn count_verdict(&self, verdict: &Verdict) {
        let outcome = match verdict {
            Verdict::Forward(_) => "forwarded",
            Verdict::Reset(_) => "reset",
            Verdict::Drop(_) => "dropped",
        };
        self.count_outcome(outcome);
    }

    /// Counts a packet by `outcome`, a label such as `malformed`.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.packets.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a store call by its subject and result.
    pub fn count_call(&self, subject: &'static str, answer: &StoreAnswer) {
        let answer = match answer {
            StoreAnswer::Page { .. } => "page",
            StoreAnswer::Changes { .. } => "changes",
            StoreAnswer::Records(_) => "records",
            StoreAnswer::Registered => "registered",
            StoreAnswer::RegistrationConflict => "otherwise_there",
            StoreAnswer::HistoryGone => "history_gone",
            StoreAnswer::Busy => "busy",
            StoreAnswer::NoAnswer => "none",
        };
        let labels = CallLabels { subject, answer };
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts a message of another VM that cannot be read.
    pub fn count_refused_message(&self) {
        self.refused_messages.inc();
    }

    /// Counts a response of the store without a valid era.
    pub fn count_missing_era(&self) {
        self.missing_eras.inc();
    }

    /// Counts a backend server probe by its outcome.
    pub fn count_probe(&self, outcome: ProbeOutcome) {
        let outcome = match outcome {
            ProbeOutcome::Accepted => "accepted",
            ProbeOutcome::Refused => "refused",
            ProbeOutcome::TimedOut => "timed_out",
            ProbeOutcome::Unclear => "unclear",
        };
        self.probes.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Records the response time of a backend server.
    pub fn observe_response_time(&self, response_time: Millis) {
        self.response_times
            .observe(response_time.0 as f64 / 1_000.0);
    }

    /// Encodes all metrics, with gauges for the current state of `steering`.
    pub fn encode(&self, steering: &Steering, lost_lines: usize, now: Time) -> String {
        let mut registry = Registry::with_prefix(PREFIX);
        self.add_counters(&mut registry);
        add_state_gauges(&mut registry, steering, now);
        add_load_gauges(&mut registry, steering, now);
        add_gauge(
            &mut registry,
            "log_lines_lost",
            "Log lines lost because nobody took them in time",
            lost_lines as u64,
        );
        let mut buf = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut buf, &registry);
        buf
    }

    fn add_counters(&self, registry: &mut Registry) {
        registry.register(
            "decisions",
            "Decisions by their event in docs/EVENTS.md",
            self.decisions.clone(),
        );
        registry.register("packets", "Packets of clients", self.packets.clone());
        registry.register("store_calls", "Calls to the store", self.calls.clone());
        registry.register(
            "peer_messages_refused",
            "Messages of other VMs that are malformed or of another version",
            self.refused_messages.clone(),
        );
        registry.register(
            "store_answers_without_era",
            "Answers of the store without a valid era",
            self.missing_eras.clone(),
        );
        registry.register("probes", "Probes of backend servers", self.probes.clone());
        registry.register(
            "answer_seconds",
            "Time from a client's data to the acknowledgement of the answer",
            self.response_times.clone(),
        );
    }
}

/// Returns the label that subdivides the decisions of one event, or an empty
/// string.
fn detail(decision: &Decision) -> String {
    match decision {
        Decision::FlowPlaced { fitness, .. } => format!("{fitness:?}"),
        Decision::FlowReset { reason, .. } => reason.to_string(),
        Decision::PacketDropped { reason, .. } => reason.to_string(),
        Decision::StoreUpdateApplied { kind, source, .. } => format!("{kind} from {source}"),
        Decision::StoreAnswers { kind, .. } => kind.to_string(),
        Decision::Malformed(
            Malformed::Answer { subject, .. } | Malformed::Object { subject, .. },
        ) => (*subject).to_owned(),
        Decision::Evacuation(change) => change.data_centre.to_string(),
        Decision::PathLost { data_centre, .. } | Decision::PathRestored { data_centre, .. } => {
            data_centre.to_string()
        }
        _ => String::new(),
    }
}

fn add_state_gauges(registry: &mut Registry, steering: &Steering, now: Time) {
    let stats = steering.stats(now);
    let ages: Family<KindLabels, Gauge> = Family::default();
    for (kind, age) in Kind::ALL.into_iter().zip(stats.ages) {
        let kind = kind.to_string();
        let age = age.map_or(-1, |a| a.0 as i64);
        ages.get_or_create(&KindLabels { kind }).set(age);
    }
    registry.register(
        "knowledge_age_milliseconds",
        "How old the knowledge of a kind is, -1 if there is none",
        ages,
    );
    let gauges = [
        (
            "ready",
            "Whether this VM serves new flows",
            u64::from(stats.is_ready),
        ),
        ("flows", "Flows that are recorded here", stats.flows as u64),
        ("flows_waiting", "Flows whose client waits", stats.waiting),
        (
            "backends_fit",
            "Backend servers that take new flows",
            stats.backends as u64,
        ),
        (
            "backends_dead",
            "Backend servers held for dead",
            stats.dead as u64,
        ),
        (
            "backends_estimated",
            "Backend servers whose service time is known",
            stats.estimated as u64,
        ),
        (
            "backends_too_fast",
            "Backend servers that respond far too fast",
            stats.too_fast as u64,
        ),
        (
            "replicas",
            "Flows of other VMs that are known here",
            stats.replicas as u64,
        ),
        ("peers", "Other VMs that are heard", stats.peers as u64),
        (
            "store_era",
            "Era of the store, which rises when it is restored from a copy",
            stats.era.0,
        ),
        (
            "configuration_version",
            "The operators' number",
            stats.version,
        ),
    ];
    for (name, help, value) in gauges {
        add_gauge(registry, name, help, value);
    }
}

fn add_load_gauges(registry: &mut Registry, steering: &Steering, now: Time) {
    let loads = steering.remote_loads();
    let age = loads.age(now).map_or(-1, |a| a.0 as i64);
    registry.register(
        "loads_age_milliseconds",
        "How old the loads of the fleet are, -1 if there are none",
        ConstGauge::new(age),
    );
    let outstanding: Family<RouteLabels, prometheus_client::metrics::gauge::Gauge> =
        Family::default();
    for demand in loads.routes() {
        let route = demand.route.to_string();
        let gauge = outstanding.get_or_create(&RouteLabels { route });
        gauge.set(i64::from(demand.outstanding));
    }
    registry.register(
        "route_outstanding",
        "Outstanding requests of the whole fleet on a route",
        outstanding,
    );
}

fn add_gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let value = i64::try_from(value).unwrap_or(i64::MAX);
    registry.register(name, help, ConstGauge::new(value));
}
