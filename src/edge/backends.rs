//! Requests to backend servers, over HTTP.

use std::{
    collections::HashMap,
    time::Duration, //
};

use actix::{
    Actor,
    ActorFutureExt,
    AsyncContext,
    Context,
    Handler,
    Recipient,
    SpawnHandle,
    WrapFuture, //
};
use awc::{
    Client,
    error::SendRequestError,
    http::Method, //
};
use bytes::Bytes;

use crate::{
    core::{
        engine::Event,
        request::{
            Attempt,
            AttemptId,
            AttemptOutcome,
            Header,
            HttpResponse,
            NotRunReason,
            UnknownReason, //
        },
    },
    edge::mailbox::{
        AttemptCancelled,
        AttemptOut,
        BACKENDS,
        BACKENDS_CANCEL,
        ENGINE,
        EngineEvent, //
    },
    kernel::registry::{
        Registry,
        RegistryError, //
    },
};

/// The largest body that is read, in bytes.
pub const MAX_BODY: usize = 8 << 20;

/// Carries the time, in milliseconds since the Unix epoch, after which a
/// backend server must not start a request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// By this header a backend server says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The service that sends requests to backend servers.
pub struct Backends {
    client: Client,
    engine: Recipient<EngineEvent>,
    running: HashMap<AttemptId, SpawnHandle>,
}

impl Backends {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails if the engine is not registered.
    pub fn spawn(registry: &Registry) -> Result<(), RegistryError> {
        let service = Backends {
            client: Client::builder().disable_timeout().finish(),
            engine: registry.find::<EngineEvent>(ENGINE)?,
            running: HashMap::new(),
        };
        let address = service.start();
        registry.register(BACKENDS, address.clone().recipient::<AttemptOut>());
        registry.register(BACKENDS_CANCEL, address.recipient::<AttemptCancelled>());
        Ok(())
    }
}

impl Actor for Backends {
    type Context = Context<Backends>;
}

impl Handler<AttemptOut> for Backends {
    type Result = ();

    fn handle(&mut self, msg: AttemptOut, cx: &mut Context<Backends>) {
        let id = msg.0.id;
        let work =
            run(self.client.clone(), msg.0)
                .into_actor(self)
                .map(move |outcome, service, _| {
                    service.running.remove(&id);
                    service
                        .engine
                        .do_send(EngineEvent(Event::AttemptDone(id, outcome)));
                });
        let handle = cx.spawn(work);
        self.running.insert(id, handle);
    }
}

impl Handler<AttemptCancelled> for Backends {
    type Result = ();

    fn handle(&mut self, msg: AttemptCancelled, cx: &mut Context<Backends>) {
        if let Some(handle) = self.running.remove(&msg.0) {
            // Dropping the exchange closes its connection, which tells the
            // backend server to cancel the request.
            cx.cancel_future(handle);
        }
    }
}

async fn run(client: Client, attempt: Attempt) -> AttemptOutcome {
    let timeout = Duration::from_millis(attempt.timeout.0);
    match actix_rt::time::timeout(timeout, exchange(client, attempt)).await {
        Ok(outcome) => outcome,
        Err(_) => AttemptOutcome::Unknown(UnknownReason::Timeout),
    }
}

async fn exchange(client: Client, attempt: Attempt) -> AttemptOutcome {
    let Ok(method) = Method::from_bytes(attempt.request.method.as_bytes()) else {
        return AttemptOutcome::NotRun(NotRunReason::NotConnected);
    };
    let url = format!("http://{}{}", attempt.to, attempt.request.path);
    let mut req = client
        .request(method, url)
        .insert_header((DEADLINE_HEADER, attempt.deadline.0.to_string()));
    for header in &attempt.request.headers {
        req = req.append_header((header.name.as_str(), header.value.as_ref()));
    }
    match req.send_body(attempt.request.body).await {
        Ok(mut response) => match response.body().limit(MAX_BODY).await {
            Ok(body) => answered(&response, body),
            Err(_) => AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
        },
        Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => {
            AttemptOutcome::NotRun(NotRunReason::NotConnected)
        }
        Err(_) => AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
    }
}

fn answered<S>(response: &awc::ClientResponse<S>, body: Bytes) -> AttemptOutcome {
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return AttemptOutcome::NotRun(NotRunReason::Shed);
    }
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    AttemptOutcome::Answered(HttpResponse {
        status: response.status().as_u16(),
        headers,
        body,
    })
}

/// Tells whether a header belongs to one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "content-length"
            | "host"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
