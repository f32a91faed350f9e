//! `[platform]`: the platform's object API.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `address` | required | TCP, its HTTP address |
//! | `cell` | none | letters, digits and hyphens; the name of the VMs that share one configuration |
//!
//! Without `cell` the configuration is the object `configurations/current`. With
//! `cell = north-1` it is `configurations/north-1.current`, and likewise for all
//! other objects, so that many cells share one platform.

use std::net::SocketAddr;

use super::{
    listen::{
        REMOTE_REMEDY,
        parse_remote, //
    },
    reader::Reader,
};

const SECTION: &str = "platform";

/// The longest name of a cell, in bytes.
const MAX_CELL: usize = 63;

/// Where the platform is and what of it belongs to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// The platform's HTTP address.
    pub address: SocketAddr,
    /// The name of the VMs that share one configuration, if there are others at
    /// this platform.
    pub cell: Option<String>,
}

pub(super) fn read(rx: &mut Reader<'_>) -> Option<PlatformSettings> {
    let address = rx.required(SECTION, "address", REMOTE_REMEDY, parse_remote);
    let cell = rx.optional(
        SECTION,
        "cell",
        None,
        "1 to 63 letters, digits and hyphens",
        |text| parse_cell(text).map(Some),
    );
    Some(PlatformSettings {
        address: address?,
        cell,
    })
}

fn parse_cell(text: &str) -> Option<String> {
    let is_name = text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    let is_length = (1..=MAX_CELL).contains(&text.len());
    (is_name && is_length).then(|| text.to_owned())
}
