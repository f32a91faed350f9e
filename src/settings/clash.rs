//! Finds addresses that cannot be used together.

use std::net::SocketAddr;

use super::{
    Settings,
    peers,
    problem::Problem,
    reader::Reader, //
};

/// An address with its place in the settings.
struct Place<'a> {
    section: &'static str,
    key: &'a str,
    address: SocketAddr,
}

pub(super) fn check(rx: &mut Reader<'_>, settings: &Settings) {
    let udp = [
        place("listen", "fabric", settings.fabric),
        place("listen", "relay", settings.relay),
        place("fabric", "replies", settings.replies),
    ];
    let tcp = [
        place("listen", "callers", settings.callers),
        place("listen", "peers", settings.peers),
        place("listen", "admin", settings.admin),
        place("platform", "address", settings.platform.address),
    ];
    check_group(rx, &udp);
    check_group(rx, &tcp);
    check_peers(rx, settings);
}

/// Checks the seeds against each other and against this VM's own address.
fn check_peers(rx: &mut Reader<'_>, settings: &Settings) {
    let mut places = vec![place("listen", "peers", settings.peers)];
    for seed in &settings.seeds {
        let own_name = seed.id == settings.vm;
        if own_name && seed.peer_address == settings.peers {
            continue;
        }
        places.push(place(peers::SECTION, seed.id.as_str(), seed.peer_address));
        if own_name {
            report(rx, &places[places.len() - 1], &places[0]);
        }
    }
    check_group(rx, &places);
}

fn check_group(rx: &mut Reader<'_>, places: &[Place<'_>]) {
    for (at, place) in places.iter().enumerate() {
        if let Some(other) = places[..at].iter().find(|other| overlap(other, place)) {
            report(rx, place, other);
        }
    }
}

/// Tells whether two addresses cannot be bound or reached apart.
fn overlap(a: &Place<'_>, b: &Place<'_>) -> bool {
    let (a, b) = (a.address, b.address);
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (a.ip() == b.ip() || any)
}

fn place<'a>(section: &'static str, key: &'a str, address: SocketAddr) -> Place<'a> {
    Place {
        section,
        key,
        address,
    }
}

fn report(rx: &mut Reader<'_>, place: &Place<'_>, other: &Place<'_>) {
    rx.report(Problem::Clash {
        section: place.section,
        key: place.key.to_owned(),
        value: place.address.to_string(),
        other: format!("[{}] {} = {}", other.section, other.key, other.address),
    });
}
