//! Rule EVAC: a zone is evacuated a second time after the store came back from a copy.

use std::{thread::sleep, time::Duration};

use crate::{Verdict, clients::Outcome, deployment::Deployment};

const ZONE: &str = "z-b";

/// `evacuateMs` of all sheets.
const EVACUATE_MS: u64 = 5_000;

/// How long the store is away, in the drill.
const AWAY: Duration = Duration::from_millis(300);

fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds));
}

pub fn run(deployment: &Deployment, has_trouble: bool) -> Verdict {
    let (record, store) = (&deployment.record, &deployment.store);
    let clients = deployment.start_traffic(&deployment.services[..1], 0);
    pause(5.0);
    let copy = store.copy();
    record.say(&format!(
        "the store is copied at revision {}",
        copy.revision
    ));
    pause(0.5);
    let revision = store.put("evacuations", ZONE, "{}");
    record.say(&format!("{ZONE} is evacuated, revision {revision}"));
    pause(4.0);
    let revision = store.remove("evacuations", ZONE);
    record.say(&format!("{ZONE} is taken back, revision {revision}"));
    pause(1.0);
    if has_trouble {
        store.leave();
        record.say("the store is away");
        sleep(AWAY);
        store.restore(&copy);
        record.say(&format!(
            "the store is back from the copy, revision {}",
            store.revision()
        ));
    }
    pause(14.0);
    let revision = store.put("evacuations", ZONE, "{}");
    let acked = record.now();
    record.say(&format!("{ZONE} is evacuated again, revision {revision}"));
    pause(14.0);
    let ended = record.now();
    clients
        .is_running
        .store(false, std::sync::atomic::Ordering::Relaxed);
    pause(1.5);

    let taken = deployment.hosts.inner.lock().unwrap().taken.clone();
    let in_zone = |from: u64, to: u64| {
        let flows = taken.iter().filter(|t| t.zone == ZONE);
        flows
            .filter(|t| t.arrived >= from && t.arrived < to)
            .count()
    };
    let tries = clients.flows.lock().unwrap().clone();
    let served = tries
        .iter()
        .filter(|t| matches!(t.outcome, Some((_, Outcome::Served))))
        .count();
    let ended_vms = deployment.router.ended();
    record.say(&format!(
        "{} tries, {served} served; VMs that ended by themselves: {ended_vms:?}",
        tries.len()
    ));
    for second in 0..(ended - acked) / 1_000 {
        let from = acked + second * 1_000;
        record.say(&format!(
            "second {second} of the evacuation: {} new flows in {ZONE}",
            in_zone(from, from + 1_000)
        ));
    }
    let late = in_zone(acked + EVACUATE_MS, ended);
    record.say(&format!("opening packets that servers of {ZONE} took later than {EVACUATE_MS} ms after the acknowledgement: {late}"));
    if served * 2 < tries.len() {
        return Verdict::NotRun("less than half of the tries were served".to_owned());
    }
    match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
