//! `dragonflytrack status`: the generation in force on each entry VM.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::{
    command::{
        client::{
            self,
            AdminRequest,
            ClientError, //
        },
        table::{
            Table,
            or_dash, //
        },
    },
    core::intent::status::Status,
};

/// How many confirmed plans are listed.
const PLANS_LISTED: usize = 5;

/// The options of `status`.
#[derive(Debug, Options)]
pub struct StatusArgs {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// Whom to ask.
    #[options(
        help = "an entry VM's admin address; repeat for more",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    /// Print JSON.
    #[options(help = "print the answer as JSON")]
    json: bool,
}

/// Asks for the status and prints it. Returns the exit code.
pub fn run(args: &StatusArgs) -> u8 {
    client::finish(ask(args))
}

fn ask(args: &StatusArgs) -> Result<(), ClientError> {
    let body = client::call(&args.admin, &AdminRequest::get("/v1/status"))?;
    if args.json {
        println!("{body:#}");
        return Ok(());
    }
    print(&client::decode(body)?);
    Ok(())
}

fn print(status: &Status) {
    let extent = if status.in_force_everywhere {
        "on every known VM"
    } else {
        "not on every VM"
    };
    println!("generation {} is in force {extent}", status.generation);
    if !status.platform_reachable {
        println!("the platform does not answer {}", status.vm);
    }
    println!();
    print_vms(status);
    println!();
    print_data_centres(status);
    print_refused(status);
    print_plans(status);
}

fn print_vms(status: &Status) {
    let mut table = Table::new(["VM", "DATA CENTRE", "GENERATION", "STATE", "HEARD"]);
    for vm in &status.vms {
        let heard = vm.heard_ms_ago.map(|age| format!("{age} ago"));
        table.row([
            vm.vm.to_string(),
            or_dash(vm.data_centre.as_ref()),
            or_dash(vm.generation),
            vm.state.to_string(),
            or_dash(heard),
        ]);
    }
    table.print();
}

fn print_data_centres(status: &Status) {
    let mut table = Table::new(["DATA CENTRE", "STATE", "SHARE"]);
    for dc in &status.data_centres {
        table.row([
            dc.name.to_string(),
            dc.state.to_string(),
            format!("{}%", dc.share),
        ]);
    }
    table.print();
}

fn print_refused(status: &Status) {
    for refused in &status.refused {
        println!("refused: {refused}");
    }
}

fn print_plans(status: &Status) {
    let mut table = Table::new(["CONFIRMED PLAN", "GENERATION"]);
    for confirmed in status.confirmed.iter().rev().take(PLANS_LISTED) {
        table.row([confirmed.plan.to_string(), confirmed.generation.to_string()]);
    }
    println!();
    table.print();
}
