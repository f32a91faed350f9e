//! The checker's view of the backend servers, over HTTP.

use std::sync::Arc;

use actix_web::{
    HttpResponse,
    web, //
};

use super::Shared;

/// Adds the routes for checkers.
pub(super) fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/-/records", web::get().to(records))
        .route("/-/restart/{backend}", web::post().to(restart));
}

async fn records(fleet: web::Data<Vec<Arc<Shared>>>) -> HttpResponse {
    match fleet.first() {
        Some(shared) => HttpResponse::Ok().json(&*shared.records()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn restart(fleet: web::Data<Vec<Arc<Shared>>>, name: web::Path<String>) -> HttpResponse {
    let Some(shared) = fleet.iter().find(|s| s.spec.name == *name) else {
        return HttpResponse::NotFound().finish();
    };
    shared.server().restart();
    HttpResponse::Ok().finish()
}
