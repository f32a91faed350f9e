//! `dragonflytrack status`: shows the generation in force on each entry VM.

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

/// Maximum number of confirmed plans to print, newest first.
const MAX_LISTED_PLANS: usize = 5;

/// Shows the generation in force on each entry VM.
#[derive(Debug, Options)]
pub struct StatusArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        help = "admin address of an entry VM; may be repeated",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the response as JSON")]
    json: bool,
}

/// Runs `status` and returns the exit code.
pub fn run(args: &StatusArgs) -> u8 {
    client::report(fetch_and_print(args))
}

fn fetch_and_print(args: &StatusArgs) -> Result<(), ClientError> {
    let body = client::call(&args.admin, &AdminRequest::get("/v1/status"))?;
    if args.json {
        println!("{body:#}");
        return Ok(());
    }
    print(&client::decode(body)?);
    Ok(())
}

fn print(status: &Status) {
    let scope = if status.in_force_everywhere {
        "on every known VM"
    } else {
        "not on every VM"
    };
    println!("generation {} is in force {scope}", status.generation);
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
    for confirmed in status.confirmed.iter().rev().take(MAX_LISTED_PLANS) {
        table.row([confirmed.plan.to_string(), confirmed.generation.to_string()]);
    }
    println!();
    table.print();
}
