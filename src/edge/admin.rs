//! The HTTP API for operators, metrics and health probes.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
};

use actix::{
    Actor,
    Context,
    Handler,
    Recipient, //
};
use actix_web::{
    App,
    HttpResponse,
    HttpServer,
    dev::ServerHandle,
    http::StatusCode,
    web, //
};
use serde_json::json;
use tokio::sync::oneshot;

use crate::{
    core::{
        engine::Event,
        intent::{
            AdminCall,
            AdminCallId,
            AdminOp,
            AdminReply,
            Intent,
            platform::MAX_OBJECT_BYTES, //
        },
        names::PlanId,
    },
    edge::{
        engine::{
            GetHealth,
            GetMetrics,
            HEALTH,
            METRICS, //
        },
        mailbox::{
            ADMIN,
            AdminOut,
            ENGINE,
            EngineEvent, //
        },
    },
    kernel::registry::Registry,
};

/// The maximum size of a request body in bytes.
const MAX_BODY: usize = MAX_OBJECT_BYTES;

/// The reply channels of calls that the engine has not answered yet.
type PendingCalls = Arc<Mutex<HashMap<AdminCallId, oneshot::Sender<AdminReply>>>>;

/// The actor that passes the engine's replies to the waiting HTTP handlers.
pub struct Admin {
    pending: PendingCalls,
}

/// State shared by the HTTP handlers.
#[derive(Clone)]
struct AppState {
    engine: Recipient<EngineEvent>,
    health: Recipient<GetHealth>,
    metrics: Recipient<GetMetrics>,
    pending: PendingCalls,
    next_id: Arc<AtomicU64>,
}

impl Admin {
    /// Binds `address` and starts the HTTP server and the actor.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the engine is not registered.
    pub fn bind(address: SocketAddr, registry: &Registry) -> io::Result<ServerHandle> {
        let pending = PendingCalls::default();
        let state = AppState {
            engine: registry.find(ENGINE).map_err(io::Error::other)?,
            health: registry.find(HEALTH).map_err(io::Error::other)?,
            metrics: registry.find(METRICS).map_err(io::Error::other)?,
            pending: Arc::clone(&pending),
            next_id: Arc::default(),
        };
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .route("/healthz", web::get().to(healthz))
                .route("/readyz", web::get().to(readyz))
                .route("/metrics", web::get().to(metrics))
                .app_data(web::PayloadConfig::new(MAX_BODY))
                .route("/v1/status", web::get().to(status))
                .route("/v1/services", web::get().to(services))
                .route("/v1/plans", web::post().to(make_plan))
                .route("/v1/plans/{id}", web::get().to(show_plan))
                .route("/v1/plans/{id}/confirm", web::post().to(confirm_plan))
        })
        .workers(1)
        .disable_signals()
        .bind(address)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        registry.register(ADMIN, Admin { pending }.start().recipient::<AdminOut>());
        Ok(handle)
    }
}

impl Actor for Admin {
    type Context = Context<Admin>;
}

impl Handler<AdminOut> for Admin {
    type Result = ();

    fn handle(&mut self, msg: AdminOut, _cx: &mut Context<Admin>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = pending.remove(&msg.0.id) {
            // The operator may have disconnected.
            let _ = tx.send(msg.0);
        }
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(state: web::Data<AppState>) -> HttpResponse {
    match state.health.send(GetHealth).await {
        Ok(health) if health.ready => HttpResponse::Ok().body("ready\n"),
        _ => HttpResponse::ServiceUnavailable().body("no configuration is in force yet\n"),
    }
}

async fn metrics(state: web::Data<AppState>) -> HttpResponse {
    match state.metrics.send(GetMetrics).await {
        Ok(metrics) => HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(metrics),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(state: web::Data<AppState>) -> HttpResponse {
    call_engine(&state, AdminOp::Status).await
}

async fn services(state: web::Data<AppState>) -> HttpResponse {
    call_engine(&state, AdminOp::Services).await
}

async fn make_plan(state: web::Data<AppState>, body: web::Bytes) -> HttpResponse {
    match serde_json::from_slice::<Intent>(&body) {
        Ok(intent) => call_engine(&state, AdminOp::MakePlan(intent)).await,
        Err(e) => HttpResponse::BadRequest().json(json!({
            "error": format!("the body is no intent: {e}"),
            "remedy": "send {\"intent\": \"drain\", \"backend\": NAME} or another intent of the manual",
        })),
    }
}

async fn show_plan(state: web::Data<AppState>, id: web::Path<String>) -> HttpResponse {
    call_engine(&state, AdminOp::ShowPlan(PlanId::new(&*id))).await
}

async fn confirm_plan(state: web::Data<AppState>, id: web::Path<String>) -> HttpResponse {
    call_engine(&state, AdminOp::Confirm(PlanId::new(&*id))).await
}

async fn call_engine(state: &AppState, op: AdminOp) -> HttpResponse {
    let id = AdminCallId(state.next_id.fetch_add(1, Ordering::Relaxed));
    let (tx, rx) = oneshot::channel();
    state
        .pending
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(id, tx);
    state
        .engine
        .do_send(EngineEvent(Event::Admin(AdminCall { id, op })));
    match rx.await {
        Ok(reply) => to_response(reply),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn to_response(reply: AdminReply) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(reply.body)
}
