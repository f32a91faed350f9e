//! Prints the summaries of several runs as a table.

use std::{
    fmt::Write,
    fs,
    io,
    path::PathBuf, //
};

use crate::callers::Summary;

/// Reads the summaries in `files`, prints them as a table, and returns them
/// merged.
///
/// # Errors
///
/// Fails if a file cannot be read or is not a summary.
pub fn summarize(files: &[PathBuf]) -> io::Result<Summary> {
    let mut total = Summary::default();
    let mut table = String::from(
        "run              answered  refused  unknown  p50 ms  p99 ms  max ms    kept  given up  refused\n",
    );
    for file in files {
        let summary: Summary = serde_json::from_slice(&fs::read(file)?)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        add_row(&mut table, &name, &summary);
        total.merge(&summary);
    }
    print!("{table}");
    for (refusal, count) in &total.refusals {
        println!("refused and repeated {count} times: {refusal}");
    }
    Ok(total)
}

fn add_row(table: &mut String, name: &str, s: &Summary) {
    // Writing into a string cannot fail.
    let _ = writeln!(
        table,
        "{name:<16} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>9} {:>8}",
        s.answered,
        s.refused,
        s.unknown,
        s.latency_p50_ms,
        s.latency_p99_ms,
        s.latency_max_ms,
        s.kept,
        s.given_up,
        s.flows_refused,
    );
}
