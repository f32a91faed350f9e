//! The settings of one process, read from an INI file.
//!
//! The file is checked whole before anything starts, and all problems are
//! reported at once. Each section has a module of its own, which documents its
//! keys and their defaults.

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

mod clash;
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

/// The settings of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The VM's name.
    pub vm: VmId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// The UDP address for packets of the fabric.
    pub fabric: SocketAddr,
    /// The UDP address for packets relayed by other VMs.
    pub relay: SocketAddr,
    /// The HTTP address for callers.
    pub callers: SocketAddr,
    /// The TCP address for messages of other VMs.
    pub peers: SocketAddr,
    /// The HTTP address for operators and metrics.
    pub admin: SocketAddr,
    /// The UDP address that takes packets to callers.
    pub replies: SocketAddr,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Where other VMs may be found.
    pub seeds: Vec<Seed>,
    /// What is logged and how.
    pub log: LogSettings,
    /// The planned stop.
    pub stop: StopSettings,
    /// The lengths of queues.
    pub limits: Limits,
}

impl Settings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or the settings make no sense.
    pub fn load(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::Unreadable { source })?;
        Settings::parse(&text)
    }

    /// Reads the settings from `text`.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not INI or the settings make no sense. The error
    /// lists every problem.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        parse_ini(text, read)
    }
}

/// Reads settings from `text` with `read`, and gathers all problems.
fn parse_ini<T>(
    text: &str,
    read: impl Fn(&mut Reader<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    /// Some editors put this in front of a file.
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

/// Reads each section, so that the problems of all of them are found.
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
    clash::check(rx, &settings);
    Some(settings)
}
