//! Checks that the platform's names and types are not used outside `platform/`.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

/// Names from the platform's wire formats. In `src/` they would be misleading or
/// have no meaning.
const WIRE_NAMES: [&str; 14] = [
    "warmupLeftMs",
    "warmup_left",
    "pathPrefix",
    "path_prefix",
    "trafficSplit",
    "traffic_split",
    "storeRevision",
    "store_revision",
    "waitMs",
    "allowStale",
    "api/objects",
    "api/readiness",
    "maxAttempts",
    "datagramAddr",
];

fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a readable directory") {
        let path = entry.expect("a readable directory entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn find_lines(words: &[&str], excluded: &[&str]) -> Vec<String> {
    let mut files = Vec::new();
    collect_sources(Path::new("src"), &mut files);
    let mut found = Vec::new();
    for file in files {
        let name = file.display().to_string();
        if excluded.contains(&name.as_str()) {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a readable source file");
        for line in text.lines().filter(|l| words.iter().any(|w| l.contains(w))) {
            found.push(format!("{name}: {line}"));
        }
    }
    found
}

#[test]
fn wire_names_are_not_used_in_src() {
    let found = find_lines(&WIRE_NAMES, &[]);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn only_the_steer_command_uses_the_adapter() {
    const ADAPTER_NAMES: [&str; 3] = ["PlatformAdapter", "SETTINGS_VARIABLE", "crate::platform::"];
    let found = find_lines(&ADAPTER_NAMES, &["src/command/steer.rs"]);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn the_adapter_stays_small() {
    const MAX_LINES: usize = 2_000;
    let mut files = Vec::new();
    collect_sources(Path::new("platform"), &mut files);
    let lines: usize = files
        .iter()
        .map(|f| {
            fs::read_to_string(f)
                .expect("a readable source file")
                .lines()
                .count()
        })
        .sum();
    assert!(lines < MAX_LINES, "{lines} lines");
}
