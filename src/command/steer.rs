//! `dragonflytrack steer`: an entry VM that steers by tag.

use std::{
    env,
    io,
    path::PathBuf, //
};

use actix_rt::signal::unix::{
    SignalKind,
    signal, //
};
use futures_util::future::{
    Either,
    select, //
};
use gumdrop::Options;

use crate::{
    command::{
        EXIT_FAILED,
        EXIT_OK,
        EXIT_USAGE, //
    },
    core::notice::Notice,
    edge::{
        log::{
            self,
            LossyLog,
            note, //
        },
        steering::Node,
    },
    platform::{
        SETTINGS_VARIABLE,
        UsersPlatform, //
    },
    settings::SteeringSettings,
};

/// The options of `steer`.
#[derive(Debug, Options)]
pub struct Steer {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The settings file.
    #[options(
        help = "the settings file; DRAGONFLYTRACK_SETTINGS names it otherwise",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
}

/// Runs an entry VM until it is told to stop. Returns the exit code.
pub fn run(args: &Steer) -> u8 {
    let named = || env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = args.settings.clone().or_else(named) else {
        eprintln!("no settings file is named; use --settings FILE");
        return EXIT_USAGE;
    };
    let settings = match SteeringSettings::load(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: cannot be used\n{e}", path.display());
            return EXIT_USAGE;
        }
    };
    let log = match log::install_lossy(&settings.log) {
        Ok(log) => log,
        Err(e) => {
            eprintln!("cannot log: {e}");
            return EXIT_FAILED;
        }
    };
    match actix_rt::System::new().block_on(serve(settings, &log)) {
        Ok(()) => EXIT_OK,
        Err(e) => {
            eprintln!("cannot serve: {e}");
            EXIT_FAILED
        }
    }
}

async fn serve(settings: SteeringSettings, log: &LossyLog) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    note(Notice::Started, settings.vm.as_str());
    let node = Node::spawn(settings, UsersPlatform, log.lost_lines.clone()).await?;
    loop {
        match select(Box::pin(term.recv()), Box::pin(reload.recv())).await {
            Either::Left(_) => break,
            // Nothing in the settings changes while a process runs.
            Either::Right(_) => note(Notice::ReloadIgnored, ""),
        }
    }
    note(Notice::Stopping, "");
    node.stop().await;
    note(Notice::Stopped, "");
    Ok(())
}
