//! `dragonflytrack services`: the services with their backend servers.

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
    core::intent::status::{
        ServiceStatus,
        Services, //
    },
};

/// The options of `services`.
#[derive(Debug, Options)]
pub struct ServicesArgs {
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

/// Asks for the services and prints them. Returns the exit code.
pub fn run(args: &ServicesArgs) -> u8 {
    client::finish(ask(args))
}

fn ask(args: &ServicesArgs) -> Result<(), ClientError> {
    let body = client::call(&args.admin, &AdminRequest::get("/v1/services"))?;
    if args.json {
        println!("{body:#}");
        return Ok(());
    }
    print(&client::decode(body)?);
    Ok(())
}

fn print(list: &Services) {
    println!("generation {}", list.generation);
    for service in &list.services {
        println!();
        print_service(service);
    }
}

fn print_service(service: &ServiceStatus) {
    println!(
        "{} at {}/{}",
        service.service.name, service.service.address, service.service.protocol
    );
    let mut table = Table::new([
        "BACKEND SERVER",
        "DATA CENTRE",
        "STATE",
        "NEW WORK",
        "SLOTS",
        "CONNECTIONS",
        "FLOWS",
        "REQUESTS",
    ]);
    for entry in &service.backends {
        let backend = &entry.backend;
        table.row([
            backend.name.to_string(),
            backend.data_centre.to_string(),
            backend.state.to_string(),
            format!("{}%", entry.new_work_share),
            backend.slots.to_string(),
            backend.connections.to_string(),
            or_dash(entry.usage.flows),
            or_dash(entry.usage.requests),
        ]);
    }
    table.print();
}
