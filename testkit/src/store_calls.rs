//! Calls to the store of the users' platform, and a backend server as it lists it.

use dragonflytrack::{
    core::steering::store::{
        Era,
        Kind,
        Position,
        Revision,
        StoreCall, //
    },
    kernel::clock::Millis,
};
use serde_json::{
    Value as Json,
    json, //
};

/// Era in which the store answers.
pub const ERA: Era = Era(2);

/// Returns the call for the first page of a list.
pub fn list(kind: Kind) -> StoreCall {
    StoreCall::List {
        kind,
        after: None,
        allow_stale: false,
    }
}

/// Returns the call for changes.
pub fn watch(kind: Kind) -> StoreCall {
    StoreCall::Watch {
        kind,
        since: Position::new(ERA, Revision(530)),
        wait: Millis(1_500),
    }
}

/// Returns the value of a backend server.
pub fn server_spec() -> Json {
    json!({
        "service": "huvo11a", "address": "10.128.0.9:8080", "zone": "caerdydd", "version": "v1",
        "concurrency": 4, "state": "ready", "warmupLeftMs": 700, "sequence": 4, "born": 1_790_000_000_123_u64,
    })
}
