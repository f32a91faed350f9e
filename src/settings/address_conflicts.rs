//! Detects addresses that conflict with each other.

use std::net::SocketAddr;

use super::{
    Settings,
    peers,
    problem::Problem,
    reader::Reader, //
};

/// An address and the key that sets it.
struct AddressEntry<'a> {
    section: &'static str,
    key: &'a str,
    address: SocketAddr,
}

pub(super) fn check(rx: &mut Reader<'_>, settings: &Settings) {
    let udp = [
        address_entry("listen", "fabric", settings.fabric),
        address_entry("listen", "relay", settings.relay),
        address_entry("fabric", "replies", settings.replies),
    ];
    let tcp = [
        address_entry("listen", "callers", settings.callers),
        address_entry("listen", "peers", settings.peers),
        address_entry("listen", "admin", settings.admin),
        address_entry("platform", "address", settings.platform.address),
    ];
    check_group(rx, &udp);
    check_group(rx, &tcp);
    check_peers(rx, settings);
}

/// Checks the seeds against each other and against this VM's `[listen] peers`.
fn check_peers(rx: &mut Reader<'_>, settings: &Settings) {
    let mut entries = vec![address_entry("listen", "peers", settings.peers)];
    for seed in &settings.seeds {
        let is_self = seed.id == settings.vm;
        if is_self && seed.peer_address == settings.peers {
            continue;
        }
        entries.push(address_entry(
            peers::SECTION,
            seed.id.as_str(),
            seed.peer_address,
        ));
        if is_self {
            report(rx, &entries[entries.len() - 1], &entries[0]);
        }
    }
    check_group(rx, &entries);
}

fn check_group(rx: &mut Reader<'_>, entries: &[AddressEntry<'_>]) {
    for (index, entry) in entries.iter().enumerate() {
        if let Some(other) = entries[..index].iter().find(|other| overlap(other, entry)) {
            report(rx, entry, other);
        }
    }
}

/// Returns whether two addresses share a port and an IP address. An unspecified
/// address (`0.0.0.0` or `::`) overlaps every IP address.
fn overlap(a: &AddressEntry<'_>, b: &AddressEntry<'_>) -> bool {
    let (a, b) = (a.address, b.address);
    let is_wildcard = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (a.ip() == b.ip() || is_wildcard)
}

fn address_entry<'a>(section: &'static str, key: &'a str, address: SocketAddr) -> AddressEntry<'a> {
    AddressEntry {
        section,
        key,
        address,
    }
}

fn report(rx: &mut Reader<'_>, entry: &AddressEntry<'_>, other: &AddressEntry<'_>) {
    rx.report(Problem::AddressConflict {
        section: entry.section,
        key: entry.key.to_owned(),
        value: entry.address.to_string(),
        other: format!("[{}] {} = {}", other.section, other.key, other.address),
    });
}
