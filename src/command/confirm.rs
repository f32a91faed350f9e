//! `dragonflytrack confirm`: puts a plan in force.

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

/// The options of `confirm`.
#[derive(Debug, Options)]
pub struct ConfirmArgs {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The plan.
    #[options(free, required, help = "the plan's name")]
    plan: String,
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

/// Confirms a plan. Returns the exit code.
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
