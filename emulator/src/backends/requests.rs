//! The requests that backend servers answer.

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

/// Carries the wall-clock time after which a request must not start.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// By this header a backend server says that it did not run the request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Carries the run of the backend server, which changes when it restarts.
const RUN_HEADER: &str = "x-run";

#[derive(Debug, Serialize)]
struct Load {
    in_flight: u32,
    slots: u32,
}

/// Answers one request on the backend server whose address it came to.
pub(super) async fn answer(
    fleet: web::Data<Vec<Arc<Shared>>>,
    req: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let local = req.app_config().local_addr();
    let Some(shared) = at(&fleet, local) else {
        return HttpResponse::NotFound().finish();
    };
    match req.path() {
        "/health" => HttpResponse::Ok().body("ok\n"),
        "/load" => load(shared),
        _ => run(shared, req.headers(), &body).await,
    }
}

/// Copies the load to what is reported, once each lag.
pub(super) async fn report_load(shared: Arc<Shared>) {
    const SHORTEST_LAG: Duration = Duration::from_millis(10);
    loop {
        actix_rt::time::sleep(shared.behaviour.load_lag.max(SHORTEST_LAG)).await;
        let mut server = shared.server();
        server.reported = server.in_flight;
    }
}

fn at(fleet: &[Arc<Shared>], address: SocketAddr) -> Option<&Arc<Shared>> {
    fleet.iter().find(|s| s.spec.requests == address)
}

fn load(shared: &Shared) -> HttpResponse {
    HttpResponse::Ok().json(Load {
        in_flight: shared.server().reported,
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
    let Some(running) = Running::start(shared, id) else {
        shared.records().backend(&shared.spec.name).requests_shed += 1;
        return not_run(shared, "shed");
    };
    let run_time = shared.server().run_time();
    actix_rt::time::sleep(run_time).await;
    running.finish();
    HttpResponse::Ok()
        .insert_header((RUN_HEADER, shared.server().run))
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
        .insert_header((RUN_HEADER, shared.server().run))
        .finish()
}

/// A request that runs. Dropped before its end, it counts as cancelled.
struct Running {
    shared: Arc<Shared>,
    finished: bool,
}

impl Running {
    /// Starts a request unless the server bears no more.
    fn start(shared: &Arc<Shared>, id: &str) -> Option<Running> {
        let mut server = shared.server();
        if server.in_flight >= server.allowance() {
            return None;
        }
        server.in_flight += 1;
        shared
            .records()
            .start(&shared.spec.name, id, server.in_flight);
        Some(Running {
            shared: Arc::clone(shared),
            finished: false,
        })
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.server().in_flight -= 1;
        if !self.finished {
            let name = &self.shared.spec.name;
            self.shared.records().backend(name).requests_cancelled += 1;
        }
    }
}
