//! Compares the numbered log events with their catalogue in `docs/EVENTS.md`.

use std::collections::BTreeSet;

use dragonflytrack::core::notice::{
    Level,
    Notice, //
};

const CATALOGUE: &str = include_str!("../docs/EVENTS.md");

/// Returns the number, level and text of each numbered row.
fn catalogue() -> Vec<[String; 3]> {
    CATALOGUE
        .lines()
        .filter_map(|line| {
            let mut cells = line.split('|').skip(1).map(|cell| cell.trim().to_owned());
            let row = [cells.next()?, cells.next()?, cells.next()?];
            row[0].parse::<u16>().is_ok().then_some(row)
        })
        .collect()
}

fn row(notice: Notice) -> [String; 3] {
    let level = match notice.level() {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
    };
    [
        notice.number().to_string(),
        level.to_owned(),
        notice.text().to_owned(),
    ]
}

#[test]
fn events_and_rows_match_one_to_one() {
    let rows = catalogue();
    let listed: BTreeSet<_> = rows.iter().cloned().collect();
    assert_eq!(listed.len(), rows.len(), "a row occurs twice");
    let events: BTreeSet<_> = Notice::ALL.iter().map(|notice| row(*notice)).collect();
    let missing: Vec<_> = events.difference(&listed).map(|r| r.join(" | ")).collect();
    let stale: Vec<_> = listed.difference(&events).map(|r| r.join(" | ")).collect();
    assert!(missing.is_empty(), "add to docs/EVENTS.md: {missing:#?}");
    assert!(stale.is_empty(), "remove from docs/EVENTS.md: {stale:#?}");
}

#[test]
fn numbers_are_unique_and_ascend() {
    let numbers: Vec<u16> = Notice::ALL.iter().map(|notice| notice.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}

#[test]
fn each_row_says_what_to_do() {
    for line in CATALOGUE.lines().filter(|l| l.starts_with("| ")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 6, "{line}");
        assert!(cells[1..5].iter().all(|cell| !cell.is_empty()), "{line}");
    }
}
