//! Invalid settings are rejected as a whole, and the error lists every problem.

use dragonflytrack::{
    edge::platform::object_url,
    kernel::clock::Millis,
    settings::{
        LogFormat,
        Problem,
        Settings,
        SettingsError, //
    },
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    },
};

const SAMPLE: &str = include_str!("../samples/hu-central/bud-a-1.ini");

/// Returns the problems of the sample settings with `old` replaced by `new`.
fn problems(old: &str, new: &str) -> Vec<Problem> {
    assert!(SAMPLE.contains(old));
    match Settings::parse(&SAMPLE.replacen(old, new, 1)) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid { problems }) => problems,
        Err(e) => panic!("{e}"),
    }
}

/// Returns the message of the only problem after the same replacement.
fn single_message(old: &str, new: &str) -> String {
    let problems = problems(old, new);
    assert_eq!(problems.len(), 1, "{problems:?}");
    problems[0].to_string()
}

#[test]
fn optional_sections_have_defaults() {
    let (required, _) = SAMPLE.split_once("; The sections below").unwrap();
    let settings = Settings::parse(required).unwrap();
    assert_eq!(settings.log.format, LogFormat::Human);
    assert_eq!(settings.stop.timeout, Millis::from_secs(30));
    let mut sample = Settings::parse(SAMPLE).unwrap();
    sample.log.modules.clear();
    assert_eq!(settings, sample);
}

#[test]
fn missing_key_is_reported() {
    assert_eq!(
        single_message("callers = 127.20.1.1:8080\n", ""),
        "[listen] callers is missing; write callers = IP:PORT with a port other than 0"
    );
}

#[test]
fn invalid_value_is_reported_with_expected_syntax() {
    assert_eq!(
        single_message("admin = 127.20.1.1:9100", "admin = 127.20.1.1"),
        "[listen] admin = \"127.20.1.1\" is invalid; \
         expected IP:PORT with a port other than 0"
    );
    assert!(single_message("relay = 127.20.1.1:", "relay = 0.0.0.0:").contains("own IP address"));
    assert!(single_message("timeout-ms = 30000", "timeout-ms = 0").contains("from 1 to 3600000"));
    assert!(single_message("format = human", "format = xml").contains("human or json"));
    assert!(single_message("edge.peers = info", "edge.peers = loud").contains("debug or trace"));
    assert!(single_message("name = bud-a-1", "name = bud a").contains("hyphens"));
}

#[test]
fn unknown_and_duplicate_names_are_rejected() {
    assert!(single_message("relay =", "relais = 1.2.3.4:5\nrelay =").contains("relais"));
    assert!(single_message("[stop]", "[halt]\n[stop]").starts_with("[halt] is not a section"));
    assert!(single_message("[stop]", "[log]\n[stop]").starts_with("[log] appears more than once"));
    let duplicate = single_message("format = human", "format = human\nformat = json");
    assert!(duplicate.starts_with("[log] format = \"json\" appears more than once"));
    let outside = single_message("; The entry VM", "format = json\n; The entry VM");
    assert!(outside.contains("is outside any section"));
}

#[test]
fn conflicting_addresses_are_reported() {
    let conflict = single_message("relay = 127.20.1.1:6081", "relay = 127.20.1.1:6080");
    assert!(
        conflict.contains("conflicts with [listen] fabric"),
        "{conflict}"
    );
    let wildcard = single_message("callers = 127.20.1.1:8080", "callers = 0.0.0.0:7100");
    assert!(wildcard.contains("conflicts with"), "{wildcard}");
    let own = single_message("bud-a-1 = 127.20.1.1:7100", "bud-a-1 = 127.20.1.9:7100");
    assert!(own.contains("[listen] peers"), "{own}");
    let duplicate = single_message("bud-a-2 = 127.20.1.2", "bud-a-2 = 127.20.2.1");
    assert!(duplicate.contains("[peers]"), "{duplicate}");
}

#[test]
fn cell_name_prefixes_object_urls() {
    let text = SAMPLE.replace("[platform]", "[platform]\ncell = north-1");
    let mut platform = Settings::parse(&text).unwrap().platform;
    let key = "configurations/current";
    let url = object_url(&platform, key);
    assert!(url.ends_with("/v1/objects/configurations/north-1.current"));
    platform.cell = None;
    assert!(object_url(&platform, key).ends_with("/v1/objects/configurations/current"));
    let slash = single_message("[platform]", "[platform]\ncell = north/1");
    assert!(slash.contains("letters, digits and hyphens"), "{slash}");
}

#[test]
fn all_problems_are_reported_at_once() {
    let found = problems(
        "[platform]\naddress = 127.20.0.1:8090",
        "[platfrom]\nport = 1",
    );
    let text = SettingsError::Invalid { problems: found }.to_string();
    assert_eq!(text.lines().count(), 2, "{text}");
    let empty_file = Settings::parse("").unwrap_err().to_string();
    assert_eq!(empty_file.lines().count(), 9, "{empty_file}");
}

#[test]
fn parsing_arbitrary_text_does_not_panic() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let line = prop_oneof![
        any::<String>(),
        "\\[[a-z\\-]{0,9}\\]?",
        "[a-z.\\-]{0,9} ?[=:] ?[ -~]{0,20}",
        Just("[listen]".to_owned()),
        Just("[log-levels]".to_owned()),
        Just("peers = [::1]:7".to_owned()),
        Just("key = \"open".to_owned()),
        Just("key = \\".to_owned()),
    ];
    let text = prop::collection::vec(line, 0..20).prop_map(|lines| lines.join("\n"));
    runner
        .run(&text, |text| {
            if let Err(e) = Settings::parse(&text) {
                prop_assert!(!e.to_string().is_empty());
            }
            Ok(())
        })
        .unwrap();
}
