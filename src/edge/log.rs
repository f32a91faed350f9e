//! Sets up logging, as text or JSON, and logs numbered events.

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

/// The maximum number of lines buffered for the writer thread.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Installs the global logger, which writes to standard error.
///
/// # Errors
///
/// Fails if a global logger is already installed.
pub fn install(log: &LogSettings) -> Result<(), TryInitError> {
    install_to(log, io::stderr)
}

/// The handle of a logger that drops and counts lines if its reader is too slow.
/// Dropping the handle flushes the buffered lines and stops the writer thread.
pub struct LossyLog {
    /// The number of lines dropped.
    pub lost_lines: ErrorCounter,
    _guard: WorkerGuard,
}

/// Installs a global logger that writes to standard output and never blocks on
/// its reader.
///
/// # Errors
///
/// Fails if a global logger is already installed.
pub fn install_lossy(log: &LogSettings) -> Result<LossyLog, TryInitError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    let lost_lines = writer.error_counter();
    install_to(log, writer)?;
    Ok(LossyLog {
        lost_lines,
        _guard: guard,
    })
}

fn install_to<W>(log: &LogSettings, writer: W) -> Result<(), TryInitError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let layer = fmt::layer().with_writer(writer);
    let layer = match log.format {
        LogFormat::Human => layer.with_ansi(false).boxed(),
        LogFormat::Json => layer.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry()
        .with(layer.with_filter(targets(log)))
        .try_init()
}

/// Returns the log levels of the modules and libraries.
fn targets(log: &LogSettings) -> Targets {
    let modules = log.modules.iter().map(|m| (m.module.clone(), m.level));
    Targets::new()
        .with_default(log.libraries)
        .with_target("dragonflytrack", log.level)
        .with_targets(modules)
}

/// Logs `$notice` under the target `$module`, at the notice's level.
macro_rules! log_event {
    ($module:literal, $notice:expr, $detail:expr) => {{
        let (event, text) = ($notice.number(), $notice.text());
        match $notice.level() {
            Level::Error => tracing::error!(target: $module, event, detail = $detail, "{text}"),
            Level::Warn => tracing::warn!(target: $module, event, detail = $detail, "{text}"),
            Level::Info => tracing::info!(target: $module, event, detail = $detail, "{text}"),
        }
    }};
}

/// Logs an event under the module that its number belongs to.
pub fn log_notice(notice: Notice, detail: &str) {
    const EVENTS_PER_MODULE: u16 = 1_000;
    match notice.number() / EVENTS_PER_MODULE {
        2 => log_event!("dragonflytrack::core::membership", notice, detail),
        3 => log_event!("dragonflytrack::core::intent", notice, detail),
        4 => log_event!("dragonflytrack::core::flow", notice, detail),
        5 => log_event!("dragonflytrack::core::request", notice, detail),
        6 => log_event!("dragonflytrack::core::capacity", notice, detail),
        _ => log_event!("dragonflytrack::command::run", notice, detail),
    }
}
