//! Rule FLOW: the store came back from a copy while a server could not reach it.

use std::{thread::sleep, time::Duration};

use crate::{Verdict, clients::Outcome, deployment::Deployment};

/// A server in the zone of the VM that reads the store.
const HOST: &str = "i-7f3a0140";

/// `stableWindowMs` of a small deployment.
const STABLE_MS: u64 = 4_000;

/// `graceS` of all sheets.
const GRACE: Duration = Duration::from_secs(6);

/// Flows that each client keeps open.
const LONG_FLOWS: usize = 6;

fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds));
}

pub fn run(deployment: &Deployment, has_trouble: bool) -> Verdict {
    let (record, store) = (&deployment.record, &deployment.store);
    let clients = deployment.start_traffic(&deployment.services[..1], LONG_FLOWS);
    pause(5.0);
    if has_trouble {
        let copy = store.copy();
        record.say(&format!(
            "the store is copied at revision {}",
            copy.revision
        ));
        pause(0.5);
        deployment.hosts.set_cut_off(HOST, true);
        record.say(&format!("{HOST} does not reach the store"));
        pause(3.5);
        store.leave();
        record.say("the store is away");
        pause(0.3);
        store.restore(&copy);
        record.say(&format!(
            "the store is back from the copy, revision {}",
            store.revision()
        ));
        pause(0.5);
        deployment.hosts.set_cut_off(HOST, false);
        record.say(&format!("{HOST} reaches the store"));
    } else {
        pause(5.5);
    }
    let calm_since = record.now();
    pause(20.0);
    let rolled = record.now();
    record.say("the VMs are stopped and started in turn");
    for vm in 0..deployment.router.count() {
        deployment.router.terminate(vm, GRACE);
        deployment.router.start(vm);
        pause(2.0);
    }
    pause(3.0);
    let ended = record.now();
    clients
        .is_running
        .store(false, std::sync::atomic::Ordering::Relaxed);
    pause(1.0);

    let flows = clients.flows.lock().unwrap().clone();
    let served = flows
        .iter()
        .filter(|f| matches!(f.outcome, Some((_, Outcome::Served))))
        .count();
    record.say(&format!("{} flows, {served} ended well", flows.len()));
    let mut broken = 0;
    for flow in &flows {
        let (Some((at, Outcome::SystemReset)), Some(opened), Some(host)) =
            (flow.outcome, flow.opened, &flow.host)
        else {
            continue;
        };
        if at >= calm_since + STABLE_MS && at < ended {
            broken += 1;
            record.say(&format!(
                "the flow of {}, open at {host} since {opened}, was reset by the system at {at}",
                flow.client
            ));
        }
    }
    record.say(&format!("open flows at live servers that the system reset: {broken}; the VMs were restarted from {rolled} on"));
    if served * 2 < flows.len() {
        return Verdict::NotRun("less than half of the flows ended well".to_owned());
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
