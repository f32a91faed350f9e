//! The settings of an entry VM that steers by tag.
//!
//! | section | key | default | meaning |
//! |---|---|---|---|
//! | `[vm]` | `name` | required | the VM's unique name |
//! | `[vm]` | `data-centre` | required | the data centre that it stands in |
//! | `[vm]` | `cores` | 1 | the VM's share of processor cores; the strongest serve the others |
//! | `[listen]` | `packets` | required | UDP, packets of clients; clients listen on the same port |
//! | `[listen]` | `ready` | required | TCP, HTTP readiness probe |
//! | `[listen]` | `peers` | required | TCP and UDP, messages of other VMs |
//! | `[listen]` | `announced` | `peers` | where other VMs reach `peers`, if it is another address |
//! | `[listen]` | `metrics` | required | TCP, HTTP `/metrics` |
//! | `[store]` | `address` | required | TCP, the HTTP address of the platform's store |
//! | `[seeds]` | `addresses` | none | other VMs, `IP:PORT,..`; the port of `announced` is used |
//! | `[stop]` | `seconds` | 6 | how long a planned stop may take |
//!
//! `[log]` and `[log-levels]` are those of every entry VM.

use std::{
    fs,
    net::SocketAddrV4,
    path::Path, //
};

use super::{
    LogSettings,
    SettingsError,
    log,
    parse_ini,
    reader::Reader,
    vm, //
};
use crate::{
    core::names::{
        DataCentreId,
        VmId, //
    },
    kernel::clock::Millis,
};

const ADDRESS_REMEDY: &str = "IPv4:PORT with a port other than 0";

const SEEDS_REMEDY: &str = "IPv4:PORT,IPv4:PORT,..";

const STOP_REMEDY: &str = "seconds between 0.1 and 3600";

const CORES_REMEDY: &str = "a number above 0 and up to 1024, such as 0.25";

const DEFAULT_MILLICORES: u32 = 1_000;

const DEFAULT_STOP_TIMEOUT: Millis = Millis::from_secs(6);

/// The settings of an entry VM that steers by tag.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SteeringSettings {
    /// The VM's name.
    pub vm: VmId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// The VM's processor share, in thousandths of a core.
    pub millicores: u32,
    /// The UDP address for packets of clients.
    pub packets: SocketAddrV4,
    /// The HTTP address of the readiness probe.
    pub ready: SocketAddrV4,
    /// The TCP and UDP address for messages of other VMs.
    pub peers: SocketAddrV4,
    /// The address that other VMs send these messages to.
    pub announced: SocketAddrV4,
    /// The HTTP address of the metrics.
    pub metrics: SocketAddrV4,
    /// The HTTP address of the platform's store.
    pub store: SocketAddrV4,
    /// Where other VMs may be found.
    pub seeds: Vec<SocketAddrV4>,
    /// How long a planned stop may take.
    pub stop_timeout: Millis,
    /// What is logged and how.
    pub log: LogSettings,
}

impl SteeringSettings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or the settings make no sense.
    pub fn load(path: impl AsRef<Path>) -> Result<SteeringSettings, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::Unreadable { source })?;
        SteeringSettings::parse(&text)
    }

    /// Reads the settings from `text`.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not INI or the settings make no sense. The error
    /// lists every problem.
    pub fn parse(text: &str) -> Result<SteeringSettings, SettingsError> {
        parse_ini(text, read)
    }
}

fn read(rx: &mut Reader<'_>) -> Option<SteeringSettings> {
    let vm = vm::read(rx);
    let millicores = rx.optional("vm", "cores", DEFAULT_MILLICORES, CORES_REMEDY, parse_cores);
    let packets = rx.required("listen", "packets", ADDRESS_REMEDY, parse_address);
    let ready = rx.required("listen", "ready", ADDRESS_REMEDY, parse_address);
    let peers = rx.required("listen", "peers", ADDRESS_REMEDY, parse_address);
    let announced = rx.optional("listen", "announced", None, ADDRESS_REMEDY, |text| {
        parse_address(text).map(Some)
    });
    let metrics = rx.required("listen", "metrics", ADDRESS_REMEDY, parse_address);
    let store = rx.required("store", "address", ADDRESS_REMEDY, parse_address);
    let seeds = rx.optional("seeds", "addresses", Vec::new(), SEEDS_REMEDY, parse_seeds);
    let stop_timeout = rx.optional(
        "stop",
        "seconds",
        DEFAULT_STOP_TIMEOUT,
        STOP_REMEDY,
        parse_seconds,
    );
    let log = log::read(rx);
    let (vm, peers) = (vm?, peers?);
    let announced = announced.unwrap_or(peers);
    Some(SteeringSettings {
        vm: vm.name,
        data_centre: vm.data_centre,
        millicores,
        packets: packets?,
        ready: ready?,
        peers,
        announced,
        metrics: metrics?,
        store: store?,
        seeds: seeds
            .iter()
            .map(|seed| SocketAddrV4::new(*seed.ip(), announced.port()))
            .collect(),
        stop_timeout,
        log,
    })
}

fn parse_address(text: &str) -> Option<SocketAddrV4> {
    text.parse().ok().filter(|a: &SocketAddrV4| a.port() != 0)
}

fn parse_cores(text: &str) -> Option<u32> {
    let cores: f64 = text.parse().ok()?;
    (cores > 0.0 && cores <= 1_024.0).then_some((cores * 1_000.0) as u32)
}

fn parse_seeds(text: &str) -> Option<Vec<SocketAddrV4>> {
    text.split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .map(parse_address)
        .collect()
}

fn parse_seconds(text: &str) -> Option<Millis> {
    let seconds: f64 = text.parse().ok()?;
    (0.1..=3_600.0)
        .contains(&seconds)
        .then_some(Millis((seconds * 1_000.0) as u64))
}
