//! `[log]` and `[log-levels]`: what is logged and how.
//!
//! | section | key | default | meaning |
//! |---|---|---|---|
//! | `[log]` | `format` | `human` | `human` or `json` |
//! | `[log]` | `level` | `info` | the least serious level of the program's own modules |
//! | `[log]` | `libraries` | `warn` | the least serious level of all others |
//! | `[log-levels]` | a module, such as `edge.peers` | | its own level |

use tracing::Level;

use super::reader::Reader;

const SECTION: &str = "log";
const LEVELS: &str = "log-levels";

const LEVEL_REMEDY: &str = "error, warn, info, debug or trace";

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// The level of one module.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModuleLevel {
    /// The path of the module, as `dragonflytrack::edge::peers`.
    pub module: String,
    /// The least serious level that is logged.
    pub level: Level,
}

/// What is logged and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// How log lines are written.
    pub format: LogFormat,
    /// The least serious level of the program's own modules.
    pub level: Level,
    /// The least serious level of libraries.
    pub libraries: Level,
    /// Modules with levels of their own.
    pub modules: Vec<ModuleLevel>,
}

pub(super) fn read(rx: &mut Reader<'_>) -> LogSettings {
    let format = rx.optional(
        SECTION,
        "format",
        LogFormat::Human,
        "human or json",
        parse_format,
    );
    let level = rx.optional(SECTION, "level", Level::INFO, LEVEL_REMEDY, parse_level);
    let libraries = rx.optional(SECTION, "libraries", Level::WARN, LEVEL_REMEDY, parse_level);
    let mut modules = Vec::new();
    for (name, value) in rx.entries(LEVELS) {
        if let Some(level) = rx.parse(LEVELS, name, value, LEVEL_REMEDY, parse_level) {
            let module = module_path(name);
            modules.push(ModuleLevel { module, level });
        }
    }
    LogSettings {
        format,
        level,
        libraries,
        modules,
    }
}

fn parse_format(text: &str) -> Option<LogFormat> {
    match text {
        "human" => Some(LogFormat::Human),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}

fn parse_level(text: &str) -> Option<Level> {
    match text {
        "error" => Some(Level::ERROR),
        "warn" => Some(Level::WARN),
        "info" => Some(Level::INFO),
        "debug" => Some(Level::DEBUG),
        "trace" => Some(Level::TRACE),
        _ => None,
    }
}

/// Returns the path of a module whose name in the settings has dots, because
/// colons separate keys from values there.
fn module_path(name: &str) -> String {
    const OWN: [&str; 5] = ["command", "core", "edge", "kernel", "settings"];
    let path = name.replace('.', "::");
    let first = name.split('.').next().unwrap_or_default();
    if OWN.contains(&first) {
        format!("dragonflytrack::{path}")
    } else {
        path
    }
}
