//! `dragonflytrack version`: prints the version.

use gumdrop::Options;

use crate::command::EXIT_OK;

/// Prints the version.
#[derive(Debug, Options)]
pub struct VersionArgs {
    #[options(help = "print help")]
    help: bool,
}

/// Runs `version` and returns the exit code.
pub fn run(_args: &VersionArgs) -> u8 {
    println!("dragonflytrack {}", env!("CARGO_PKG_VERSION"));
    EXIT_OK
}
