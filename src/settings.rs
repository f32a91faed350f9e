//! The settings of one process, read from an INI file.

use std::{
    net::SocketAddr,
    path::Path, //
};

use derive_more::{
    Display,
    Error,
    From, //
};
use ini::Ini;

use crate::core::{
    membership::Seed,
    names::{
        DataCentreId,
        VmId, //
    },
};

/// The settings could not be used.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read or is not INI.
    #[display("cannot read the settings: {_0}; check the path and the syntax")]
    Unreadable(ini::Error),
    /// A key is missing.
    #[from(skip)]
    #[display("[{section}] {key} is missing; add it")]
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value makes no sense.
    #[from(skip)]
    #[display("[{section}] {key} = {value:?} is not an address; write IP:PORT")]
    NotAnAddress {
        /// The section.
        section: &'static str,
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
}

/// The settings of one process.
#[derive(Clone, Debug)]
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
    /// The platform's HTTP address.
    pub platform: SocketAddr,
    /// Where other VMs may be found.
    pub seeds: Vec<Seed>,
}

impl Settings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a value makes no sense.
    pub fn load(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let ini = Ini::load_from_file(path)?;
        Ok(Settings {
            vm: VmId::new(text(&ini, "vm", "name")?),
            data_centre: DataCentreId::new(text(&ini, "vm", "data-centre")?),
            fabric: address(&ini, "listen", "fabric")?,
            relay: address(&ini, "listen", "relay")?,
            callers: address(&ini, "listen", "callers")?,
            peers: address(&ini, "listen", "peers")?,
            admin: address(&ini, "listen", "admin")?,
            replies: address(&ini, "fabric", "replies")?,
            platform: address(&ini, "platform", "address")?,
            seeds: seeds(&ini)?,
        })
    }
}

fn text<'a>(
    ini: &'a Ini,
    section: &'static str,
    key: &'static str,
) -> Result<&'a str, SettingsError> {
    ini.get_from(Some(section), key)
        .ok_or(SettingsError::Missing { section, key })
}

fn address(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
) -> Result<SocketAddr, SettingsError> {
    parse_address(section, key, text(ini, section, key)?)
}

fn parse_address(
    section: &'static str,
    key: &str,
    value: &str,
) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| SettingsError::NotAnAddress {
        section,
        key: key.to_owned(),
        value: value.to_owned(),
    })
}

fn seeds(ini: &Ini) -> Result<Vec<Seed>, SettingsError> {
    let Some(section) = ini.section(Some("peers")) else {
        return Ok(Vec::new());
    };
    section
        .iter()
        .map(|(name, value)| {
            Ok(Seed {
                id: VmId::new(name),
                peers: parse_address("peers", name, value)?,
            })
        })
        .collect()
}
