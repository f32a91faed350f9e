//! The platform's object API with versions, conditional writes and watches, and
//! routes for fault injection.
//!
//! | Route | Does |
//! |---|---|
//! | `GET /v1/objects/KIND` | lists the objects of a kind |
//! | `GET /v1/objects/KIND/NAME` | reads an object |
//! | `GET /v1/objects/KIND/NAME?after=V&timeout-ms=T` | waits up to T for a version other than V |
//! | `PUT /v1/objects/KIND/NAME` | writes, subject to `If-Match: "V"` or `If-None-Match: *` |
//! | `GET /emulator/faults`, `PUT /emulator/faults` | reads or sets the injected faults |
//! | `GET /emulator/calls` | returns the number of calls so far; a watch counts once |

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use actix_web::{
    App,
    HttpRequest,
    HttpResponse,
    HttpServer,
    http::header::{
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    web, //
};
use serde::Deserialize;
use serde_json::Value;

mod faults;
mod store;

pub use faults::Faults;
pub use store::Object;

use faults::PlatformState;
use store::Precondition;

/// The interval at which a watch checks for a change.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The size limit of an object's value.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    #[serde(rename = "timeout-ms")]
    timeout_ms: Option<u64>,
}

/// Serves the API at `listen`.
///
/// # Errors
///
/// Fails if `listen` cannot be bound.
pub async fn serve(listen: SocketAddr) -> io::Result<()> {
    let platform = web::Data::new(PlatformState::default());
    HttpServer::new(move || {
        App::new()
            .app_data(platform.clone())
            .app_data(web::JsonConfig::default().limit(MAX_VALUE_BYTES))
            .route("/v1/objects/{kind}", web::get().to(list))
            .route("/v1/objects/{kind}/{name}", web::get().to(get))
            .route("/v1/objects/{kind}/{name}", web::put().to(put))
            .route("/emulator/faults", web::get().to(show_faults))
            .route("/emulator/faults", web::put().to(set_faults))
            .route("/emulator/calls", web::get().to(show_calls))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await
}

async fn list(platform: web::Data<PlatformState>, kind: web::Path<String>) -> HttpResponse {
    if !platform.begin_call().await {
        return unavailable();
    }
    let objects = platform.store().list(&kind);
    platform
        .apply_faults(HttpResponse::Ok().json(objects))
        .await
}

async fn get(
    platform: web::Data<PlatformState>,
    key: web::Path<(String, String)>,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    if !platform.begin_call().await {
        return unavailable();
    }
    let key = format!("{}/{}", key.0, key.1);
    let timeout = Duration::from_millis(query.timeout_ms.unwrap_or(0));
    if let Some(after) = query.after
        && !wait_for_change(&platform, &key, after, timeout).await
    {
        return platform
            .apply_faults(HttpResponse::NotModified().finish())
            .await;
    }
    let object = platform.store().get(&key);
    let response = match object {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    };
    platform.apply_faults(response).await
}

async fn wait_for_change(
    platform: &PlatformState,
    key: &str,
    after: u64,
    timeout: Duration,
) -> bool {
    let mut remaining = timeout;
    while platform.store().version(key) == after {
        if remaining.is_zero() {
            return false;
        }
        actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
        remaining = remaining.saturating_sub(WATCH_POLL_INTERVAL);
    }
    true
}

async fn put(
    platform: web::Data<PlatformState>,
    key: web::Path<(String, String)>,
    req: HttpRequest,
    value: web::Json<Value>,
) -> HttpResponse {
    if !platform.begin_call().await {
        return unavailable();
    }
    let Some(precondition) = precondition(&req) else {
        let reason = "If-Match must be a version in quotes";
        return HttpResponse::BadRequest().body(reason);
    };
    let key = format!("{}/{}", key.0, key.1);
    let stored = platform.store().put(&key, precondition, value.into_inner());
    let response = match stored {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::PreconditionFailed().finish(),
    };
    platform.apply_faults(response).await
}

fn precondition(req: &HttpRequest) -> Option<Precondition> {
    if req.headers().contains_key(IF_NONE_MATCH) {
        return Some(Precondition::Absent);
    }
    let Some(value) = req.headers().get(IF_MATCH) else {
        return Some(Precondition::None);
    };
    let version = value.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some(Precondition::Version(version))
}

async fn show_faults(platform: web::Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(platform.faults())
}

async fn set_faults(platform: web::Data<PlatformState>, faults: web::Json<Faults>) -> HttpResponse {
    platform.set_faults(faults.into_inner());
    HttpResponse::Ok().json(platform.faults())
}

async fn show_calls(platform: web::Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(platform.calls())
}

/// The response during an outage, which does not tell whether the call took
/// effect.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}
