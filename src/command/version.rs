//! `dragonflytrack version`: prints the version.

use gumdrop::Options;

use crate::command::EXIT_OK;

/// The options of `version`.
#[derive(Debug, Options)]
pub struct Version {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
}

/// Prints the version. Returns the exit code.
pub fn run(_args: &Version) -> u8 {
    println!("dragonflytrack {}", env!("CARGO_PKG_VERSION"));
    EXIT_OK
}
