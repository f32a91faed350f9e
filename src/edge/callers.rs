//! Requests of callers, over HTTP.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
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
    HttpRequest as WebRequest,
    HttpResponse as WebResponse,
    HttpServer,
    dev::ServerHandle,
    http::{
        StatusCode,
        header, //
    },
    web, //
};
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::{
    core::{
        engine::Event,
        names::ServiceId,
        request::{
            Answer,
            Call,
            CallId,
            Header,
            HttpRequest,
            HttpResponse, //
        },
    },
    edge::{
        backends::{
            MAX_BODY,
            is_hop_by_hop, //
        },
        mailbox::{
            AnswerOut,
            CALLERS,
            ENGINE,
            EngineEvent, //
        },
    },
    kernel::{
        clock::{
            Clock,
            Millis, //
        },
        registry::Registry, //
    },
};

/// Carries a caller's deadline, in milliseconds from now.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// Carries a ticket for a request that is not idempotent.
pub const TICKET_HEADER: &str = "x-ticket";

/// Says of a refused request whether it ran: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// The deadline of a caller that names none.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);

type Waiting = Arc<Mutex<HashMap<CallId, oneshot::Sender<Answer>>>>;

/// The service that answers callers.
pub struct Callers {
    waiting: Waiting,
}

/// What the HTTP handlers share.
#[derive(Clone)]
struct Shared {
    engine: Recipient<EngineEvent>,
    waiting: Waiting,
    clock: Clock,
    next_call: Arc<AtomicU64>,
}

impl Callers {
    /// Binds the address for callers and starts the service.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the engine is not registered.
    pub fn bind(
        address: SocketAddr,
        clock: Clock,
        registry: &Registry,
    ) -> io::Result<ServerHandle> {
        let engine = registry
            .find::<EngineEvent>(ENGINE)
            .map_err(io::Error::other)?;
        let waiting = Waiting::default();
        let shared = Shared {
            engine,
            waiting: Arc::clone(&waiting),
            clock,
            next_call: Arc::default(),
        };
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(shared.clone()))
                .app_data(web::PayloadConfig::new(MAX_BODY))
                .default_service(web::to(serve))
        })
        .workers(1)
        .disable_signals()
        .bind(address)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        registry.register(
            CALLERS,
            Callers { waiting }.start().recipient::<AnswerOut>(),
        );
        Ok(handle)
    }
}

impl Actor for Callers {
    type Context = Context<Callers>;
}

impl Handler<AnswerOut> for Callers {
    type Result = ();

    fn handle(&mut self, msg: AnswerOut, _cx: &mut Context<Callers>) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = waiting.remove(&msg.call) {
            // The caller may have gone meanwhile.
            let _ = tx.send(msg.answer);
        }
    }
}

/// Tells the engine when a caller's connection closes before its answer.
struct GoneGuard {
    shared: web::Data<Shared>,
    call: CallId,
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        let mut waiting = self
            .shared
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if waiting.remove(&self.call).is_some() {
            self.shared
                .engine
                .do_send(EngineEvent(Event::CallGone(self.call)));
        }
    }
}

async fn serve(shared: web::Data<Shared>, req: WebRequest, body: Bytes) -> WebResponse {
    let id = CallId(shared.next_call.fetch_add(1, Ordering::Relaxed));
    let (tx, rx) = oneshot::channel();
    shared
        .waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(id, tx);
    let _guard = GoneGuard {
        shared: shared.clone(),
        call: id,
    };
    let call = read_call(&shared, id, &req, body);
    shared.engine.do_send(EngineEvent(Event::Call(call)));
    match rx.await {
        Ok(answer) => respond(answer),
        Err(_) => WebResponse::GatewayTimeout().finish(),
    }
}

fn read_call(shared: &Shared, id: CallId, req: &WebRequest, body: Bytes) -> Call {
    let text = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let host = text("host").unwrap_or_default();
    let service = host.split(':').next().unwrap_or_default();
    let timeout = text(TIMEOUT_HEADER)
        .and_then(|t| t.parse().ok())
        .map_or(DEFAULT_TIMEOUT, Millis);
    let path = req
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let headers = req
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    Call {
        id,
        service: ServiceId::new(service),
        ticket: text(TICKET_HEADER).map(str::to_owned),
        deadline: shared.clock.now() + timeout,
        request: HttpRequest {
            method: req.method().as_str().to_owned(),
            path,
            headers,
            body,
        },
    }
}

fn respond(answer: Answer) -> WebResponse {
    match answer {
        Answer::Answered(response) => relay(response),
        Answer::NotRun {
            reason,
            retry_after,
        } => WebResponse::ServiceUnavailable()
            .insert_header((OUTCOME_HEADER, "not-run"))
            .insert_header((header::RETRY_AFTER, whole_seconds(retry_after)))
            .body(format!("not run: {reason}\n")),
        Answer::Unknown { reason } => WebResponse::GatewayTimeout()
            .insert_header((OUTCOME_HEADER, "unknown"))
            .body(format!("outcome unknown: {reason}\n")),
        Answer::TicketNeeded { ticket } => WebResponse::PreconditionRequired()
            .insert_header((OUTCOME_HEADER, "not-run"))
            .insert_header((TICKET_HEADER, ticket))
            .body("not run: repeat the request with this ticket\n"),
        Answer::TicketInvalid => WebResponse::BadRequest()
            .insert_header((OUTCOME_HEADER, "not-run"))
            .body("not run: the ticket cannot be read; ask for a new one\n"),
    }
}

fn relay(response: HttpResponse) -> WebResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = WebResponse::build(status);
    for header in &response.headers {
        builder.append_header((header.name.as_str(), header.value.as_ref()));
    }
    builder.body(response.body)
}

fn whole_seconds(span: Millis) -> String {
    span.0.div_ceil(1_000).max(1).to_string()
}
