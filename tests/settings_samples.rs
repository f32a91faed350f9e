//! The samples can be used as they stand.

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

fn samples(deployment: &str, extension: &str) -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("samples")
        .join(deployment);
    let entries = fs::read_dir(dir).expect("the samples are there");
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == extension));
    files.sort();
    files
}

fn check(deployment: &str, sizes: &[(&str, usize, u32)]) {
    let settings: Vec<Settings> = samples(deployment, "ini")
        .iter()
        .map(|f| Settings::load(f).unwrap_or_else(|e| panic!("{}: {e}", f.display())))
        .collect();
    assert_eq!(settings.len(), 6);
    for vm in &settings {
        assert_eq!(vm.seeds.len(), 6);
        let known = |s: &Settings| {
            vm.seeds
                .iter()
                .any(|seed| seed.id == s.vm && seed.peer_address == s.peers)
        };
        assert!(settings.iter().all(known), "{} lacks a VM", vm.vm);
    }
    let file = samples(deployment, "json").remove(0);
    let text = fs::read(file).expect("the configuration can be read");
    let cfg: Configuration = serde_json::from_slice(&text).expect("the configuration is right");
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
fn the_samples_of_cymru_have_its_sizes() {
    check("cymru", &[("bench-diary", 15, 4), ("quote-desk", 4, 4)]);
}

#[test]
fn the_samples_of_hu_central_have_its_sizes() {
    check(
        "hu-central",
        &[("fitting-svc", 15, 2), ("lookbook-svc", 4, 2)],
    );
}

#[test]
fn the_command_checks_a_file_and_says_so_by_its_exit_code() {
    let run = |file: &str| {
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
    assert_eq!(run(sample), (Some(0), String::new()));
    let (code, text) = run(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    assert_eq!(code, Some(2));
    assert!(
        text.contains("[vm] name is missing; write name ="),
        "{text}"
    );
    let (code, text) = run("no-such-file");
    assert_eq!(code, Some(2));
    assert!(text.contains("check the path"), "{text}");
}
