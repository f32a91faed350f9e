//! `[platform]`: the platform's object API.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `address` | required | TCP, its HTTP address |

use std::net::SocketAddr;

use super::{
    listen::{
        REMOTE_REMEDY,
        parse_remote, //
    },
    reader::Reader,
};

pub(super) fn read(rx: &mut Reader<'_>) -> Option<SocketAddr> {
    rx.required("platform", "address", REMOTE_REMEDY, parse_remote)
}
