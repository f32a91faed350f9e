//! `dragonflytrack check`: validates a settings file.

use std::path::PathBuf;

use gumdrop::Options;

use crate::{
    command::{
        EXIT_OK,
        EXIT_USAGE, //
    },
    settings::Settings,
};

/// Validates a settings file without starting an entry VM.
#[derive(Debug, Options)]
pub struct CheckArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

/// Runs `check` and returns the exit code.
pub fn run(args: &CheckArgs) -> u8 {
    match Settings::load(&args.file) {
        Ok(settings) => {
            println!("{}: ok, VM {}", args.file.display(), settings.vm);
            EXIT_OK
        }
        Err(e) => {
            eprintln!("{}: cannot load the settings\n{e}", args.file.display());
            EXIT_USAGE
        }
    }
}
