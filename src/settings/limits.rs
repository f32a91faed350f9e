//! `[limits]`: queue lengths. Items that do not fit are dropped and counted.
//!
//! | key | default | meaning |
//! |---|---|---|
//! | `engine-queue` | `65536` | packets, messages and requests queued for the engine |
//! | `peer-queue` | `1024` | messages queued for each peer VM |

use super::reader::Reader;

const SECTION: &str = "limits";

const DEFAULT_ENGINE_QUEUE: usize = 65_536;

const DEFAULT_PEER_QUEUE: u16 = 1_024;

/// Longest queue that the socket library supports.
const MAX_PEER_QUEUE: u16 = 8_192;

/// Queue lengths.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of events queued for the engine.
    pub engine_queue: usize,
    /// Maximum number of messages queued for each peer VM.
    pub peer_queue: u16,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            engine_queue: DEFAULT_ENGINE_QUEUE,
            peer_queue: DEFAULT_PEER_QUEUE,
        }
    }
}

pub(super) fn read(rx: &mut Reader<'_>) -> Limits {
    Limits {
        engine_queue: rx.optional(
            SECTION,
            "engine-queue",
            DEFAULT_ENGINE_QUEUE,
            "a number from 1024 to 1048576",
            |text| text.parse().ok().filter(|n| (1_024..=1 << 20).contains(n)),
        ),
        peer_queue: rx.optional(
            SECTION,
            "peer-queue",
            DEFAULT_PEER_QUEUE,
            "a number from 16 to 8192",
            |text| {
                text.parse()
                    .ok()
                    .filter(|n| (16..=MAX_PEER_QUEUE).contains(n))
            },
        ),
    }
}
