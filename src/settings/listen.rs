//! `[listen]`: the addresses of this VM; and `[fabric]`: the way back to
//! callers.
//!
//! | section | key | default | meaning |
//! |---|---|---|---|
//! | `[listen]` | `fabric` | required | UDP, packets that the fabric sprays |
//! | `[listen]` | `relay` | required | UDP, packets that other VMs relay |
//! | `[listen]` | `callers` | required | TCP, HTTP requests of callers |
//! | `[listen]` | `peers` | required | TCP, messages of other VMs |
//! | `[listen]` | `admin` | required | TCP, HTTP for operators, probes and metrics |
//! | `[fabric]` | `replies` | required | UDP, where packets to callers are sent |

use std::net::SocketAddr;

use super::reader::Reader;

const SECTION: &str = "listen";

const LISTEN_REMEDY: &str = "IP:PORT with a port other than 0";

const OWN_REMEDY: &str = "IP:PORT with the VM's own IP address and a port other than 0";

/// The addresses of this VM.
pub(super) struct Listen {
    pub(super) fabric: SocketAddr,
    pub(super) relay: SocketAddr,
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) admin: SocketAddr,
}

pub(super) fn read(rx: &mut Reader<'_>) -> Option<Listen> {
    let fabric = rx.required(SECTION, "fabric", LISTEN_REMEDY, parse_listen);
    // Other VMs are told these two, so that they must name one host.
    let relay = rx.required(SECTION, "relay", OWN_REMEDY, parse_remote);
    let peers = rx.required(SECTION, "peers", OWN_REMEDY, parse_remote);
    let callers = rx.required(SECTION, "callers", LISTEN_REMEDY, parse_listen);
    let admin = rx.required(SECTION, "admin", LISTEN_REMEDY, parse_listen);
    Some(Listen {
        fabric: fabric?,
        relay: relay?,
        callers: callers?,
        peers: peers?,
        admin: admin?,
    })
}

pub(super) fn read_replies(rx: &mut Reader<'_>) -> Option<SocketAddr> {
    rx.required("fabric", "replies", REMOTE_REMEDY, parse_remote)
}

/// What to write for an address that packets or messages are sent to.
pub(super) const REMOTE_REMEDY: &str = "IP:PORT of one host with a port other than 0";

/// Reads an address that packets or messages are sent to.
pub(super) fn parse_remote(text: &str) -> Option<SocketAddr> {
    parse_listen(text).filter(|a| !a.ip().is_unspecified() && !a.ip().is_multicast())
}

fn parse_listen(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|a: &SocketAddr| a.port() != 0)
}
