//! Command-line interface.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | the command succeeded |
//! | 1 | the command failed while running |
//! | 2 | the command line, the settings or an input file is invalid |
//! | 3 | no entry VM responded |
//! | 4 | the outcome is unknown; repeat the command |

use std::process::ExitCode;

use gumdrop::Options;

pub mod check;
pub mod client;
pub mod confirm;
pub mod explain;
pub mod plan;
pub mod run;
pub mod services;
pub mod shutdown;
pub mod status;
pub mod steer;
pub mod table;
pub mod version;

/// Exit code of a command that succeeded.
pub const EXIT_OK: u8 = 0;
/// Exit code of a command that failed while running.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line, settings file or input file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a command to which no entry VM responded.
pub const EXIT_NO_ANSWER: u8 = 3;
/// Exit code of a command whose outcome is unknown; repeat it.
pub const EXIT_UNKNOWN: u8 = 4;

/// A layer-4 load balancer that preserves established flows during planned
/// changes.
#[derive(Debug, Options)]
pub struct CommandLine {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Subcommands.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run an entry VM")]
    Run(run::RunArgs),
    #[options(help = "run an entry VM that steers flows by tag, on the users' platform")]
    Steer(steer::SteerArgs),
    #[options(help = "plan a change; it takes effect only when confirmed")]
    Plan(plan::PlanArgs),
    #[options(help = "confirm a plan, which puts it in force")]
    Confirm(confirm::ConfirmArgs),
    #[options(help = "show the generation in force on each entry VM")]
    Status(status::StatusArgs),
    #[options(help = "list the services and their backend servers")]
    Services(services::ServicesArgs),
    #[options(help = "print the timeline of a client's flows from log files")]
    Explain(explain::ExplainArgs),
    #[options(help = "validate a settings file")]
    Check(check::CheckArgs),
    #[options(help = "print the version")]
    Version(version::VersionArgs),
}

/// Parses the arguments of the process and runs the command. Exits the process
/// after `--help` and on invalid arguments.
pub fn main() -> ExitCode {
    let args = CommandLine::parse_args_default_or_exit();
    let code = match args.command {
        Some(Command::Run(args)) => run::run(&args),
        Some(Command::Steer(args)) => steer::run(&args),
        Some(Command::Plan(args)) => plan::run(&args),
        Some(Command::Confirm(args)) => confirm::run(&args),
        Some(Command::Status(args)) => status::run(&args),
        Some(Command::Services(args)) => services::run(&args),
        Some(Command::Explain(args)) => explain::run(&args),
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Version(args)) => version::run(&args),
        None => print_usage(),
    };
    ExitCode::from(code)
}

fn print_usage() -> u8 {
    eprintln!("usage: dragonflytrack COMMAND [OPTIONS]\n");
    eprintln!("{}", CommandLine::command_list().unwrap_or_default());
    EXIT_USAGE
}
