//! `dragonflytrack run`: an entry VM.

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
            Ending, //
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

/// The options of `run`.
#[derive(Debug, Options)]
pub struct Run {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The settings file.
    #[options(required, help = "the settings file", meta = "FILE")]
    settings: PathBuf,
}

/// Runs an entry VM until it is told to stop. Returns the exit code.
pub fn run(args: &Run) -> u8 {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: cannot be used\n{e}", args.settings.display());
            return EXIT_USAGE;
        }
    };
    if let Err(e) = log::install(&settings.log) {
        eprintln!("cannot log: {e}");
        return EXIT_FAILED;
    }
    match actix::System::new().block_on(serve(&settings)) {
        Ok(Ending::Complete) => EXIT_OK,
        Ok(Ending::Cut) => EXIT_FAILED,
        Err(e) => {
            eprintln!("cannot serve: {e}");
            EXIT_FAILED
        }
    }
}

async fn serve(settings: &Settings) -> io::Result<Ending> {
    let mut term = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let registry = Registry::default();
    let me = identity(settings, clock);
    log_notice(
        Notice::Started,
        &format!("VM {}, run {}", me.id, me.incarnation),
    );
    let servers = start(settings, me, clock, &registry).await?;

    term.recv().await;
    let ending = shutdown::run(&registry, settings.stop, &mut term, servers.stop()).await?;
    if ending == Ending::Complete {
        log_notice(Notice::Stopped, "");
    }
    Ok(ending)
}

/// The HTTP servers of the process.
struct Servers {
    callers: ServerHandle,
    admin: ServerHandle,
}

impl Servers {
    /// Ends the servers once their last answer is written.
    async fn stop(self) {
        self.callers.stop(true).await;
        self.admin.stop(true).await;
    }
}

fn identity(settings: &Settings, clock: Clock) -> Vm {
    Vm {
        id: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock.wall().0),
        peer_address: settings.peers,
        relay_address: settings.relay,
    }
}

/// Starts all services. Each finds those that it calls in the registry.
async fn start(
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
