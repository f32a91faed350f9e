//! The files in `samples/` load without changes and have the expected sizes.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::Command,
};

use dragonflytrack::{
    core::configuration::Configuration,
    settings::Settings, //
};

fn sample_files(deployment: &str, extension: &str) -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("samples")
        .join(deployment);
    let entries = fs::read_dir(dir).expect("the samples directory is readable");
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == extension));
    files.sort();
    files
}

fn check_deployment(deployment: &str, sizes: &[(&str, usize, u32)]) {
    let settings: Vec<Settings> = sample_files(deployment, "ini")
        .iter()
        .map(|f| Settings::load(f).unwrap_or_else(|e| panic!("{}: {e}", f.display())))
        .collect();
    assert_eq!(settings.len(), 6);
    for vm in &settings {
        assert_eq!(vm.seeds.len(), 6);
        let is_seed = |s: &Settings| {
            vm.seeds
                .iter()
                .any(|seed| seed.id == s.vm && seed.peer_address == s.peers)
        };
        assert!(settings.iter().all(is_seed), "{} lacks a VM", vm.vm);
    }
    let file = sample_files(deployment, "json").remove(0);
    let text = fs::read(file).expect("the configuration file is readable");
    let cfg: Configuration = serde_json::from_slice(&text).expect("the configuration is valid");
    assert_eq!(cfg.services.len(), sizes.len());
    for (name, backends, slots) in sizes {
        let service = (*name).into();
        assert_eq!(cfg.backends_of(&service).count(), *backends);
        assert!(
            cfg.backends_of(&service)
                .all(|b| b.slots == *slots && b.connections == 2_000)
        );
    }
    for vm in &settings {
        assert!(cfg.data_centre(&vm.data_centre).is_some());
    }
}

#[test]
fn cymru_samples_have_expected_sizes() {
    check_deployment("cymru", &[("bench-diary", 15, 4), ("quote-desk", 4, 4)]);
}

#[test]
fn hu_central_samples_have_expected_sizes() {
    check_deployment(
        "hu-central",
        &[("fitting-svc", 15, 2), ("lookbook-svc", 4, 2)],
    );
}

#[test]
fn check_command_reports_result_by_exit_code() {
    let run_check = |file: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_dragonflytrack"))
            .args(["check", file])
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/cymru/abertawe-1.ini");
    assert_eq!(run_check(sample), (Some(0), String::new()));
    let (code, text) = run_check(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    assert_eq!(code, Some(2));
    assert!(
        text.contains("[vm] name is missing; write name ="),
        "{text}"
    );
    let (code, text) = run_check("no-such-file");
    assert_eq!(code, Some(2));
    assert!(text.contains("check the path"), "{text}");
}
