//! A small deployment on loopback addresses: the platform's store and routers, servers
//! and clients as stand-ins in this process, and the VMs as processes of their own.
//!
//! Usage: `stand-in CASE RECORD`. The working directory is the repository's root. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod clients;
mod deployment;
mod evacuated_again;
mod hosts;
mod packet;
mod record;
mod restarted_vm;
mod returned_host;
mod router;
mod store;

use std::process::exit;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: stand-in CASE RECORD");
        exit(2);
    };
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        router::end_running();
        exit(2);
    }));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::open();
    record.say(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match deployment::Deployment::open(&record) {
        Ok(mut deployment) => {
            let verdict = match case.as_str() {
                "evacuated-again" => evacuated_again::run(&deployment, has_trouble),
                "restarted-vm" => restarted_vm::run(&deployment, has_trouble),
                "returned-host" => returned_host::run(&deployment, has_trouble),
                _ => Verdict::NotRun(format!("no case {case}")),
            };
            deployment.close();
            verdict
        }
        Err(e) => Verdict::NotRun(e),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::NotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    std::fs::write(path, record.text()).expect("write the record");
    exit(code);
}
