//! Sends requests to backend servers over HTTP.

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
use actix_service::ServiceExt;
use awc::{
    Client,
    Connector,
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::{
        Method,
        StatusCode,
        header::CONTENT_LENGTH, //
    }, //
};
use bytes::Bytes;

use crate::{
    core::{
        engine::Event,
        request::{
            Attempt,
            AttemptId,
            AttemptOutcome,
            HttpResponse,
            NotRunReason,
            UnknownReason, //
        },
    },
    edge::{
        headers::{
            self,
            DEADLINE_HEADER,
            NOT_RUN_HEADER, //
        },
        mailbox::{
            AttemptOut,
            BACKENDS,
            BACKENDS_CANCEL,
            CancelAttempt,
            ENGINE,
            EngineEvent, //
        },
        strict_stream, //
    },
    kernel::{
        clock::Clock,
        registry::{
            Registry,
            RegistryError, //
        },
    },
};

/// The maximum size of a request or response body in bytes.
pub const MAX_BODY: usize = 8 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of connections to all backend servers together.
const MAX_CONNECTIONS: usize = 4_096;

/// The maximum number of concurrent attempts. More are refused as not run.
const MAX_ATTEMPTS: usize = 4_096;

/// The actor that sends requests to backend servers.
///
/// A connection is reused only after a complete response was read from it, so
/// that a late response is never taken for that of a later request.
pub struct Backends {
    client: Client,
    clock: Clock,
    engine: Recipient<EngineEvent>,
    running: HashMap<AttemptId, SpawnHandle>,
}

impl Backends {
    /// Starts the actor and registers it.
    ///
    /// # Errors
    ///
    /// Fails if the engine is not registered.
    pub fn spawn(clock: Clock, registry: &Registry) -> Result<(), RegistryError> {
        let service = Backends {
            client: client(),
            clock,
            engine: registry.find::<EngineEvent>(ENGINE)?,
            running: HashMap::new(),
        };
        let address = service.start();
        registry.register(BACKENDS, address.clone().recipient::<AttemptOut>());
        registry.register(BACKENDS_CANCEL, address.recipient::<CancelAttempt>());
        Ok(())
    }
}

impl Backends {
    /// Returns why an attempt must not be started, if there is a reason.
    fn refusal(&self, attempt: &Attempt) -> Option<NotRunReason> {
        // The process may have been suspended since the attempt was created.
        if self.clock.wall() > attempt.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        (self.running.len() >= MAX_ATTEMPTS).then_some(NotRunReason::NoSlot)
    }

    fn report(&self, id: AttemptId, outcome: AttemptOutcome) {
        self.engine
            .do_send(EngineEvent(Event::AttemptDone(id, outcome)));
    }
}

fn client() -> Client {
    let tcp = actix_tls::connect::Connector::default().service();
    let connector = Connector::new()
        .connector(tcp.map(strict_stream::wrap))
        .timeout(CONNECT_TIMEOUT)
        .limit(MAX_CONNECTIONS);
    // Redirects are left to the caller: following one here could run a request
    // twice.
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

impl Actor for Backends {
    type Context = Context<Backends>;
}

impl Handler<AttemptOut> for Backends {
    type Result = ();

    fn handle(&mut self, msg: AttemptOut, cx: &mut Context<Backends>) {
        let id = msg.0.id;
        if let Some(reason) = self.refusal(&msg.0) {
            self.report(id, AttemptOutcome::NotRun(reason));
            return;
        }
        let work = run(self.client.clone(), msg.0).into_actor(self);
        let handle = cx.spawn(work.map(move |outcome, service, _| {
            service.running.remove(&id);
            service.report(id, outcome);
        }));
        self.running.insert(id, handle);
    }
}

impl Handler<CancelAttempt> for Backends {
    type Result = ();

    fn handle(&mut self, msg: CancelAttempt, cx: &mut Context<Backends>) {
        if let Some(handle) = self.running.remove(&msg.0) {
            // Dropping the future closes its connection, which tells the
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
    let has_body = method != Method::HEAD;
    let mut req = client
        .request(method, url)
        .insert_header((DEADLINE_HEADER, attempt.deadline.0.to_string()));
    for header in &attempt.request.headers {
        req = req.append_header((header.name.as_str(), header.value.as_ref()));
    }
    match req.send_body(attempt.request.body).await {
        Ok(mut response) => match response.body().limit(MAX_BODY).await {
            Ok(body) if !has_body || is_complete(&response, &body) => outcome_of(&response, body),
            Ok(_) | Err(_) => AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
        },
        Err(e) if is_known_unsent(&e) => AttemptOutcome::NotRun(NotRunReason::NotConnected),
        Err(_) => AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
    }
}

/// Returns whether it is certain that no byte of the request was sent.
fn is_known_unsent(e: &SendRequestError) -> bool {
    match e {
        // The client also reports this error when the connection closed without
        // a response after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}

/// Returns whether the body has the length in `Content-Length`, if there is one.
/// The client reports no error when the connection closes before the end of a
/// body.
fn is_complete<S>(response: &awc::ClientResponse<S>, body: &Bytes) -> bool {
    let status = response.status();
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return true;
    }
    let content_length = response.headers().get(CONTENT_LENGTH);
    let content_length = content_length.and_then(|value| value.to_str().ok()?.parse().ok());
    content_length.is_none_or(|len: usize| len == body.len())
}

fn outcome_of<S>(response: &awc::ClientResponse<S>, body: Bytes) -> AttemptOutcome {
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return AttemptOutcome::NotRun(NotRunReason::Shed);
    }
    AttemptOutcome::Answered(HttpResponse {
        status: response.status().as_u16(),
        headers: headers::end_to_end(response.headers()),
        body,
    })
}
