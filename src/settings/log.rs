//! `[log]` and `[log-levels]`: log format and levels.
//!
//! | section | key | default | meaning |
//! |---|---|---|---|
//! | `[log]` | `format` | `human` | `human` or `json` |
//! | `[log]` | `level` | `info` | the minimum level of this program's modules |
//! | `[log]` | `libraries` | `warn` | the minimum level of other crates |
//! | `[log-levels]` | a module, such as `edge.peers` | | the minimum level of this module |

use tracing::Level;

use super::reader::Reader;

const SECTION: &str = "log";
const LEVELS_SECTION: &str = "log-levels";

const LEVEL_SYNTAX: &str = "error, warn, info, debug or trace";

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Minimum level of one module.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModuleLevel {
    /// Full module path, such as `dragonflytrack::edge::peers`.
    pub module: String,
    /// Minimum level that is logged.
    pub level: Level,
}

/// Log format and levels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Minimum level of this program's modules.
    pub level: Level,
    /// Minimum level of other crates.
    pub libraries: Level,
    /// Modules that override the minimum level.
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
    let level = rx.optional(SECTION, "level", Level::INFO, LEVEL_SYNTAX, parse_level);
    let libraries = rx.optional(SECTION, "libraries", Level::WARN, LEVEL_SYNTAX, parse_level);
    let mut modules = Vec::new();
    for (name, value) in rx.entries(LEVELS_SECTION) {
        if let Some(level) = rx.parse(LEVELS_SECTION, name, value, LEVEL_SYNTAX, parse_level) {
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

/// Converts a dotted module name from the settings to a module path. The
/// settings use dots because INI treats a colon as a key-value separator.
fn module_path(name: &str) -> String {
    const OWN_MODULES: [&str; 5] = ["command", "core", "edge", "kernel", "settings"];
    let path = name.replace('.', "::");
    let first = name.split('.').next().unwrap_or_default();
    if OWN_MODULES.contains(&first) {
        format!("dragonflytrack::{path}")
    } else {
        path
    }
}
