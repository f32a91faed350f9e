//! The planned stop of an entry VM.

use std::{
    io,
    time::Duration, //
};

use actix_rt::{
    signal::unix::Signal,
    time::{
        sleep,
        timeout, //
    },
};
use futures_util::future::{
    Either,
    select, //
};

use crate::{
    core::{
        engine::Event,
        notice::Notice, //
    },
    edge::{
        engine::{
            GetHealth,
            HEALTH,
            READINESS,
            WithdrawReadiness, //
        },
        log::note,
        mailbox::{
            ENGINE,
            EngineEvent, //
        },
    },
    kernel::registry::Registry,
    settings::StopSettings,
};

/// How often a stopping process looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Every request has its final answer.
    Complete,
    /// Requests were cut.
    Cut,
}

/// Ends the running requests, then `servers`. A second signal on `term` or the
/// timeout cuts the stop short.
///
/// # Errors
///
/// Fails if the engine is gone.
pub async fn run(
    registry: &Registry,
    cfg: StopSettings,
    term: &mut Signal,
    servers: impl Future<Output = ()>,
) -> io::Result<Ending> {
    let orderly = async {
        end_requests(registry, cfg).await?;
        servers.await;
        Ok(Ending::Complete)
    };
    let limit = Duration::from_millis(cfg.timeout.0);
    let orderly = std::pin::pin!(timeout(limit, orderly));
    let again = std::pin::pin!(term.recv());
    match select(orderly, again).await {
        Either::Left((Ok(ending), _)) => ending,
        Either::Left((Err(_), _)) => {
            note(Notice::StopTimedOut, &format!("after {}", cfg.timeout));
            Ok(Ending::Cut)
        }
        Either::Right(_) => {
            note(Notice::StopForced, "");
            Ok(Ending::Cut)
        }
    }
}

/// Withdraws readiness, gives those who watch it time to turn away, and then
/// waits until the last request has its answer.
async fn end_requests(registry: &Registry, cfg: StopSettings) -> io::Result<()> {
    let readiness = registry
        .find::<WithdrawReadiness>(READINESS)
        .map_err(io::Error::other)?;
    let engine = registry
        .find::<EngineEvent>(ENGINE)
        .map_err(io::Error::other)?;
    let health = registry
        .find::<GetHealth>(HEALTH)
        .map_err(io::Error::other)?;
    readiness.do_send(WithdrawReadiness);
    sleep(Duration::from_millis(cfg.notice.0)).await;
    engine.do_send(EngineEvent(Event::Stop));
    while !health.send(GetHealth).await.map_err(io::Error::other)?.idle {
        sleep(STOP_POLL).await;
    }
    Ok(())
}
