//! `[platform]`: the platform's object API.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `address` | required | TCP, HTTP address of the API |
//! | `cell` | none | letters, digits and hyphens; name of the group of VMs that share one configuration |
//!
//! Without `cell`, the configuration is the object `configurations/current`.
//! With `cell = north-1` it is `configurations/north-1.current`; the names of
//! all other objects get the same prefix, so that several cells can share one
//! platform.

use std::net::SocketAddr;

use super::{
    listen::{
        REMOTE_SYNTAX,
        parse_remote, //
    },
    reader::Reader,
};

const SECTION: &str = "platform";

const MAX_CELL_BYTES: usize = 63;

/// Address of the platform and the cell whose objects this VM uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// HTTP address of the platform's object API.
    pub address: SocketAddr,
    /// Prefix of the object names of this cell; `None` if the platform serves
    /// only one cell.
    pub cell: Option<String>,
}

pub(super) fn read(rx: &mut Reader<'_>) -> Option<PlatformSettings> {
    let address = rx.required(SECTION, "address", REMOTE_SYNTAX, parse_remote);
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
    let has_valid_chars = text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    let has_valid_length = (1..=MAX_CELL_BYTES).contains(&text.len());
    (has_valid_chars && has_valid_length).then(|| text.to_owned())
}
