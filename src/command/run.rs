//! `dragonflytrack run`: an entry VM.

use std::{
    io,
    path::PathBuf,
    time::Duration, //
};

use actix_rt::signal::unix::{
    SignalKind,
    signal, //
};
use gumdrop::Options;

use crate::{
    command::{
        EXIT_FAILED,
        EXIT_OK,
        EXIT_USAGE, //
    },
    core::{
        engine::Event,
        membership::Vm,
        names::Incarnation, //
    },
    edge::{
        admin::Admin,
        backends::Backends,
        callers::Callers,
        engine::{
            EngineService,
            GetHealth,
            HEALTH, //
        },
        fabric::Fabric,
        mailbox::{
            ENGINE,
            EngineEvent, //
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

/// How often a stopping process looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Runs an entry VM until it is told to stop. Returns the exit code.
pub fn run(args: &Run) -> u8 {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: cannot be used\n{e}", args.settings.display());
            return EXIT_USAGE;
        }
    };
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .init();
    match actix::System::new().block_on(serve(settings)) {
        Ok(()) => EXIT_OK,
        Err(e) => {
            eprintln!("cannot serve: {e}");
            EXIT_FAILED
        }
    }
}

async fn serve(settings: Settings) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let registry = Registry::default();
    let me = Vm {
        id: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock.wall().0),
        peers: settings.peers,
        relay: settings.relay,
    };
    EngineService::spawn(me, settings.seeds.clone(), clock, &registry);
    Backends::spawn(clock, &registry).map_err(io::Error::other)?;
    Platform::spawn(settings.platform, &registry).map_err(io::Error::other)?;
    Peers::bind(settings.peers, &registry)?;
    Fabric::bind(settings.fabric, settings.relay, settings.replies, &registry).await?;
    let admin = Admin::bind(settings.admin, &registry)?;
    let callers = Callers::bind(settings.callers, clock, &registry)?;

    term.recv().await;
    stop(&registry).await?;
    callers.stop(true).await;
    admin.stop(true).await;
    Ok(())
}

async fn stop(registry: &Registry) -> io::Result<()> {
    let engine = registry
        .find::<EngineEvent>(ENGINE)
        .map_err(io::Error::other)?;
    let health = registry
        .find::<GetHealth>(HEALTH)
        .map_err(io::Error::other)?;
    engine.do_send(EngineEvent(Event::Stop));
    while !health.send(GetHealth).await.map_err(io::Error::other)?.idle {
        actix_rt::time::sleep(STOP_POLL).await;
    }
    Ok(())
}
