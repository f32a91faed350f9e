//! Entry point of the `dragonflytrack` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflytrack::command::main()
}
