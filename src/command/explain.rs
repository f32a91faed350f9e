//! `dragonflytrack explain`: the story of one client's flow, from log files.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{
        Path,
        PathBuf, //
    },
};

use gumdrop::Options;
use serde_json::{
    Map,
    Value, //
};

use crate::{
    command::{
        EXIT_FAILED,
        EXIT_OK, //
    },
    core::notice::Notice,
};

/// The options of `explain`.
#[derive(Debug, Options)]
pub struct Explain {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The client.
    #[options(
        required,
        help = "the client's address and port, or its address alone",
        meta = "IP[:PORT]"
    )]
    client: String,
    /// The log files.
    #[options(
        free,
        help = "log files, one for each VM or with the VM's name in each line"
    )]
    logs: Vec<PathBuf>,
}

/// What a VM believed, shown beside what it did with the flow.
const BELIEFS: [Notice; 7] = [
    Notice::StoreUpdateApplied,
    Notice::Ready,
    Notice::NotReady,
    Notice::StoreLost,
    Notice::StoreRegained,
    Notice::Started,
    Notice::Stopping,
];

/// One line of a log.
#[derive(Debug)]
struct Line {
    time: String,
    vm: String,
    event: u64,
    message: String,
    fields: Map<String, Value>,
}

/// Prints the story. Returns the exit code.
pub fn run(args: &Explain) -> u8 {
    let mut lines = Vec::new();
    for log in &args.logs {
        match read(log) {
            Ok(read) => lines.extend(read),
            Err(e) => {
                eprintln!("{}: cannot be read: {e}", log.display());
                return EXIT_FAILED;
            }
        }
    }
    let story = story(lines, &args.client);
    if story.is_empty() {
        eprintln!(
            "no line names {}; check the address and the time of the logs",
            args.client
        );
        return EXIT_FAILED;
    }
    for line in &story {
        println!("{}", line.text());
    }
    EXIT_OK
}

fn read(path: &Path) -> io::Result<Vec<Line>> {
    let vm = path.file_stem().unwrap_or_default().to_string_lossy();
    let text = fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|l| parse(l, &vm)).collect())
}

/// Reads a line. Whatever collects logs may put the VM's name in front.
fn parse(line: &str, vm: &str) -> Option<Line> {
    let (before, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let mut take = |key: &str| fields.remove(key).unwrap_or_default();
    let time = take("timestamp").as_str()?.to_owned();
    let message = take("message").as_str()?.to_owned();
    let event = take("event").as_u64()?;
    take("target");
    take("level");
    Some(Line {
        vm: before.split_whitespace().last().unwrap_or(vm).to_owned(),
        time,
        event,
        message,
        fields,
    })
}

/// Selects the lines that touch the client's flows, what was decided about
/// their backend servers, and what the VMs that carried them believed.
fn story(lines: Vec<Line>, client: &str) -> Vec<Line> {
    let own = |line: &&Line| line.is_of(client);
    let backends: BTreeSet<String> = lines.iter().filter(own).filter_map(Line::backend).collect();
    let vms: BTreeSet<String> = lines.iter().filter(own).map(|l| l.vm.clone()).collect();
    let last = lines.iter().filter(own).map(|l| l.time.clone()).max();
    let is_wanted = |line: &Line| {
        let is_belief = BELIEFS.iter().any(|n| u64::from(n.number()) == line.event);
        let of_backend = line.backend().is_some_and(|b| backends.contains(&b));
        let is_other_flow = line.fields.contains_key("flow");
        line.is_of(client)
            || (of_backend && !is_other_flow)
            || (is_belief && vms.contains(&line.vm) && Some(&line.time) <= last.as_ref())
    };
    let mut story: Vec<Line> = lines.into_iter().filter(is_wanted).collect();
    story.sort_by(|a, b| a.time.cmp(&b.time));
    story
}

impl Line {
    fn is_of(&self, client: &str) -> bool {
        let Some(flow) = self.fields.get("flow").and_then(Value::as_str) else {
            return false;
        };
        let ends = [">", ":"];
        ends.iter()
            .any(|end| flow.starts_with(&format!("{client}{end}")))
    }

    fn backend(&self) -> Option<String> {
        let backend = self.fields.get("backend").and_then(Value::as_str)?;
        (!backend.is_empty()).then(|| backend.to_owned())
    }

    fn text(&self) -> String {
        let fields: Vec<String> = self
            .fields
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        format!(
            "{} {} {} {} {}",
            self.time,
            self.vm,
            self.event,
            self.message,
            fields.join(" ")
        )
    }
}
