//! `[vm]`: which VM this is.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `name` | required | the VM's unique name |
//! | `data-centre` | required | the data centre that it stands in |

use super::reader::Reader;
use crate::core::names::{
    DataCentreId,
    VmId, //
};

const SECTION: &str = "vm";

/// The longest name, in bytes.
const MAX_NAME: usize = 64;

const NAME_REMEDY: &str = "up to 64 letters, digits, dots, hyphens or underscores";

/// Which VM this is.
pub(super) struct Identity {
    pub(super) name: VmId,
    pub(super) data_centre: DataCentreId,
}

pub(super) fn read(rx: &mut Reader<'_>) -> Option<Identity> {
    let name = rx.required(SECTION, "name", NAME_REMEDY, parse_name);
    let data_centre = rx.required(SECTION, "data-centre", NAME_REMEDY, parse_name);
    Some(Identity {
        name: VmId::new(name?),
        data_centre: DataCentreId::new(data_centre?),
    })
}

/// Reads the name of a VM or a data centre.
pub(super) fn parse_name(text: &str) -> Option<String> {
    let usual = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    let fits = !text.is_empty() && text.len() <= MAX_NAME;
    (fits && text.chars().all(usual)).then(|| text.to_owned())
}
