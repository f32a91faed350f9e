//! Settings of an entry VM that steers flows by tag, rendered from the
//! deployment template.

use dragonflytrack::{
    kernel::clock::Millis,
    settings::SteeringSettings, //
};

const TEMPLATE: &str = include_str!("../deploy/vm.ini");

/// Renders the template as the users' platform does, with defaults for all
/// placeholders not in `values`.
fn render(values: &[(&str, &str)]) -> String {
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
    SteeringSettings::parse(&render(values)).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn deployment_template_is_parsed() {
    let settings = parse(&[]);
    assert_eq!(settings.vm.as_str(), "edge-caerdydd-1");
    assert_eq!(
        settings.peers,
        "10.1.0.10:7720".parse().expect("valid address")
    );
    assert_eq!(settings.millicores, 250);
    assert_eq!(settings.stop_timeout, Millis(6_000));
}

#[test]
fn seeds_use_the_peer_port() {
    let settings = parse(&[]);
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.10:7720", "10.2.0.40:7720"]);
    assert!(parse(&[("seeds", "")]).seeds.is_empty());
}

#[test]
fn fractional_stop_timeout_is_accepted() {
    assert_eq!(parse(&[("bounds.graceS", "0.5")]).stop_timeout, Millis(500));
}

#[test]
fn byte_order_mark_is_skipped() {
    let text = format!("\u{feff}{}", render(&[]));
    assert!(SteeringSettings::parse(&text).is_ok());
}

#[test]
fn missing_keys_are_reported_with_expected_syntax() {
    for key in [
        "name",
        "data-centre",
        "packets",
        "ready",
        "peers",
        "metrics",
        "address",
    ] {
        let prefix = format!("{key} = ");
        let without = |text: &str| -> String {
            let kept = text.lines().filter(|l| !l.starts_with(&prefix));
            kept.collect::<Vec<_>>().join("\n")
        };
        let problem = SteeringSettings::parse(&without(&render(&[])));
        let text = problem.expect_err("missing key is rejected").to_string();
        assert!(
            text.contains(&format!("{key} is missing; write {key} = ")),
            "{text}"
        );
    }
}

#[test]
fn unknown_key_is_reported() {
    let text = render(&[]).replace("cores =", "coers =");
    let problem = SteeringSettings::parse(&text).expect_err("unknown key is rejected");
    assert!(problem.to_string().contains("coers"), "{problem}");
}

#[test]
fn announced_address_may_differ_from_bound_address() {
    let text = render(&[]);
    let settings = SteeringSettings::parse(&text).expect("template is valid");
    assert_eq!(settings.announced, settings.peers);
    let with_announced = text.replace("[listen]", "[listen]\nannounced = 192.0.2.7:9100");
    let settings = SteeringSettings::parse(&with_announced).expect("announced is a known key");
    assert_eq!(settings.announced.to_string(), "192.0.2.7:9100");
    assert!(settings.seeds.iter().all(|seed| seed.port() == 9_100));
    let broken = text.replace("[listen]", "[listen]\nannounced = somewhere");
    let e = SteeringSettings::parse(&broken).expect_err("invalid address is rejected");
    assert!(e.to_string().contains("announced"), "{e}");
}

/// Guards against a cost that is misread, or in force without having been set.
#[test]
fn cross_data_centre_cost_is_optional_and_checked() {
    assert_eq!(parse(&[]).placement.cross_data_centre, None);
    let with_cost = |cost: &str| {
        let section = format!("[placement]\ncross-data-centre-ms = {cost}\n[stop]");
        SteeringSettings::parse(&render(&[]).replace("[stop]", &section))
    };
    for cost in [0, 50, 10_000] {
        let settings = with_cost(&cost.to_string()).expect("the cost is in range");
        assert_eq!(settings.placement.cross_data_centre, Some(Millis(cost)));
    }
    let refuse = |text: &str| {
        let section = format!("[placement]\nrefuse-by-priority = {text}\n[stop]");
        SteeringSettings::parse(&render(&[]).replace("[stop]", &section))
    };
    let refuses = |text| refuse(text).map(|s| s.placement.refuses_by_priority);
    assert!(refuses("yes").is_ok_and(|r| r) && refuses("no").is_ok_and(|r| !r));
    assert!(refuses("maybe").is_err());
    assert!(!parse(&[]).placement.refuses_by_priority);
    for cost in ["-1", "10001", "0.5", "none"] {
        let e = with_cost(cost).expect_err("an invalid cost is rejected");
        assert!(e.to_string().contains("cross-data-centre-ms"), "{e}");
    }
}
