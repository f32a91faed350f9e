//! The `dragonflytrack` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflytrack::command::main()
}
