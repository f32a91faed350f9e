//! `dragonflytrack check`: checks a settings file.

use std::path::PathBuf;

use gumdrop::Options;

use crate::{
    command::{
        EXIT_OK,
        EXIT_USAGE, //
    },
    settings::Settings,
};

/// The options of `check`.
#[derive(Debug, Options)]
pub struct Check {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The settings file.
    #[options(free, required, help = "the settings file")]
    file: PathBuf,
}

/// Checks a settings file. Returns the exit code.
pub fn run(args: &Check) -> u8 {
    match Settings::load(&args.file) {
        Ok(settings) => {
            println!("{}: ok, VM {}", args.file.display(), settings.vm);
            EXIT_OK
        }
        Err(e) => {
            eprintln!("{}: cannot be used\n{e}", args.file.display());
            EXIT_USAGE
        }
    }
}
