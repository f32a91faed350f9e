//! The log: numbered events on standard error, for people or as JSON.

use std::io;

use tracing_subscriber::{
    Layer,
    filter::Targets,
    fmt,
    layer::SubscriberExt,
    util::{
        SubscriberInitExt,
        TryInitError, //
    },
};

use crate::{
    core::notice::{
        Level,
        Notice, //
    },
    settings::{
        Format,
        Log, //
    },
};

/// Begins to log as the settings say.
///
/// # Errors
///
/// Fails if the process has a log already.
pub fn install(log: &Log) -> Result<(), TryInitError> {
    let lines = fmt::layer().with_writer(io::stderr);
    let lines = match log.format {
        Format::Human => lines.with_ansi(false).boxed(),
        Format::Json => lines.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry()
        .with(lines.with_filter(targets(log)))
        .try_init()
}

/// Returns which level each module logs.
fn targets(log: &Log) -> Targets {
    let modules = log.modules.iter().map(|m| (m.module.clone(), m.level));
    Targets::new()
        .with_default(log.libraries)
        .with_target("dragonflytrack", log.level)
        .with_targets(modules)
}

macro_rules! event_of {
    ($module:literal, $notice:expr, $detail:expr) => {{
        let (event, text) = ($notice.number(), $notice.text());
        match $notice.level() {
            Level::Error => tracing::error!(target: $module, event, detail = $detail, "{text}"),
            Level::Warn => tracing::warn!(target: $module, event, detail = $detail, "{text}"),
            Level::Info => tracing::info!(target: $module, event, detail = $detail, "{text}"),
        }
    }};
}

/// Writes an event as one of the module that its number belongs to.
pub fn note(notice: Notice, detail: &str) {
    const RANGE: u16 = 1_000;
    match notice.number() / RANGE {
        2 => event_of!("dragonflytrack::core::membership", notice, detail),
        3 => event_of!("dragonflytrack::core::intent", notice, detail),
        4 => event_of!("dragonflytrack::core::flow", notice, detail),
        5 => event_of!("dragonflytrack::core::request", notice, detail),
        6 => event_of!("dragonflytrack::core::capacity", notice, detail),
        _ => event_of!("dragonflytrack::command::run", notice, detail),
    }
}
