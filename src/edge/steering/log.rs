//! Decisions as log lines. Their number is bounded for each event and second,
//! so that a flood of clients does not become a flood of lines.

use hashbrown::HashMap;

use crate::{
    core::{
        notice::{
            Level,
            Notice, //
        },
        steering::decision::Decision, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The most lines of one event in one window.
const MAX_LINES: u32 = 200;

/// The time over which lines are counted.
const WINDOW: Millis = Millis::from_secs(1);

/// Writes decisions to the log.
#[derive(Debug, Default)]
pub struct DecisionLog {
    window: Time,
    lines: HashMap<Notice, u32>,
}

impl DecisionLog {
    /// Writes one decision, or counts it if there were too many of its event.
    pub fn write(&mut self, decision: &Decision, now: Time) {
        if now.since(self.window) >= WINDOW {
            self.summarize();
            self.window = now;
        }
        let notice = decision.notice();
        let lines = self.lines.entry(notice).or_default();
        *lines += 1;
        if *lines <= MAX_LINES {
            write(decision);
        }
    }

    /// Says how many lines were left out.
    fn summarize(&mut self) {
        for (notice, lines) in self.lines.drain() {
            if lines > MAX_LINES {
                let event = Notice::LinesSuppressed.number();
                let (suppressed, count) = (notice.number(), lines - MAX_LINES);
                let text = Notice::LinesSuppressed.text();
                tracing::info!(target: TARGET, event, suppressed, count, "{text}");
            }
        }
    }
}

const TARGET: &str = "dragonflytrack::core::steering";

/// Writes one line with the number and text of the event and the given fields.
macro_rules! line {
    ($decision:expr, $($fields:tt)*) => {{
        let notice = $decision.notice();
        let (event, text) = (notice.number(), notice.text());
        match notice.level() {
            Level::Error => tracing::error!(target: TARGET, event, $($fields)*, "{text}"),
            Level::Warn => tracing::warn!(target: TARGET, event, $($fields)*, "{text}"),
            Level::Info => tracing::info!(target: TARGET, event, $($fields)*, "{text}"),
        }
    }};
}

/// The tag as text, empty if there is none.
fn tag_text(tag: Option<crate::core::steering::tag::Tag>) -> String {
    tag.map(|t| t.to_string()).unwrap_or_default()
}

fn write(decision: &Decision) {
    match decision {
        Decision::FlowPlaced {
            flow,
            copy,
            tag,
            fitness,
            configuration,
            age,
        } => {
            line!(decision, %flow, copy, backend = %tag, ?fitness, configuration = configuration.0, age_ms = age.0);
        }
        Decision::FlowReset {
            flow,
            tag,
            reason,
            configuration,
        } => {
            let backend = tag_text(*tag);
            line!(decision, %flow, backend, %reason, configuration = configuration.0);
        }
        Decision::PacketDropped { flow, tag, reason } => {
            let backend = tag_text(*tag);
            line!(decision, %flow, backend, %reason);
        }
        Decision::BackendDead {
            tag,
            evidence,
            flows,
        } => {
            let probe = evidence.probe.map(|p| format!("{p:?}")).unwrap_or_default();
            let (silent, repeats) = (evidence.retransmitting_flows, evidence.max_retransmits);
            line!(decision, backend = %tag, silent, repeats, probe, reported = evidence.reported, unopened = evidence.unopened, flows);
        }
        Decision::HandshakesFailing { tag } => line!(decision, backend = %tag),
        Decision::BackendRevived { tag } => line!(decision, backend = %tag),
        Decision::BackendEnded { tag, flows } => line!(decision, backend = %tag, flows),
        Decision::StoreUpdateApplied {
            kind,
            revision,
            version,
            source,
            age,
        } => {
            line!(decision, %kind, revision = revision.0, version, %source, age_ms = age.0);
        }
        Decision::Readiness { is_ready, backends } => line!(decision, is_ready, backends),
        Decision::TakenOver {
            data_centre,
            replicas,
        } => line!(decision, %data_centre, replicas),
        Decision::StoreAnswers { answers, kind } => line!(decision, answers, %kind),
        Decision::PeerHeard {
            is_heard,
            vm,
            data_centre,
            address,
        } => {
            line!(decision, is_heard, %vm, %data_centre, %address);
        }
    }
}
