//! `dragonflytrack steer`: runs an entry VM that steers flows by tag.

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

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs an entry VM that steers flows by tag, until SIGTERM.
#[derive(Debug, Options)]
pub struct SteerArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        help = "settings file; defaults to the value of DRAGONFLYTRACK_SETTINGS",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
}

/// Runs `steer` and returns the exit code.
pub fn run(args: &SteerArgs) -> u8 {
    let from_env = || env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = args.settings.clone().or_else(from_env) else {
        eprintln!("no settings file given; use --settings FILE");
        return EXIT_USAGE;
    };
    let settings = match SteeringSettings::load(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: cannot load the settings\n{e}", path.display());
            return EXIT_USAGE;
        }
    };
    let log = match log::install_lossy(&settings.log) {
        Ok(log) => log,
        Err(e) => {
            eprintln!("cannot start logging: {e}");
            return EXIT_FAILED;
        }
    };
    match actix_rt::System::new().block_on(serve(settings, &path, &log)) {
        Ok(()) => EXIT_OK,
        Err(e) => {
            eprintln!("cannot run the entry VM: {e}");
            EXIT_FAILED
        }
    }
}

async fn serve(settings: SteeringSettings, path: &Path, log: &LossyLog) -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sighup = signal(SignalKind::hangup())?;
    log_notice(Notice::Started, settings.vm.as_str());
    let vm = EntryVm::spawn(settings, PlatformAdapter, log.lost_lines.clone()).await?;
    let mut last_modified = modified_time(path);
    loop {
        let reload_trigger = async {
            let poll_timer = Box::pin(sleep(SETTINGS_POLL_INTERVAL));
            select(Box::pin(sighup.recv()), poll_timer).await
        };
        match select(Box::pin(sigterm.recv()), Box::pin(reload_trigger)).await {
            Either::Left(_) => break,
            Either::Right((Either::Left(_), _)) => reload(&vm, path),
            // The file may change without a SIGHUP.
            Either::Right((Either::Right(_), _)) if modified_time(path) != last_modified => {
                reload(&vm, path);
            }
            Either::Right(_) => {}
        }
        last_modified = modified_time(path);
    }
    log_notice(Notice::Stopping, "");
    vm.stop().await;
    log_notice(Notice::Stopped, "");
    Ok(())
}

/// Returns the modification time of `path`, or `None` if it is unavailable.
fn modified_time(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|m| m.modified()).ok()
}

fn reload(vm: &EntryVm<PlatformAdapter>, path: &Path) {
    match SteeringSettings::load(path) {
        Ok(settings) => vm.reload(&settings),
        Err(e) => log_notice(Notice::ReloadRefused, &e.to_string()),
    }
}
