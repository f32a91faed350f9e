//! Slots of warm backend servers, over several VMs.

use dragonflytrack::{
    core::{
        configuration::Configuration,
        names::ServiceId, //
    },
    kernel::clock::Millis, //
};
use dragonflytrack_testkit::{
    sample,
    slots::{
        Policy,
        SlotFleet, //
    },
};

const SERVICE_TIME: Millis = Millis(100);

/// A service at the size of today.
struct Case {
    cfg: Configuration,
    service: ServiceId,
    slots: f64,
}

fn cases() -> [Case; 2] {
    let cymru = sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES);
    let hu_central = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
    [
        Case {
            cfg: cymru,
            service: ServiceId::new("bench-diary"),
            slots: 60.0,
        },
        Case {
            cfg: hu_central,
            service: ServiceId::new("fitting-svc"),
            slots: 30.0,
        },
    ]
}

/// Starts six VMs and lets the allowances grow to all slots.
fn warm_fleet(case: &Case, policy: Policy, seed: u64) -> SlotFleet {
    let mut fleet = SlotFleet::new(&case.cfg, 2, seed);
    fleet.policy = policy;
    fleet.run_for(Millis::from_secs(4));
    let concurrency = case.slots * 0.6;
    fleet.load(
        &case.service,
        concurrency,
        SERVICE_TIME,
        Millis::from_secs(20),
    );
    fleet.tally = Default::default();
    fleet
}

fn imbalance(case: &Case, policy: Policy, seed: u64) -> (f64, SlotFleet) {
    let mut fleet = warm_fleet(case, policy, seed);
    fleet.reset_imbalance();
    let concurrency = case.slots * 0.7;
    fleet.load(
        &case.service,
        concurrency,
        SERVICE_TIME,
        Millis::from_secs(60),
    );
    (fleet.imbalance(&case.service), fleet)
}

#[test]
fn imbalance_is_bounded_at_seventy_percent() {
    for case in cases() {
        for seed in 1..=3 {
            let (imbalance, fleet) = imbalance(&case, Policy::Leases, seed);
            let answered = fleet.tally.answered;
            println!(
                "{} seed {seed}: imbalance {imbalance:.3}, answered {answered}, refused {}, shed {}, wait {:.2} ms",
                case.service,
                fleet.tally.refused.len(),
                fleet.tally.shed,
                fleet.tally.waited.0 as f64 / answered as f64,
            );
            assert!(imbalance <= 1.15, "imbalance {imbalance}");
            assert_eq!(fleet.sum(|b| b.over_slots), 0);
        }
        for policy in [Policy::RoundRobin, Policy::Random, Policy::TwoChoices] {
            let (imbalance, fleet) = imbalance(&case, policy, 1);
            println!(
                "{} {policy:?}: imbalance {imbalance:.3}, over slots {}, shed {}",
                case.service,
                fleet.sum(|b| b.over_slots),
                fleet.tally.shed,
            );
        }
    }
}
#[test]
fn slots_are_used_before_the_first_refusal() {
    for case in cases() {
        for seed in 1..=3 {
            let mut fleet = warm_fleet(&case, Policy::Leases, seed);
            let mut concurrency = case.slots * 0.75;
            while fleet.tally.refused.is_empty() {
                concurrency *= 1.02;
                fleet.load(
                    &case.service,
                    concurrency,
                    SERVICE_TIME,
                    Millis::from_secs(1),
                );
            }
            let refusal = fleet.tally.refused[0];
            let utilisation = refusal.in_flight / case.slots;
            println!(
                "{} seed {seed}: first refusal at {} with {:.1}% of the slots in use",
                case.service,
                refusal.at,
                utilisation * 100.0,
            );
            assert!(utilisation >= 0.9, "utilisation {utilisation}");
        }
    }
}
