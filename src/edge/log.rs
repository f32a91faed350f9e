//! The log: numbered events on standard error, for people or as JSON.

use std::io;

use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::{
    Layer,
    filter::Targets,
    fmt::{
        self,
        MakeWriter, //
    },
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
        LogFormat,
        LogSettings, //
    },
};

/// Lines that may wait to be written.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Begins to log as the settings say.
///
/// # Errors
///
/// Fails if the process has a log already.
pub fn install(log: &LogSettings) -> Result<(), TryInitError> {
    install_to(log, io::stderr)
}

/// Writes lines that nobody takes in time nowhere, and counts them. Ends the
/// writing, with what is left, when it is dropped.
pub struct LossyLog {
    /// Counts the lines that were lost.
    pub lost_lines: ErrorCounter,
    _writer: WorkerGuard,
}

/// Begins to log as the settings say, to standard output and without ever
/// waiting for whoever reads it.
///
/// # Errors
///
/// Fails if the process has a log already.
pub fn install_lossy(log: &LogSettings) -> Result<LossyLog, TryInitError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    let lost_lines = writer.error_counter();
    install_to(log, writer)?;
    Ok(LossyLog {
        lost_lines,
        _writer: guard,
    })
}

fn install_to<W>(log: &LogSettings, writer: W) -> Result<(), TryInitError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let lines = fmt::layer().with_writer(writer);
    let lines = match log.format {
        LogFormat::Human => lines.with_ansi(false).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry()
        .with(lines.with_filter(targets(log)))
        .try_init()
}

/// Returns which level each module logs.
fn targets(log: &LogSettings) -> Targets {
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
