//! `[listen]`: the addresses that this VM binds. `[fabric]`: where it sends
//! packets for callers.
//!
//! | section | key | default | meaning |
//! |---|---|---|---|
//! | `[listen]` | `fabric` | required | UDP, packets that the fabric distributes over the VMs |
//! | `[listen]` | `relay` | required | UDP, packets relayed by other VMs |
//! | `[listen]` | `callers` | required | TCP, HTTP requests from callers |
//! | `[listen]` | `peers` | required | TCP, messages from other VMs |
//! | `[listen]` | `admin` | required | TCP, HTTP for operators, probes and metrics |
//! | `[fabric]` | `replies` | required | UDP, destination of packets for callers |

use std::net::SocketAddr;

use super::reader::Reader;

const SECTION: &str = "listen";

const BIND_SYNTAX: &str = "IP:PORT with a port other than 0";

const REACHABLE_SYNTAX: &str = "IP:PORT with the VM's own IP address and a port other than 0";

/// The addresses that this VM binds.
pub(super) struct Listen {
    pub(super) fabric: SocketAddr,
    pub(super) relay: SocketAddr,
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) admin: SocketAddr,
}

pub(super) fn read(rx: &mut Reader<'_>) -> Option<Listen> {
    let fabric = rx.required(SECTION, "fabric", BIND_SYNTAX, parse_bind);
    // Other VMs send to these two, so wildcard and multicast addresses are
    // rejected.
    let relay = rx.required(SECTION, "relay", REACHABLE_SYNTAX, parse_remote);
    let peers = rx.required(SECTION, "peers", REACHABLE_SYNTAX, parse_remote);
    let callers = rx.required(SECTION, "callers", BIND_SYNTAX, parse_bind);
    let admin = rx.required(SECTION, "admin", BIND_SYNTAX, parse_bind);
    Some(Listen {
        fabric: fabric?,
        relay: relay?,
        callers: callers?,
        peers: peers?,
        admin: admin?,
    })
}

pub(super) fn read_replies(rx: &mut Reader<'_>) -> Option<SocketAddr> {
    rx.required("fabric", "replies", REMOTE_SYNTAX, parse_remote)
}

/// Syntax of a remote address, as error messages describe it.
pub(super) const REMOTE_SYNTAX: &str = "IP:PORT of one host with a port other than 0";

/// Parses a remote address; rejects wildcard and multicast addresses.
pub(super) fn parse_remote(text: &str) -> Option<SocketAddr> {
    parse_bind(text).filter(|a| !a.ip().is_unspecified() && !a.ip().is_multicast())
}

fn parse_bind(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|a: &SocketAddr| a.port() != 0)
}
