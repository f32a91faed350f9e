//! Serves callers' requests over HTTP.

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

/// The answer channels of calls that the engine has not answered yet.
type PendingCalls = Arc<Mutex<HashMap<CallId, oneshot::Sender<Answer>>>>;

/// The actor that passes the engine's answers to the waiting HTTP handlers.
pub struct Callers {
    pending: PendingCalls,
}

/// State shared by the HTTP handlers.
#[derive(Clone)]
struct AppState {
    engine: Recipient<EngineEvent>,
    pending: PendingCalls,
    clock: Clock,
    next_id: Arc<AtomicU64>,
}

impl Callers {
    /// Binds `address` and starts the HTTP server and the actor.
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

    /// Starts the HTTP server and the actor on a bound socket.
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
        let pending = PendingCalls::default();
        let state = AppState {
            engine,
            pending: Arc::clone(&pending),
            clock,
            next_id: Arc::default(),
        };
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(web::PayloadConfig::new(MAX_BODY))
                .default_service(web::to(serve))
        })
        .workers(1)
        // A caller that closes its side of the connection cancels its request.
        .h1_allow_half_closed(false)
        .disable_signals()
        .listen(socket)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        registry.register(
            CALLERS,
            Callers { pending }.start().recipient::<AnswerOut>(),
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
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = pending.remove(&msg.call) {
            // The caller may have disconnected.
            let _ = tx.send(msg.answer);
        }
    }
}

/// Notifies the engine if a caller disconnects before its call is answered.
struct DisconnectGuard {
    state: web::Data<AppState>,
    call: CallId,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let mut pending = self
            .state
            .pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if pending.remove(&self.call).is_some() {
            self.state
                .engine
                .do_send(EngineEvent(Event::CallerGone(self.call)));
        }
    }
}

async fn serve(state: web::Data<AppState>, req: WebRequest, body: Bytes) -> WebResponse {
    let id = CallId(state.next_id.fetch_add(1, Ordering::Relaxed));
    let call = match caller_http::read(id, state.clock.now(), &req, body) {
        Ok(call) => call,
        Err(reason) => return caller_http::reject(reason),
    };
    let (tx, rx) = oneshot::channel();
    state
        .pending
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(id, tx);
    let _guard = DisconnectGuard {
        state: state.clone(),
        call: id,
    };
    state.engine.do_send(EngineEvent(Event::Call(call)));
    match rx.await {
        Ok(answer) => caller_http::write(answer),
        Err(_) => WebResponse::GatewayTimeout().finish(),
    }
}
