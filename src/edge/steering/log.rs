//! Writes steering decisions to the log. The number of lines is limited for each
//! event and second, so that a flood of client packets does not flood the log.

use hashbrown::HashMap;

use crate::{
    core::{
        notice::{
            Level,
            Notice, //
        },
        steering::{
            decision::Decision,
            store::Malformed, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The maximum number of lines for one event in one window.
const MAX_LINES_PER_WINDOW: u32 = 200;

/// The maximum length, in characters, of a text that another program has written.
const MAX_FOREIGN_CHARS: usize = 200;

const WINDOW: Millis = Millis::from_secs(1);

/// A rate-limited log of steering decisions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    window_start: Time,
    lines: HashMap<Notice, u32>,
}

impl DecisionLog {
    /// Writes a decision, or only counts it if its event is over the limit.
    pub fn write(&mut self, decision: &Decision, now: Time) {
        if now.since(self.window_start) >= WINDOW {
            self.log_suppressed();
            self.window_start = now;
        }
        let notice = decision.notice();
        let lines = self.lines.entry(notice).or_default();
        *lines += 1;
        if *lines <= MAX_LINES_PER_WINDOW {
            write_line(decision);
        }
    }

    /// Logs how many lines of each event were suppressed, and resets the counts.
    fn log_suppressed(&mut self) {
        for (notice, lines) in self.lines.drain() {
            if lines > MAX_LINES_PER_WINDOW {
                let event = Notice::LinesSuppressed.number();
                let (suppressed, count) = (notice.number(), lines - MAX_LINES_PER_WINDOW);
                let text = Notice::LinesSuppressed.text();
                tracing::info!(target: TARGET, event, suppressed, count, "{text}");
            }
        }
    }
}

/// The log target that operators filter steering decisions by.
const TARGET: &str = "dragonflytrack::core::steering";

/// Logs a decision at its event's level, with the event's number and text and
/// the given fields.
macro_rules! log_decision {
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

/// Formats a tag. Returns an empty string if there is none.
fn format_tag(tag: Option<crate::core::steering::tag::Tag>) -> String {
    tag.map(|t| t.to_string()).unwrap_or_default()
}

/// Returns the start of a text that another program has written.
fn shorten(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_FOREIGN_CHARS);
    end.map_or(text, |(end, _)| &text[..end])
}

fn write_line(decision: &Decision) {
    match decision {
        Decision::FlowPlaced {
            flow,
            copy,
            tag,
            fitness,
            configuration,
            age,
        } => {
            log_decision!(decision, %flow, copy, backend = %tag, ?fitness, configuration = configuration.revision.0, age_ms = age.0);
        }
        Decision::FlowReset {
            flow,
            tag,
            reason,
            configuration,
        } => {
            let backend = format_tag(*tag);
            log_decision!(decision, %flow, backend, %reason, configuration = configuration.revision.0);
        }
        Decision::PacketDropped { flow, tag, reason } => {
            let backend = format_tag(*tag);
            log_decision!(decision, %flow, backend, %reason);
        }
        Decision::BackendDead {
            tag,
            evidence,
            flows,
        } => {
            let probe = evidence.probe.map(|p| format!("{p:?}")).unwrap_or_default();
            let (silent, repeats) = (evidence.retransmitting_flows, evidence.max_retransmits);
            log_decision!(decision, backend = %tag, silent, repeats, probe, reported = evidence.reported, unopened = evidence.unopened, flows);
        }
        Decision::HandshakesFailing { tag } | Decision::ResponsesTooFast { tag } => {
            log_decision!(decision, backend = %tag);
        }
        Decision::BackendRevived { tag } => log_decision!(decision, backend = %tag),
        Decision::BackendEnded { tag, flows } => log_decision!(decision, backend = %tag, flows),
        Decision::StoreUpdateApplied {
            kind,
            position,
            version,
            source,
            age,
        } => {
            let (era, revision) = (position.era.0, position.revision.0);
            log_decision!(decision, %kind, era, revision, version, %source, age_ms = age.0);
        }
        Decision::StoreRestored { before, era } => {
            log_decision!(decision, before = before.0, era = era.0);
        }
        Decision::ConfigurationHeldBack {
            version,
            active,
            position,
        } => {
            let (era, revision) = (position.era.0, position.revision.0);
            log_decision!(decision, version, active, era, revision);
        }
        Decision::BackendsDoubted { backends } => log_decision!(decision, backends),
        Decision::Malformed(Malformed::Answer { subject, error }) => {
            let error = shorten(error);
            log_decision!(decision, subject, error);
        }
        Decision::Malformed(Malformed::Object {
            subject,
            name,
            error,
        }) => {
            let (name, error) = (shorten(name), shorten(error));
            log_decision!(decision, subject, name, error);
        }
        Decision::Evacuation(change) => {
            let (era, revision) = (change.position.era.0, change.position.revision.0);
            log_decision!(decision, data_centre = %change.data_centre, era, revision);
        }
        Decision::Readiness { is_ready, backends } => log_decision!(decision, is_ready, backends),
        Decision::TakenOver {
            data_centre,
            replicas,
        } => log_decision!(decision, %data_centre, replicas),
        Decision::StoreAnswers { answers, kind } => log_decision!(decision, answers, %kind),
        Decision::PathLost {
            data_centre,
            evidence,
        } => log_decision!(decision, %data_centre, ?evidence),
        Decision::PathRestored {
            data_centre,
            lost_for,
        } => log_decision!(decision, %data_centre, lost_for_ms = lost_for.0),
        Decision::PeerHeard {
            is_heard,
            vm,
            data_centre,
            address,
        } => {
            log_decision!(decision, is_heard, %vm, %data_centre, %address);
        }
    }
}
