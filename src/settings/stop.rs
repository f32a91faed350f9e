//! `[stop]`: the planned stop.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `notice-ms` | `1000` | how long to go on serving after `/readyz` says no |
//! | `timeout-ms` | `30000` | how long the whole stop may take |

use super::reader::Reader;
use crate::kernel::clock::Millis;

const SECTION: &str = "stop";

const DEFAULT_NOTICE: Millis = Millis::from_secs(1);

const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);

/// The longest time that a planned stop may take.
const MAX_TIMEOUT: Millis = Millis::from_secs(3_600);

/// How long the steps of a planned stop take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSettings {
    /// How long to go on serving after `/readyz` says no.
    pub notice: Millis,
    /// How long the whole stop may take.
    pub timeout: Millis,
}

pub(super) fn read(rx: &mut Reader<'_>) -> StopSettings {
    StopSettings {
        notice: rx.optional(
            SECTION,
            "notice-ms",
            DEFAULT_NOTICE,
            "milliseconds from 0 to 3600000",
            parse_span,
        ),
        timeout: rx.optional(
            SECTION,
            "timeout-ms",
            DEFAULT_TIMEOUT,
            "milliseconds from 1 to 3600000",
            |text| parse_span(text).filter(|span| *span >= Millis(1)),
        ),
    }
}

fn parse_span(text: &str) -> Option<Millis> {
    let span = Millis(text.parse().ok()?);
    (span <= MAX_TIMEOUT).then_some(span)
}
