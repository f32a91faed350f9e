//! Fault injection and shared state of the emulated platform.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use actix_web::HttpResponse;
use serde::{
    Deserialize,
    Serialize, //
};

use super::store::Store;

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Faults {
    /// Calls fail without effect.
    pub down: bool,
    /// The delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Calls take effect and their responses are lost.
    pub lose_answers: bool,
}

/// State shared by the request handlers.
#[derive(Default)]
pub(super) struct PlatformState {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    calls: AtomicU64,
}

impl PlatformState {
    /// Locks the object store.
    pub(super) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the faults to inject.
    pub(super) fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults to inject.
    pub(super) fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the number of API calls so far.
    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Counts a call and returns whether it may take effect.
    pub(super) async fn begin_call(&self) -> bool {
        self.calls.fetch_add(1, Ordering::Relaxed);
        !self.faults().down
    }

    /// Delays `response`, or replaces it by a 503, as the faults require.
    pub(super) async fn apply_faults(&self, response: HttpResponse) -> HttpResponse {
        let faults = self.faults();
        actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.lose_answers || faults.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        response
    }
}
