//! `dragonflytrack steer`: an entry VM that steers by tag.

use std::{
    env, fs, io,
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        SystemTime, //
    },
};

use actix_rt::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    time::sleep, //
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
            log_notice, //
        },
        steering::EntryVm,
    },
    platform::{
        PlatformAdapter, //
        SETTINGS_VARIABLE,
    },
    settings::SteeringSettings,
};

/// How often the settings file is looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

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
    match actix_rt::System::new().block_on(serve(settings, &path, &log)) {
        Ok(()) => EXIT_OK,
        Err(e) => {
            eprintln!("cannot serve: {e}");
            EXIT_FAILED
        }
    }
}

async fn serve(settings: SteeringSettings, path: &Path, log: &LossyLog) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    log_notice(Notice::Started, settings.vm.as_str());
    let vm = EntryVm::spawn(settings, PlatformAdapter, log.lost_lines.clone()).await?;
    let mut changed = modified(path);
    loop {
        let changes = async {
            let pause = Box::pin(sleep(LOOK_INTERVAL));
            select(Box::pin(hangup.recv()), pause).await
        };
        match select(Box::pin(term.recv()), Box::pin(changes)).await {
            Either::Left(_) => break,
            Either::Right((Either::Left(_), _)) => reload(&vm, path),
            // The file may change without a signal.
            Either::Right((Either::Right(_), _)) if modified(path) != changed => {
                reload(&vm, path);
            }
            Either::Right(_) => {}
        }
        changed = modified(path);
    }
    log_notice(Notice::Stopping, "");
    vm.stop().await;
    log_notice(Notice::Stopped, "");
    Ok(())
}

/// When the settings file was changed last; `None` if it cannot be read.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|m| m.modified()).ok()
}

fn reload(vm: &EntryVm<PlatformAdapter>, path: &Path) {
    match SteeringSettings::load(path) {
        Ok(settings) => vm.reload(&settings),
        Err(e) => log_notice(Notice::ReloadRefused, &e.to_string()),
    }
}
