//! The `dragonflytrack-emulator` command.

use std::{
    fs,
    io,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::Duration, //
};

use dragonflytrack_emulator::{
    address::Address,
    backends::{
        self,
        Behaviour, //
    },
    callers::{
        self,
        Load,
        Summary, //
    },
    configuration::Configuration,
    configure,
    fabric,
    platform,
    report, //
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

/// The subcommands.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the platform's object API")]
    Platform(PlatformArgs),
    #[options(help = "run a fabric that sprays packets over entry VMs")]
    Fabric(FabricArgs),
    #[options(help = "run backend servers")]
    Backends(BackendsArgs),
    #[options(help = "keep flows open and send requests, and check what comes back")]
    Callers(CallersArgs),
    #[options(help = "write the first configuration to the platform")]
    Configure(ConfigureArgs),
    #[options(help = "add up the callers' summaries of a demo")]
    Summarize(SummarizeArgs),
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
        required,
        help = "the address for packets that go back to callers",
        meta = "IP:PORT"
    )]
    replies: Address,
    #[options(
        required,
        help = "a file with the packet address of each live entry VM on a line",
        meta = "FILE"
    )]
    list: PathBuf,
}

#[derive(Debug, Options)]
struct BackendsArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "the configuration that names them", meta = "FILE")]
    configuration: PathBuf,
    #[options(required, help = "the HTTP address for records", meta = "IP:PORT")]
    control: Address,
    #[options(help = "how long a request runs", default = "10", meta = "MS")]
    run_time: u64,
    #[options(help = "how long a cold start lasts", default = "0", meta = "MS")]
    warm_up: u64,
    #[options(help = "how old the reported load is", default = "1000", meta = "MS")]
    load_lag: u64,
}

#[derive(Debug, Options)]
struct CallersArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "the fabric's address", meta = "IP:PORT")]
    fabric: Address,
    #[options(
        required,
        help = "the configuration that names the services",
        meta = "FILE"
    )]
    configuration: PathBuf,
    #[options(
        help = "an entry VM's address for callers; repeat for each",
        meta = "IP:PORT"
    )]
    vm: Vec<SocketAddr>,
    #[options(help = "flows of each service", default = "10", meta = "N")]
    flows: u16,
    #[options(help = "requests a second to each service", default = "10", meta = "N")]
    rate: u32,
    #[options(help = "how long to go on", default = "2000", meta = "MS")]
    duration: u64,
    #[options(help = "the platform's address", meta = "IP:PORT")]
    platform: Option<SocketAddr>,
    #[options(help = "the address of the backend servers' records", meta = "IP:PORT")]
    records: Option<SocketAddr>,
    #[options(help = "tells callers of one system apart", default = "1", meta = "N")]
    host: u8,
    #[options(help = "write the summary to this file", meta = "FILE")]
    summary: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct ConfigureArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "the platform's address", meta = "IP:PORT")]
    platform: Address,
    #[options(required, help = "the configuration", meta = "FILE")]
    first: PathBuf,
}

#[derive(Debug, Options)]
struct SummarizeArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, help = "summaries that callers wrote")]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse_args_default_or_exit();
    let Some(command) = command_line.command else {
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
        Command::Fabric(args) => run_fabric(args).await,
        Command::Backends(args) => run_backends(&args).await,
        Command::Callers(args) => run_callers(args).await,
        Command::Configure(args) => {
            let cfg = Configuration::load(&args.first)?;
            configure::configure(args.platform.0, &cfg).await
        }
        Command::Summarize(args) => report("demo: ", &report::summarize(&args.files)?),
    }
}

async fn run_fabric(args: FabricArgs) -> io::Result<()> {
    let fabric = fabric::Fabric {
        listen: args.listen.0,
        replies: args.replies.0,
        list: args.list,
    };
    fabric::serve(&fabric).await
}

async fn run_backends(args: &BackendsArgs) -> io::Result<()> {
    let cfg = Configuration::load(&args.configuration)?;
    let behaviour = Behaviour {
        run_time: Duration::from_millis(args.run_time),
        warm_up: Duration::from_millis(args.warm_up),
        load_lag: Duration::from_millis(args.load_lag),
    };
    backends::serve(&cfg, behaviour, args.control.0).await
}

async fn run_callers(args: CallersArgs) -> io::Result<()> {
    let load = Load {
        fabric: args.fabric.0,
        cfg: Configuration::load(&args.configuration)?,
        vms: args.vm,
        flows: args.flows,
        rate: args.rate,
        duration: Duration::from_millis(args.duration),
        platform: args.platform,
        records: args.records,
        host: args.host,
    };
    let summary = callers::run(&load).await;
    if let Some(file) = args.summary {
        fs::write(file, serde_json::to_vec_pretty(&summary)?)?;
    }
    report("", &summary)
}

fn report(prefix: &str, summary: &Summary) -> io::Result<()> {
    for fault in &summary.faults {
        eprintln!("{fault}");
    }
    println!("{prefix}{summary}");
    if summary.is_clean() {
        return Ok(());
    }
    Err(io::Error::other("a flow broke or a request went wrong"))
}
