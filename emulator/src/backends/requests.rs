//! Request handling of an emulated backend server.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    HttpRequest,
    HttpResponse,
    http::header::HeaderMap,
    web, //
};
use serde::Serialize;

use super::{
    Shared,
    server::wall_ms, //
};
use crate::receipt::{
    REQUEST_ID_HEADER,
    Receipt, //
};

/// The wall-clock time after which a request must not start, in milliseconds
/// since the Unix epoch.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Marks a response to a request that the backend server did not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Identifies the run of the backend server, which changes when it restarts.
const RUN_HEADER: &str = "x-run";

#[derive(Debug, Serialize)]
struct Load {
    in_flight: u32,
    slots: u32,
}

/// Handles a request to the backend server bound to its local address.
pub(super) async fn answer(
    backends: web::Data<Vec<Arc<Shared>>>,
    req: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let local = req.app_config().local_addr();
    let Some(shared) = find_by_address(&backends, local) else {
        return HttpResponse::NotFound().finish();
    };
    match req.path() {
        "/health" => HttpResponse::Ok().body("ok\n"),
        "/load" => load(shared),
        _ => run(shared, req.headers(), &body).await,
    }
}

/// Updates the reported load once per load lag.
pub(super) async fn report_load(shared: Arc<Shared>) {
    const MIN_INTERVAL: Duration = Duration::from_millis(10);
    loop {
        actix_rt::time::sleep(shared.behaviour.load_lag.max(MIN_INTERVAL)).await;
        let mut server = shared.server();
        server.reported_in_flight = server.in_flight;
    }
}

fn find_by_address(backends: &[Arc<Shared>], address: SocketAddr) -> Option<&Arc<Shared>> {
    backends.iter().find(|s| s.spec.requests == address)
}

fn load(shared: &Shared) -> HttpResponse {
    HttpResponse::Ok().json(Load {
        in_flight: shared.server().reported_in_flight,
        slots: shared.spec.slots,
    })
}

async fn run(shared: &Arc<Shared>, headers: &HeaderMap, body: &[u8]) -> HttpResponse {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let deadline = text(DEADLINE_HEADER).and_then(|t| t.parse::<u64>().ok());
    if deadline.is_some_and(|deadline| deadline < wall_ms()) {
        shared.records().backend(&shared.spec.name).requests_late += 1;
        return not_run(shared, "deadline");
    }
    let id = text(REQUEST_ID_HEADER).unwrap_or_default();
    let Some(running) = RunningRequest::start(shared, id) else {
        shared.records().backend(&shared.spec.name).requests_shed += 1;
        return not_run(shared, "shed");
    };
    let run_time = shared.server().run_time();
    actix_rt::time::sleep(run_time).await;
    running.finish();
    HttpResponse::Ok()
        .insert_header((RUN_HEADER, shared.server().run_id))
        .json(Receipt {
            backend: shared.spec.name.clone(),
            service: shared.spec.service.clone(),
            id: id.to_owned(),
            body: String::from_utf8_lossy(body).into_owned(),
        })
}

fn not_run(shared: &Shared, reason: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header((NOT_RUN_HEADER, reason))
        .insert_header((RUN_HEADER, shared.server().run_id))
        .finish()
}

/// A request that runs. If dropped before [`RunningRequest::finish`], it counts
/// as cancelled.
struct RunningRequest {
    shared: Arc<Shared>,
    finished: bool,
}

impl RunningRequest {
    /// Starts a request. Returns `None` if the concurrency limit is reached.
    fn start(shared: &Arc<Shared>, id: &str) -> Option<RunningRequest> {
        let mut server = shared.server();
        if server.in_flight >= server.concurrency_limit() {
            return None;
        }
        server.in_flight += 1;
        shared
            .records()
            .record_start(&shared.spec.name, id, server.in_flight);
        Some(RunningRequest {
            shared: Arc::clone(shared),
            finished: false,
        })
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.server().in_flight -= 1;
        if !self.finished {
            let name = &self.shared.spec.name;
            self.shared.records().backend(name).requests_cancelled += 1;
        }
    }
}
