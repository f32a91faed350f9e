//! The settings of an entry VM that steers by tag, as the users' platform fills
//! them in.

use dragonflytrack::{
    kernel::clock::Millis,
    settings::SteeringSettings, //
};

const TEMPLATE: &str = include_str!("../deploy/vm.ini");

/// Fills in the template as the platform does.
fn filled(values: &[(&str, &str)]) -> String {
    let defaults = [
        ("node", "edge-caerdydd-1"),
        ("zone", "caerdydd"),
        ("limits.cpuShare", "0.25"),
        ("listen.datagramAddr", "10.1.0.10:8172"),
        ("listen.ready", "10.1.0.10:8167"),
        ("ip", "10.1.0.10"),
        ("internalPortRange.0", "7720"),
        ("platform.address", "10.200.1.7:8169"),
        ("seeds", "10.1.0.10:8166,10.2.0.40:8166"),
        ("bounds.graceS", "6"),
    ];
    let mut text = TEMPLATE.to_owned();
    for (name, value) in values.iter().chain(&defaults) {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

fn parse(values: &[(&str, &str)]) -> SteeringSettings {
    SteeringSettings::parse(&filled(values)).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn the_template_of_the_deployment_is_read() {
    let settings = parse(&[]);
    assert_eq!(settings.vm.as_str(), "edge-caerdydd-1");
    assert_eq!(
        settings.peers,
        "10.1.0.10:7720".parse().expect("an address")
    );
    assert_eq!(settings.millicores, 250);
    assert_eq!(settings.stop_timeout, Millis(6_000));
}

#[test]
fn seeds_are_other_vms_at_the_port_for_vms() {
    let settings = parse(&[]);
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.10:7720", "10.2.0.40:7720"]);
    assert!(parse(&[("seeds", "")]).seeds.is_empty());
}

#[test]
fn a_short_or_broken_time_to_stop_is_taken() {
    assert_eq!(parse(&[("bounds.graceS", "0.5")]).stop_timeout, Millis(500));
}

#[test]
fn a_byte_order_mark_is_skipped() {
    let text = format!("\u{feff}{}", filled(&[]));
    assert!(SteeringSettings::parse(&text).is_ok());
}

#[test]
fn each_missing_key_is_named_with_its_remedy() {
    for key in [
        "name",
        "data-centre",
        "packets",
        "ready",
        "peers",
        "metrics",
        "address",
    ] {
        let start = format!("{key} = ");
        let without = |text: &str| -> String {
            let kept = text.lines().filter(|l| !l.starts_with(&start));
            kept.collect::<Vec<_>>().join("\n")
        };
        let problem = SteeringSettings::parse(&without(&filled(&[])));
        let text = problem.expect_err("a key is missing").to_string();
        assert!(
            text.contains(&format!("{key} is missing; write {key} = ")),
            "{text}"
        );
    }
}

#[test]
fn an_unknown_key_is_named() {
    let text = filled(&[]).replace("cores =", "coers =");
    let problem = SteeringSettings::parse(&text).expect_err("an unknown key");
    assert!(problem.to_string().contains("coers"), "{problem}");
}

#[test]
fn a_vm_may_announce_another_address_than_the_one_it_binds() {
    let text = filled(&[]);
    let settings = SteeringSettings::parse(&text).expect("the template is read");
    assert_eq!(settings.announced, settings.peers);
    let translated = text.replace("[listen]", "[listen]\nannounced = 192.0.2.7:9100");
    let settings = SteeringSettings::parse(&translated).expect("the key is known");
    assert_eq!(settings.announced.to_string(), "192.0.2.7:9100");
    assert!(settings.seeds.iter().all(|seed| seed.port() == 9_100));
    let broken = text.replace("[listen]", "[listen]\nannounced = somewhere");
    let e = SteeringSettings::parse(&broken).expect_err("no address");
    assert!(e.to_string().contains("announced"), "{e}");
}
