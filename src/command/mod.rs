//! The command line.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | the command did what it was asked |
//! | 1 | it failed while it ran |
//! | 2 | the command line or the settings make no sense |
//! | 3 | no entry VM answered |
//! | 4 | the outcome could not be learnt; repeat the command |

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

/// Exit code of a command that did what it was asked.
pub const EXIT_OK: u8 = 0;
/// Exit code of a command that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command line or settings file that makes no sense.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a command that no entry VM answered.
pub const EXIT_NO_ANSWER: u8 = 3;
/// Exit code of a command whose outcome could not be learnt; repeat it.
pub const EXIT_UNKNOWN: u8 = 4;

/// The command line of `dragonflytrack`.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The verb.
    #[options(command)]
    command: Option<Command>,
}

/// The verbs.
#[derive(Debug, Options)]
enum Command {
    /// Run an entry VM.
    #[options(help = "run an entry VM")]
    Run(run::Run),
    /// Run an entry VM that steers by tag.
    #[options(help = "run an entry VM on the users' platform")]
    Steer(steer::Steer),
    /// Plan a change.
    #[options(help = "plan a change; nothing happens before it is confirmed")]
    Plan(plan::PlanArgs),
    /// Confirm a plan.
    #[options(help = "put a plan in force")]
    Confirm(confirm::ConfirmArgs),
    /// Show what is in force where.
    #[options(help = "show the generation in force on each entry VM")]
    Status(status::StatusArgs),
    /// List the services.
    #[options(help = "list the services with their backend servers")]
    Services(services::ServicesArgs),
    /// Tell the story of a flow.
    #[options(help = "tell from log files what became of a client's flow, and why")]
    Explain(explain::Explain),
    /// Check a settings file.
    #[options(help = "check a settings file")]
    Check(check::Check),
    /// Print the version.
    #[options(help = "print the version")]
    Version(version::Version),
}

/// Does what the arguments of the process ask for.
pub fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    let code = match line.command {
        Some(Command::Run(args)) => run::run(&args),
        Some(Command::Steer(args)) => steer::run(&args),
        Some(Command::Plan(args)) => plan::run(&args),
        Some(Command::Confirm(args)) => confirm::run(&args),
        Some(Command::Status(args)) => status::run(&args),
        Some(Command::Services(args)) => services::run(&args),
        Some(Command::Explain(args)) => explain::run(&args),
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Version(args)) => version::run(&args),
        None => usage(),
    };
    ExitCode::from(code)
}

fn usage() -> u8 {
    eprintln!("usage: dragonflytrack VERB [OPTIONS]\n");
    eprintln!("{}", CommandLine::command_list().unwrap_or_default());
    EXIT_USAGE
}
