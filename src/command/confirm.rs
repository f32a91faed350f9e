//! `dragonflytrack confirm`: confirms a plan.

use std::net::SocketAddr;

use gumdrop::Options;
use serde_json::{
    Value,
    json, //
};

use crate::command::{
    EXIT_OK,
    client::{
        self,
        AdminRequest, //
    },
};

/// Confirms a plan, which puts it in force.
#[derive(Debug, Options)]
pub struct ConfirmArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "plan ID, as printed by `plan`")]
    plan: String,
    #[options(
        help = "admin address of an entry VM; may be repeated",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the response as JSON")]
    json: bool,
}

/// Runs `confirm` and returns the exit code.
pub fn run(args: &ConfirmArgs) -> u8 {
    let path = format!("/v1/plans/{}/confirm", args.plan);
    match client::call(&args.admin, &AdminRequest::post(path, json!({}))) {
        Ok(body) => {
            print(args, &body);
            EXIT_OK
        }
        Err(e) => {
            e.print();
            e.exit_code()
        }
    }
}

fn print(args: &ConfirmArgs, body: &Value) {
    if args.json {
        println!("{body:#}");
        return;
    }
    println!(
        "plan {} is confirmed as generation {}; see `dragonflytrack status` for where it is in force",
        args.plan, body["generation"]
    );
}
