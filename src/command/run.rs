//! `dragonflytrack run`: runs an entry VM.

use std::{
    io,
    path::PathBuf, //
};

use actix_rt::signal::unix::{
    SignalKind,
    signal, //
};
use actix_web::dev::ServerHandle;
use gumdrop::Options;

use crate::{
    command::{
        EXIT_FAILED,
        EXIT_OK,
        EXIT_USAGE,
        shutdown::{
            self,
            StopOutcome, //
        }, //
    },
    core::{
        membership::Vm,
        names::Incarnation,
        notice::Notice, //
    },
    edge::{
        admin::Admin,
        backends::Backends,
        callers::Callers,
        counts::EdgeCounts,
        engine::EngineService,
        fabric::Fabric,
        log::{
            self,
            log_notice, //
        },
        peers::Peers,
        platform::Platform, //
    },
    kernel::{
        clock::Clock,
        registry::Registry, //
    },
    settings::Settings,
};

/// Runs an entry VM until SIGTERM.
#[derive(Debug, Options)]
pub struct RunArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "settings file", meta = "FILE")]
    settings: PathBuf,
}

/// Runs `run` and returns the exit code.
pub fn run(args: &RunArgs) -> u8 {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: cannot load the settings\n{e}", args.settings.display());
            return EXIT_USAGE;
        }
    };
    if let Err(e) = log::install(&settings.log) {
        eprintln!("cannot start logging: {e}");
        return EXIT_FAILED;
    }
    match actix::System::new().block_on(serve(&settings)) {
        Ok(StopOutcome::Complete) => EXIT_OK,
        Ok(StopOutcome::Interrupted) => EXIT_FAILED,
        Err(e) => {
            eprintln!("cannot run the entry VM: {e}");
            EXIT_FAILED
        }
    }
}

async fn serve(settings: &Settings) -> io::Result<StopOutcome> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let registry = Registry::default();
    let me = local_vm(settings, clock);
    log_notice(
        Notice::Started,
        &format!("VM {}, run {}", me.id, me.incarnation),
    );
    let servers = start_services(settings, me, clock, &registry).await?;

    sigterm.recv().await;
    let outcome = shutdown::run(&registry, settings.stop, &mut sigterm, servers.stop()).await?;
    if outcome == StopOutcome::Complete {
        log_notice(Notice::Stopped, "");
    }
    Ok(outcome)
}

/// Handles of the HTTP servers.
struct Servers {
    callers: ServerHandle,
    admin: ServerHandle,
}

impl Servers {
    /// Stops the servers after their last responses are written.
    async fn stop(self) {
        self.callers.stop(true).await;
        self.admin.stop(true).await;
    }
}

fn local_vm(settings: &Settings, clock: Clock) -> Vm {
    Vm {
        id: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock.wall().0),
        peer_address: settings.peers,
        relay_address: settings.relay,
    }
}

/// Starts all services. The engine comes first, because others look it up in the
/// registry when they start.
async fn start_services(
    settings: &Settings,
    me: Vm,
    clock: Clock,
    registry: &Registry,
) -> io::Result<Servers> {
    let counts = EdgeCounts::default();
    EngineService::spawn(me, settings, clock, &counts, registry);
    Backends::spawn(clock, registry).map_err(io::Error::other)?;
    Platform::spawn(settings.platform.clone(), registry).map_err(io::Error::other)?;
    let queue = settings.limits.peer_queue;
    Peers::bind(settings.peers, queue, &counts, registry)?;
    let (fabric, relay) = (settings.fabric, settings.relay);
    Fabric::bind(fabric, relay, settings.replies, &counts, registry).await?;
    Ok(Servers {
        admin: Admin::bind(settings.admin, registry)?,
        callers: Callers::bind(settings.callers, clock, registry)?,
    })
}
