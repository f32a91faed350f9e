//! The `dragonflytrack-emulator` command.

use std::{
    io,
    net::SocketAddr,
    process::ExitCode, //
};

use dragonflytrack_emulator::{
    address::Address,
    backends,
    callers,
    fabric,
    platform, //
};
use gumdrop::Options;

/// The command line.
#[derive(Debug, Options)]
struct CommandLine {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// The verbs.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the platform's object API")]
    Platform(PlatformArgs),
    #[options(help = "run a fabric that sprays packets over entry VMs")]
    Fabric(FabricArgs),
    #[options(help = "run backend servers")]
    Backends(BackendsArgs),
    #[options(help = "open flows and send requests, and check what comes back")]
    Callers(CallersArgs),
}

#[derive(Debug, Options)]
struct PlatformArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "the HTTP address", meta = "IP:PORT")]
    listen: Address,
}

#[derive(Debug, Options)]
struct FabricArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "the address for callers", meta = "IP:PORT")]
    listen: Address,
    #[options(
        help = "an entry VM's address for packets; repeat for each",
        meta = "IP:PORT"
    )]
    vm: Vec<SocketAddr>,
}

#[derive(Debug, Options)]
struct BackendsArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        help = "a backend server as NAME=PACKETS,REQUESTS; repeat for each",
        meta = "SPEC"
    )]
    backend: Vec<backends::Spec>,
}

#[derive(Debug, Options)]
struct CallersArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "the fabric's address", meta = "IP:PORT")]
    fabric: Address,
    #[options(required, help = "the service's address", meta = "IP:PORT")]
    service: Address,
    #[options(required, help = "the service's name", meta = "NAME")]
    host: String,
    #[options(
        help = "an entry VM's address for callers; repeat for each",
        meta = "IP:PORT"
    )]
    vm: Vec<SocketAddr>,
    #[options(help = "how many flows to open", default = "10", meta = "N")]
    flows: u16,
    #[options(help = "how many requests to send", default = "10", meta = "N")]
    requests: u32,
}

fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    let Some(command) = line.command else {
        eprintln!("{}", CommandLine::command_list().unwrap_or_default());
        return ExitCode::from(2);
    };
    match actix_rt::System::new().block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Platform(args) => platform::serve(args.listen.0).await,
        Command::Fabric(args) => fabric::serve(args.listen.0, &args.vm).await,
        Command::Backends(args) => backends::serve(&args.backend).await,
        Command::Callers(args) => {
            let load = callers::Load {
                fabric: args.fabric.0,
                service: args.service.0,
                host: args.host,
                vms: args.vm,
                flows: args.flows,
                requests: args.requests,
            };
            callers::run(&load).await
        }
    }
}
