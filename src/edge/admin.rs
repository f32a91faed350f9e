//! Calls of operators, metrics and health probes, over HTTP.

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

/// The largest body of an operator's call, in bytes.
const MAX_BODY: usize = MAX_OBJECT_BYTES;

type Waiting = Arc<Mutex<HashMap<AdminCallId, oneshot::Sender<AdminReply>>>>;

/// The service that answers operators.
pub struct Admin {
    waiting: Waiting,
}

/// What the HTTP handlers share.
#[derive(Clone)]
struct Shared {
    engine: Recipient<EngineEvent>,
    health: Recipient<GetHealth>,
    metrics: Recipient<GetMetrics>,
    waiting: Waiting,
    next_call: Arc<AtomicU64>,
}

impl Admin {
    /// Binds the address for operators and starts the service.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the engine is not registered.
    pub fn bind(address: SocketAddr, registry: &Registry) -> io::Result<ServerHandle> {
        let waiting = Waiting::default();
        let shared = Shared {
            engine: registry.find(ENGINE).map_err(io::Error::other)?,
            health: registry.find(HEALTH).map_err(io::Error::other)?,
            metrics: registry.find(METRICS).map_err(io::Error::other)?,
            waiting: Arc::clone(&waiting),
            next_call: Arc::default(),
        };
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(shared.clone()))
                .route("/healthz", web::get().to(healthz))
                .route("/readyz", web::get().to(readyz))
                .route("/metrics", web::get().to(metrics))
                .app_data(web::PayloadConfig::new(MAX_BODY))
                .route("/v1/status", web::get().to(status))
                .route("/v1/services", web::get().to(services))
                .route("/v1/plans", web::post().to(make_plan))
                .route("/v1/plans/{id}", web::get().to(show_plan))
                .route("/v1/plans/{id}/confirm", web::post().to(confirm))
        })
        .workers(1)
        .disable_signals()
        .bind(address)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        registry.register(ADMIN, Admin { waiting }.start().recipient::<AdminOut>());
        Ok(handle)
    }
}

impl Actor for Admin {
    type Context = Context<Admin>;
}

impl Handler<AdminOut> for Admin {
    type Result = ();

    fn handle(&mut self, msg: AdminOut, _cx: &mut Context<Admin>) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = waiting.remove(&msg.0.id) {
            // The operator may have gone meanwhile.
            let _ = tx.send(msg.0);
        }
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(shared: web::Data<Shared>) -> HttpResponse {
    match shared.health.send(GetHealth).await {
        Ok(health) if health.ready => HttpResponse::Ok().body("ready\n"),
        _ => HttpResponse::ServiceUnavailable().body("no configuration is in force yet\n"),
    }
}

async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    match shared.metrics.send(GetMetrics).await {
        Ok(metrics) => HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(metrics),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(shared: web::Data<Shared>) -> HttpResponse {
    ask(&shared, AdminOp::Status).await
}

async fn services(shared: web::Data<Shared>) -> HttpResponse {
    ask(&shared, AdminOp::Services).await
}

async fn make_plan(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    match serde_json::from_slice::<Intent>(&body) {
        Ok(intent) => ask(&shared, AdminOp::MakePlan(intent)).await,
        Err(e) => HttpResponse::BadRequest().json(json!({
            "error": format!("the body is no intent: {e}"),
            "remedy": "send {\"intent\": \"drain\", \"backend\": NAME} or another intent of the manual",
        })),
    }
}

async fn show_plan(shared: web::Data<Shared>, id: web::Path<String>) -> HttpResponse {
    ask(&shared, AdminOp::ShowPlan(PlanId::new(&*id))).await
}

async fn confirm(shared: web::Data<Shared>, id: web::Path<String>) -> HttpResponse {
    ask(&shared, AdminOp::Confirm(PlanId::new(&*id))).await
}

async fn ask(shared: &Shared, op: AdminOp) -> HttpResponse {
    let id = AdminCallId(shared.next_call.fetch_add(1, Ordering::Relaxed));
    let (tx, rx) = oneshot::channel();
    shared
        .waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(id, tx);
    shared
        .engine
        .do_send(EngineEvent(Event::Admin(AdminCall { id, op })));
    match rx.await {
        Ok(reply) => reply_with(reply),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn reply_with(reply: AdminReply) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(reply.body)
}
