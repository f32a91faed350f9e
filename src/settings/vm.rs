//! `[vm]`: identity of this VM.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `name` | required | the VM's unique name |
//! | `data-centre` | required | the data centre that the VM runs in |

use super::reader::Reader;
use crate::core::names::{
    DataCentreId,
    VmId, //
};

const SECTION: &str = "vm";

const MAX_NAME_BYTES: usize = 64;

const NAME_SYNTAX: &str = "up to 64 letters, digits, dots, hyphens or underscores";

/// Identity of this VM.
pub(super) struct Identity {
    pub(super) name: VmId,
    pub(super) data_centre: DataCentreId,
}

pub(super) fn read(rx: &mut Reader<'_>) -> Option<Identity> {
    let name = rx.required(SECTION, "name", NAME_SYNTAX, parse_name);
    let data_centre = rx.required(SECTION, "data-centre", NAME_SYNTAX, parse_name);
    Some(Identity {
        name: VmId::new(name?),
        data_centre: DataCentreId::new(data_centre?),
    })
}

/// Parses the name of a VM or a data centre.
pub(super) fn parse_name(text: &str) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    let has_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    (has_valid_length && text.chars().all(is_allowed)).then(|| text.to_owned())
}
