//! Settings of an entry VM that steers flows by tag.
//!
//! | section | key | default | meaning |
//! |---|---|---|---|
//! | `[vm]` | `name` | required | the VM's unique name |
//! | `[vm]` | `data-centre` | required | the data centre that the VM runs in |
//! | `[vm]` | `cores` | 1 | the VM's share of processor cores; the VMs with the most cores serve the others |
//! | `[listen]` | `packets` | required | UDP, packets from clients; clients listen on the same port |
//! | `[listen]` | `ready` | required | TCP, HTTP readiness probe |
//! | `[listen]` | `peers` | required | TCP and UDP, messages from other VMs |
//! | `[listen]` | `announced` | `peers` | the address at which other VMs reach `peers`, if it differs |
//! | `[listen]` | `metrics` | required | TCP, HTTP `/metrics` |
//! | `[store]` | `address` | required | TCP, HTTP address of the platform's store |
//! | `[seeds]` | `addresses` | none | other VMs, `IP:PORT,..`; their ports are replaced by that of `announced` |
//! | `[stop]` | `seconds` | 6 | timeout of a graceful stop |
//!
//! `[log]` and `[log-levels]` are the same as in [`Settings`](super::Settings).

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

const ADDRESS_SYNTAX: &str = "IPv4:PORT with a port other than 0";

const SEEDS_SYNTAX: &str = "IPv4:PORT,IPv4:PORT,..";

const STOP_SYNTAX: &str = "seconds between 0.1 and 3600";

const CORES_SYNTAX: &str = "a number above 0 and up to 1024, such as 0.25";

const DEFAULT_MILLICORES: u32 = 1_000;

const DEFAULT_STOP_TIMEOUT: Millis = Millis::from_secs(6);

/// Settings of an entry VM started with `steer`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SteeringSettings {
    /// Unique name of the VM.
    pub vm: VmId,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentreId,
    /// Processor share of the VM, in thousandths of a core.
    pub millicores: u32,
    /// UDP address that receives packets from clients.
    pub packets: SocketAddrV4,
    /// HTTP address of the readiness probe.
    pub ready: SocketAddrV4,
    /// TCP and UDP address that receives messages from other VMs.
    pub peers: SocketAddrV4,
    /// Address at which other VMs reach `peers`.
    pub announced: SocketAddrV4,
    /// HTTP address of the metrics endpoint.
    pub metrics: SocketAddrV4,
    /// HTTP address of the platform's store.
    pub store: SocketAddrV4,
    /// Addresses of other VMs to contact at startup.
    pub seeds: Vec<SocketAddrV4>,
    /// Timeout of a graceful stop.
    pub stop_timeout: Millis,
    /// Log format and levels.
    pub log: LogSettings,
}

impl SteeringSettings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not valid INI or has invalid
    /// settings.
    pub fn load(path: impl AsRef<Path>) -> Result<SteeringSettings, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::Unreadable { source })?;
        SteeringSettings::parse(&text)
    }

    /// Parses the settings in `text`.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not valid INI or has invalid settings. In the latter
    /// case, the error lists every problem.
    pub fn parse(text: &str) -> Result<SteeringSettings, SettingsError> {
        parse_ini(text, read)
    }
}

fn read(rx: &mut Reader<'_>) -> Option<SteeringSettings> {
    let vm = vm::read(rx);
    let millicores = rx.optional("vm", "cores", DEFAULT_MILLICORES, CORES_SYNTAX, parse_cores);
    let packets = rx.required("listen", "packets", ADDRESS_SYNTAX, parse_address);
    let ready = rx.required("listen", "ready", ADDRESS_SYNTAX, parse_address);
    let peers = rx.required("listen", "peers", ADDRESS_SYNTAX, parse_address);
    let announced = rx.optional("listen", "announced", None, ADDRESS_SYNTAX, |text| {
        parse_address(text).map(Some)
    });
    let metrics = rx.required("listen", "metrics", ADDRESS_SYNTAX, parse_address);
    let store = rx.required("store", "address", ADDRESS_SYNTAX, parse_address);
    let seeds = rx.optional("seeds", "addresses", Vec::new(), SEEDS_SYNTAX, parse_seeds);
    let stop_timeout = rx.optional(
        "stop",
        "seconds",
        DEFAULT_STOP_TIMEOUT,
        STOP_SYNTAX,
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
