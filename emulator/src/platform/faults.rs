//! The faults of the platform, and the count of its calls.

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

/// The faults that are in effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Faults {
    /// Calls have no effect and fail.
    pub down: bool,
    /// How long each answer takes, in milliseconds.
    pub slow_ms: u64,
    /// Calls take effect and their answers are lost.
    pub lose_answers: bool,
}

/// What the handlers share.
#[derive(Default)]
pub(super) struct Platform {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    calls: AtomicU64,
}

impl Platform {
    /// Returns the objects.
    pub(super) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the faults that are in effect.
    pub(super) fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
    pub(super) fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the number of calls so far.
    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Counts a call. Returns whether it may have an effect.
    pub(super) async fn begin(&self) -> bool {
        self.calls.fetch_add(1, Ordering::Relaxed);
        !self.faults().down
    }

    /// Returns `response`, late or lost if the faults say so.
    pub(super) async fn answer(&self, response: HttpResponse) -> HttpResponse {
        let faults = self.faults();
        actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.lose_answers || faults.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        response
    }
}
