//! The platform's names stay in `platform/`.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

/// Names of the platform's wire that mean something else inside, or nothing.
const FOREIGN: [&str; 14] = [
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

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn lines_with(words: &[&str], but: &[&str]) -> Vec<String> {
    let mut files = Vec::new();
    sources(Path::new("src"), &mut files);
    let mut found = Vec::new();
    for file in files {
        let name = file.display().to_string();
        if but.contains(&name.as_str()) {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a source file");
        for line in text.lines().filter(|l| words.iter().any(|w| l.contains(w))) {
            found.push(format!("{name}: {line}"));
        }
    }
    found
}

#[test]
fn no_name_of_the_wire_is_used_outside() {
    let found = lines_with(&FOREIGN, &[]);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn only_one_command_uses_the_adapter() {
    const ADAPTER: [&str; 3] = ["PlatformAdapter", "SETTINGS_VARIABLE", "crate::platform::"];
    let found = lines_with(&ADAPTER, &["src/command/steer.rs"]);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn the_adapter_stays_small() {
    const MOST_LINES: usize = 2_000;
    let mut files = Vec::new();
    sources(Path::new("platform"), &mut files);
    let lines: usize = files
        .iter()
        .map(|f| {
            fs::read_to_string(f)
                .expect("a source file")
                .lines()
                .count()
        })
        .sum();
    assert!(lines < MOST_LINES, "{lines} lines");
}
