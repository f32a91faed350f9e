//! `[stop]`: the planned stop.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `timeout-ms` | `30000` | how long running requests may take to end |

use super::reader::Reader;
use crate::kernel::clock::Millis;

/// How long a planned stop may take unless the settings say otherwise.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);

/// The longest time that a planned stop may take.
const MAX_TIMEOUT: Millis = Millis::from_secs(3_600);

pub(super) fn read(rx: &mut Reader<'_>) -> Millis {
    rx.optional(
        "stop",
        "timeout-ms",
        DEFAULT_TIMEOUT,
        "milliseconds from 1 to 3600000",
        parse_timeout,
    )
}

fn parse_timeout(text: &str) -> Option<Millis> {
    let timeout = Millis(text.parse().ok()?);
    (timeout >= Millis(1) && timeout <= MAX_TIMEOUT).then_some(timeout)
}
