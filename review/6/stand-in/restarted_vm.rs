//! Rule CONFIG: a VM restarts after the store came back from a copy with an older
//! configuration.

use std::{thread::sleep, time::Duration};

use crate::{
    Verdict,
    clients::Outcome,
    deployment::{Deployment, configuration},
};

/// The VM that restarts: a seed.
const VM: usize = 0;
const VM_NAME: &str = "edge-z-a-1";

/// `configApplyMs` and `stableWindowMs` of a small deployment.
const CONFIG_APPLY_MS: u64 = 3_000;
const STABLE_MS: u64 = 4_000;

fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds));
}

pub fn run(deployment: &Deployment, has_trouble: bool) -> Verdict {
    let (record, store) = (&deployment.record, &deployment.store);
    let [kept, dropped] = deployment.services;
    let clients = deployment.start_traffic(&[kept, dropped], 0);
    pause(5.0);
    let copy = store.copy();
    record.say(&format!(
        "the store is copied at revision {}",
        copy.revision
    ));
    pause(0.5);
    store.put("config", "main", &configuration(8, &[kept]));
    let acked = record.now();
    record.say(&format!("version 8 drops the route of {dropped}"));
    pause(4.5);
    if has_trouble {
        store.leave();
        record.say("the store is away");
        pause(0.3);
        store.restore(&copy);
        record.say(&format!(
            "the store is back from the copy, revision {}",
            store.revision()
        ));
    }
    let restored = record.now();
    pause(0.2);
    deployment.router.kill(VM);
    record.say(&format!("{VM_NAME} is killed"));
    pause(0.5);
    deployment.router.start(VM);
    let started = record.now();
    pause(7.3);
    store.put("config", "main", &configuration(8, &[kept]));
    let ended = record.now();
    record.say("the operator writes version 8 again");
    pause(4.0);
    clients
        .is_running
        .store(false, std::sync::atomic::Ordering::Relaxed);
    pause(1.0);

    let in_touch = (started + STABLE_MS)
        .max(restored + STABLE_MS)
        .max(acked + CONFIG_APPLY_MS);
    let flows = clients.flows.lock().unwrap().clone();
    let mut late = Vec::new();
    for flow in flows
        .iter()
        .filter(|f| f.service == dropped && f.opened.is_some())
    {
        let Some((sent, vm)) = &flow.sent else {
            continue;
        };
        if *sent >= in_touch && *sent < ended {
            late.push(vm.clone());
            record.say(&format!(
                "{} opened a flow by the dropped route through {vm}, sent at {sent}, {:?}",
                flow.client, flow.outcome
            ));
        }
    }
    let served = |address| {
        let of_route = flows.iter().filter(|f| f.service == address);
        of_route
            .filter(|f| matches!(f.outcome, Some((_, Outcome::Served))))
            .count()
    };
    record.say(&format!(
        "served by the kept route: {}, by the dropped one: {}",
        served(kept),
        served(dropped)
    ));
    record.say(&format!(
        "requests from {in_touch} to {ended} by the dropped route: {}",
        late.len()
    ));
    if served(kept) < 300 {
        return Verdict::NotRun("too few requests of the kept route were served".to_owned());
    }
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
