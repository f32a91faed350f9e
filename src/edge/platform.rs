//! Calls the platform's object API over HTTP with JSON.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    ActorFutureExt,
    AsyncContext,
    Context,
    Handler,
    Recipient,
    WrapFuture, //
};
use awc::{
    Client,
    ClientRequest,
    ClientResponse,
    http::{
        StatusCode,
        header::{
            IF_MATCH,
            IF_NONE_MATCH, //
        }, //
    }, //
};

use crate::{
    core::{
        engine::Event,
        intent::{
            PlatformOp,
            PlatformOutcome,
            StoredObject,
            platform::{
                ANSWER_TIMEOUT,
                MAX_OBJECT_BYTES, //
            }, //
        },
    },
    edge::mailbox::{
        ENGINE,
        EngineEvent,
        PLATFORM,
        PlatformOut, //
    },
    kernel::registry::{
        Registry,
        RegistryError, //
    },
    settings,
};

/// The maximum size, in bytes, of what a response adds to an object's value: its
/// version and the JSON around both.
const MAX_ENVELOPE_BYTES: usize = 1_024;

/// The actor that calls the platform's object API.
pub struct Platform {
    client: Client,
    endpoint: Arc<settings::PlatformSettings>,
    engine: Recipient<EngineEvent>,
}

impl Platform {
    /// Starts the actor and registers it.
    ///
    /// # Errors
    ///
    /// Fails if the engine is not registered.
    pub fn spawn(
        endpoint: settings::PlatformSettings,
        registry: &Registry,
    ) -> Result<(), RegistryError> {
        let service = Platform {
            client: Client::builder().disable_timeout().finish(),
            endpoint: Arc::new(endpoint),
            engine: registry.find::<EngineEvent>(ENGINE)?,
        };
        registry.register(PLATFORM, service.start().recipient::<PlatformOut>());
        Ok(())
    }
}

impl Actor for Platform {
    type Context = Context<Platform>;
}

impl Handler<PlatformOut> for Platform {
    type Result = ();

    fn handle(&mut self, msg: PlatformOut, cx: &mut Context<Platform>) {
        let id = msg.0.id;
        let work = call(self.client.clone(), Arc::clone(&self.endpoint), msg.0.op)
            .into_actor(self)
            .map(move |outcome, service, _| {
                service
                    .engine
                    .do_send(EngineEvent(Event::PlatformDone(id, outcome)));
            });
        cx.spawn(work);
    }
}

async fn call(
    client: Client,
    endpoint: Arc<settings::PlatformSettings>,
    op: PlatformOp,
) -> PlatformOutcome {
    let limit = Duration::from_millis(ANSWER_TIMEOUT.0) + watch_timeout(&op);
    match actix_rt::time::timeout(limit, send(&client, &endpoint, &op)).await {
        Ok(Some(outcome)) => outcome,
        Ok(None) | Err(_) => PlatformOutcome::NoAnswer,
    }
}

fn watch_timeout(op: &PlatformOp) -> Duration {
    match op {
        PlatformOp::Watch { timeout, .. } => Duration::from_millis(timeout.0),
        PlatformOp::Get { .. } | PlatformOp::Put { .. } => Duration::ZERO,
    }
}

/// Returns `None` if there was no valid response, so that the outcome is unknown.
async fn send(
    client: &Client,
    endpoint: &settings::PlatformSettings,
    op: &PlatformOp,
) -> Option<PlatformOutcome> {
    let url = object_url(endpoint, op.key());
    let sent = match op {
        PlatformOp::Get { .. } => client.get(url).send().await,
        PlatformOp::Put { version, value, .. } => {
            with_condition(client.put(url), *version)
                .send_json(value)
                .await
        }
        PlatformOp::Watch {
            version, timeout, ..
        } => {
            let url = format!("{url}?after={version}&timeout-ms={}", timeout.0);
            client.get(url).send().await
        }
    };
    read_response(sent.ok()?).await
}

/// Returns the URL of the object `key`, which has the form `kind/name`. If a cell
/// is set, object names get its name as a prefix, so that cells that share a
/// platform do not conflict.
pub fn object_url(endpoint: &settings::PlatformSettings, key: &str) -> String {
    let address = endpoint.address;
    match (&endpoint.cell, key.split_once('/')) {
        (Some(cell), Some((kind, name))) => {
            format!("http://{address}/v1/objects/{kind}/{cell}.{name}")
        }
        _ => format!("http://{address}/v1/objects/{key}"),
    }
}

/// Makes `req` conditional on the object's version. Version zero means that the
/// object must not exist.
fn with_condition(req: ClientRequest, version: u64) -> ClientRequest {
    match version {
        0 => req.insert_header((IF_NONE_MATCH, "*")),
        _ => req.insert_header((IF_MATCH, format!("\"{version}\""))),
    }
}

async fn read_response<S>(mut response: ClientResponse<S>) -> Option<PlatformOutcome>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    match response.status() {
        StatusCode::OK => {
            let limit = MAX_OBJECT_BYTES + MAX_ENVELOPE_BYTES;
            let body = response.body().limit(limit).await.ok()?;
            let object = serde_json::from_slice::<StoredObject>(&body).ok()?;
            Some(PlatformOutcome::Object(object))
        }
        StatusCode::NOT_MODIFIED => Some(PlatformOutcome::Unchanged),
        StatusCode::NOT_FOUND => Some(PlatformOutcome::Absent),
        StatusCode::PRECONDITION_FAILED => Some(PlatformOutcome::Conflict),
        status if status.is_client_error() => Some(PlatformOutcome::Refused(status.to_string())),
        _ => None,
    }
}
