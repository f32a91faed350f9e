//! The platform's object API: versions, conditional writes and watches, with
//! faults that are set over a route of their own.
//!
//! | Route | Does |
//! |---|---|
//! | `GET /v1/objects/KIND` | lists the objects of a kind |
//! | `GET /v1/objects/KIND/NAME` | reads an object |
//! | `GET /v1/objects/KIND/NAME?after=V&timeout-ms=T` | waits for another version than V |
//! | `PUT /v1/objects/KIND/NAME` | writes, under `If-Match: "V"` or `If-None-Match: *` |
//! | `GET /emulator/faults`, `PUT /emulator/faults` | shows and sets the faults |
//! | `GET /emulator/calls` | the number of calls so far, a watch counted once |

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

use faults::Platform;
use store::Precondition;

/// How often a watch looks for a change.
const WATCH_POLL: Duration = Duration::from_millis(20);

/// The largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

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
    let platform = web::Data::new(Platform::default());
    HttpServer::new(move || {
        App::new()
            .app_data(platform.clone())
            .app_data(web::JsonConfig::default().limit(MAX_VALUE))
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

async fn list(platform: web::Data<Platform>, kind: web::Path<String>) -> HttpResponse {
    if !platform.begin().await {
        return no_answer();
    }
    let objects = platform.store().list(&kind);
    platform.answer(HttpResponse::Ok().json(objects)).await
}

async fn get(
    platform: web::Data<Platform>,
    key: web::Path<(String, String)>,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    if !platform.begin().await {
        return no_answer();
    }
    let key = format!("{}/{}", key.0, key.1);
    let watch = Duration::from_millis(query.timeout_ms.unwrap_or(0));
    if let Some(after) = query.after
        && !is_changed(&platform, &key, after, watch).await
    {
        return platform.answer(HttpResponse::NotModified().finish()).await;
    }
    let object = platform.store().get(&key);
    let response = match object {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    };
    platform.answer(response).await
}

async fn is_changed(platform: &Platform, key: &str, after: u64, watch: Duration) -> bool {
    let mut left = watch;
    while platform.store().version(key) == after {
        if left.is_zero() {
            return false;
        }
        actix_rt::time::sleep(WATCH_POLL).await;
        left = left.saturating_sub(WATCH_POLL);
    }
    true
}

async fn put(
    platform: web::Data<Platform>,
    key: web::Path<(String, String)>,
    req: HttpRequest,
    value: web::Json<Value>,
) -> HttpResponse {
    if !platform.begin().await {
        return no_answer();
    }
    let Some(precondition) = precondition(&req) else {
        let reason = "If-Match must be a version in quotes";
        return HttpResponse::BadRequest().body(reason);
    };
    let key = format!("{}/{}", key.0, key.1);
    let written = platform.store().put(&key, precondition, value.into_inner());
    let response = match written {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::PreconditionFailed().finish(),
    };
    platform.answer(response).await
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

async fn show_faults(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(platform.faults())
}

async fn set_faults(platform: web::Data<Platform>, faults: web::Json<Faults>) -> HttpResponse {
    platform.set_faults(faults.into_inner());
    HttpResponse::Ok().json(platform.faults())
}

async fn show_calls(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(platform.calls())
}

/// An outage as callers see it: an answer that says nothing.
fn no_answer() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}
