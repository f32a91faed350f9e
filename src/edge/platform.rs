//! Calls to the platform's object API, over HTTP with JSON.

use std::{
    net::SocketAddr,
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
    ClientResponse,
    http::StatusCode, //
};

use crate::{
    core::{
        engine::Event,
        intent::{
            PlatformOp,
            PlatformOutcome,
            StoredObject, //
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
};

/// How long to wait for an answer, on top of a watch's own time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest object, in bytes.
const MAX_OBJECT: usize = 1 << 20;

/// The service that calls the platform.
pub struct Platform {
    client: Client,
    address: SocketAddr,
    engine: Recipient<EngineEvent>,
}

impl Platform {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails if the engine is not registered.
    pub fn spawn(address: SocketAddr, registry: &Registry) -> Result<(), RegistryError> {
        let service = Platform {
            client: Client::builder().disable_timeout().finish(),
            address,
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
        let work = call(self.client.clone(), self.address, msg.0.op)
            .into_actor(self)
            .map(move |outcome, service, _| {
                service
                    .engine
                    .do_send(EngineEvent(Event::PlatformDone(id, outcome)));
            });
        cx.spawn(work);
    }
}

async fn call(client: Client, address: SocketAddr, op: PlatformOp) -> PlatformOutcome {
    let work = async {
        match &op {
            PlatformOp::Get { key } => {
                let url = format!("http://{address}/v1/objects/{key}");
                read(client.get(url).send().await.ok()?).await
            }
            PlatformOp::Put {
                key,
                version,
                value,
            } => {
                let url = format!("http://{address}/v1/objects/{key}");
                let req = client
                    .put(url)
                    .insert_header(("if-match", version.to_string()));
                read(req.send_json(value).await.ok()?).await
            }
            PlatformOp::Watch {
                key,
                version,
                timeout,
            } => {
                let url = format!(
                    "http://{address}/v1/objects/{key}?after={version}&timeout-ms={timeout}",
                    timeout = timeout.0
                );
                read(client.get(url).send().await.ok()?).await
            }
        }
    };
    let limit = ANSWER_TIMEOUT + watch_time(&op);
    match actix_rt::time::timeout(limit, work).await {
        Ok(Some(outcome)) => outcome,
        Ok(None) | Err(_) => PlatformOutcome::NoAnswer,
    }
}

fn watch_time(op: &PlatformOp) -> Duration {
    match op {
        PlatformOp::Watch { timeout, .. } => Duration::from_millis(timeout.0),
        _ => Duration::ZERO,
    }
}

async fn read<S>(mut response: ClientResponse<S>) -> Option<PlatformOutcome>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    match response.status() {
        StatusCode::OK => {
            let body = response.body().limit(MAX_OBJECT).await.ok()?;
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
