//! Settings of one process, read from an INI file.
//!
//! The whole file is validated before any service starts, and all problems are
//! reported together. Each section has its own module, which documents the keys
//! and their defaults.

use std::{
    fs,
    net::SocketAddr,
    path::Path, //
};

use ini::Ini;

use crate::core::{
    membership::Seed,
    names::{
        DataCentreId,
        VmId, //
    },
};

mod address_conflicts;
mod limits;
mod listen;
mod log;
mod peers;
mod platform;
mod problem;
mod reader;
mod steering;
mod stop;
mod vm;

pub use limits::Limits;
pub use log::{
    LogFormat,
    LogSettings,
    ModuleLevel, //
};
pub use platform::PlatformSettings;
pub use problem::{
    Problem,
    SettingsError, //
};
pub use steering::SteeringSettings;
pub use stop::StopSettings;

use reader::Reader;

/// Settings of an entry VM started with `run`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Unique name of the VM.
    pub vm: VmId,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentreId,
    /// UDP address that receives packets from the fabric.
    pub fabric: SocketAddr,
    /// UDP address that receives packets relayed by other VMs.
    pub relay: SocketAddr,
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// TCP address that receives messages from other VMs.
    pub peers: SocketAddr,
    /// HTTP address for operators, health probes and metrics.
    pub admin: SocketAddr,
    /// UDP address in the fabric to which packets for callers are sent.
    pub replies: SocketAddr,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Other VMs to contact at startup.
    pub seeds: Vec<Seed>,
    /// Log format and levels.
    pub log: LogSettings,
    /// Timing of a graceful stop.
    pub stop: StopSettings,
    /// Queue lengths.
    pub limits: Limits,
}

impl Settings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not valid INI or has invalid
    /// settings.
    pub fn load(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::Unreadable { source })?;
        Settings::parse(&text)
    }

    /// Parses the settings in `text`.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not valid INI or has invalid settings. In the latter
    /// case, the error lists every problem.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        parse_ini(text, read)
    }
}

/// Parses `text` as INI and passes it to `read`. Fails with all problems that
/// were reported while reading.
fn parse_ini<T>(
    text: &str,
    read: impl Fn(&mut Reader<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    /// Some editors write this at the start of a file.
    const BYTE_ORDER_MARK: char = '\u{feff}';
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let ini = Ini::load_from_str_noescape(text).map_err(|e| SettingsError::Syntax {
        line: e.line + 1,
        text: e.msg.into_owned(),
    })?;
    let mut rx = Reader::new(&ini);
    let settings = read(&mut rx);
    let problems = rx.finish();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(SettingsError::Invalid { problems }),
    }
}

/// Reads every section before returning, so that the problems of all sections
/// are reported.
fn read(rx: &mut Reader<'_>) -> Option<Settings> {
    let vm = vm::read(rx);
    let listen = listen::read(rx);
    let replies = listen::read_replies(rx);
    let platform = platform::read(rx);
    let seeds = peers::read(rx);
    let log = log::read(rx);
    let stop = stop::read(rx);
    let limits = limits::read(rx);
    let (vm, listen) = (vm?, listen?);
    let settings = Settings {
        vm: vm.name,
        data_centre: vm.data_centre,
        fabric: listen.fabric,
        relay: listen.relay,
        callers: listen.callers,
        peers: listen.peers,
        admin: listen.admin,
        replies: replies?,
        platform: platform?,
        seeds,
        log,
        stop,
        limits,
    };
    address_conflicts::check(rx, &settings);
    Some(settings)
}
