//! Requests of callers, over HTTP.

use std::{
    collections::HashMap,
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
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
    HttpRequest as WebRequest,
    HttpResponse as WebResponse,
    HttpServer,
    dev::ServerHandle,
    web, //
};
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::{
    core::{
        engine::Event,
        request::{
            Answer,
            CallId, //
        },
    },
    edge::{
        backends::MAX_BODY,
        caller_http,
        mailbox::{
            AnswerOut,
            CALLERS,
            ENGINE,
            EngineEvent, //
        },
    },
    kernel::{
        clock::Clock,
        registry::Registry, //
    },
};

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
        Callers::listen(TcpListener::bind(address)?, clock, registry)
    }

    /// Starts the service on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the engine is not registered.
    pub fn listen(
        socket: TcpListener,
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
        // A caller who closes its side has hung up: its request is cancelled.
        .h1_allow_half_closed(false)
        .disable_signals()
        .listen(socket)?
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
                .do_send(EngineEvent(Event::CallerGone(self.call)));
        }
    }
}

async fn serve(shared: web::Data<Shared>, req: WebRequest, body: Bytes) -> WebResponse {
    let id = CallId(shared.next_call.fetch_add(1, Ordering::Relaxed));
    let call = match caller_http::read(id, shared.clock.now(), &req, body) {
        Ok(call) => call,
        Err(reason) => return caller_http::reject(reason),
    };
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
    shared.engine.do_send(EngineEvent(Event::Call(call)));
    match rx.await {
        Ok(answer) => caller_http::write(answer),
        Err(_) => WebResponse::GatewayTimeout().finish(),
    }
}
