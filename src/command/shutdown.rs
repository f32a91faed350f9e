//! Graceful shutdown of an entry VM.

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
        log::log_notice,
        mailbox::{
            ENGINE,
            EngineEvent, //
        },
    },
    kernel::registry::Registry,
    settings::StopSettings,
};

/// Interval at which a stopping process checks for pending requests.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Outcome of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// Every request got its final response.
    Complete,
    /// The shutdown ended early; pending requests may have been dropped.
    Interrupted,
}

/// Waits until all requests have ended, then stops `servers`. A second signal
/// on `sigterm` or the timeout in `cfg` ends the shutdown early.
///
/// # Errors
///
/// Fails if the engine is no longer running.
pub async fn run(
    registry: &Registry,
    cfg: StopSettings,
    sigterm: &mut Signal,
    servers: impl Future<Output = ()>,
) -> io::Result<StopOutcome> {
    let graceful = async {
        finish_requests(registry, cfg).await?;
        servers.await;
        Ok(StopOutcome::Complete)
    };
    let limit = Duration::from_millis(cfg.timeout.0);
    let graceful = std::pin::pin!(timeout(limit, graceful));
    let second_signal = std::pin::pin!(sigterm.recv());
    match select(graceful, second_signal).await {
        Either::Left((Ok(outcome), _)) => outcome,
        Either::Left((Err(_), _)) => {
            log_notice(Notice::StopTimedOut, &format!("after {}", cfg.timeout));
            Ok(StopOutcome::Interrupted)
        }
        Either::Right(_) => {
            log_notice(Notice::StopForced, "");
            Ok(StopOutcome::Interrupted)
        }
    }
}

/// Withdraws readiness, gives health checkers `cfg.notice` to redirect traffic,
/// and then waits until the last request has its response.
async fn finish_requests(registry: &Registry, cfg: StopSettings) -> io::Result<()> {
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
        sleep(IDLE_POLL_INTERVAL).await;
    }
    Ok(())
}
