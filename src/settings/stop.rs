//! `[stop]`: timing of a graceful shutdown.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `notice-ms` | `1000` | how long to keep serving after `/readyz` reports not ready |
//! | `timeout-ms` | `30000` | timeout of the whole shutdown |

use super::reader::Reader;
use crate::kernel::clock::Millis;

const SECTION: &str = "stop";

const DEFAULT_NOTICE: Millis = Millis::from_secs(1);

const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);

const MAX_TIMEOUT: Millis = Millis::from_secs(3_600);

/// Timing of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSettings {
    /// How long to keep serving after `/readyz` reports not ready.
    pub notice: Millis,
    /// Timeout of the whole shutdown, including the notice.
    pub timeout: Millis,
}

pub(super) fn read(rx: &mut Reader<'_>) -> StopSettings {
    StopSettings {
        notice: rx.optional(
            SECTION,
            "notice-ms",
            DEFAULT_NOTICE,
            "milliseconds from 0 to 3600000",
            parse_duration,
        ),
        timeout: rx.optional(
            SECTION,
            "timeout-ms",
            DEFAULT_TIMEOUT,
            "milliseconds from 1 to 3600000",
            |text| parse_duration(text).filter(|duration| *duration >= Millis(1)),
        ),
    }
}

fn parse_duration(text: &str) -> Option<Millis> {
    let duration = Millis(text.parse().ok()?);
    (duration <= MAX_TIMEOUT).then_some(duration)
}
