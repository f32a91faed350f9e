//! HTTP routes for tests: reading records and restarting backend servers.

use std::sync::Arc;

use actix_web::{
    HttpResponse,
    web, //
};

use super::Shared;

/// Registers the `/-/` routes.
pub(super) fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/-/records", web::get().to(records))
        .route("/-/restart/{backend}", web::post().to(restart));
}

async fn records(backends: web::Data<Vec<Arc<Shared>>>) -> HttpResponse {
    match backends.first() {
        Some(shared) => HttpResponse::Ok().json(&*shared.records()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn restart(backends: web::Data<Vec<Arc<Shared>>>, name: web::Path<String>) -> HttpResponse {
    let Some(shared) = backends.iter().find(|s| s.spec.name == *name) else {
        return HttpResponse::NotFound().finish();
    };
    shared.server().restart();
    HttpResponse::Ok().finish()
}
