//! `dragonflytrack services`: lists the services and their backend servers.

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

/// Lists the services and their backend servers.
#[derive(Debug, Options)]
pub struct ServicesArgs {
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

/// Runs `services` and returns the exit code.
pub fn run(args: &ServicesArgs) -> u8 {
    client::report(fetch_and_print(args))
}

fn fetch_and_print(args: &ServicesArgs) -> Result<(), ClientError> {
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
