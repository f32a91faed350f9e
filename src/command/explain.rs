//! `dragonflytrack explain`: prints the timeline of a client's flows from log
//! files.

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

/// Prints the timeline of a client's flows from JSON log files.
#[derive(Debug, Options)]
pub struct ExplainArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        required,
        help = "address of the client, with or without its port",
        meta = "IP[:PORT]"
    )]
    client: String,
    #[options(
        free,
        help = "JSON log files, one per VM or with the VM's name before each line"
    )]
    logs: Vec<PathBuf>,
}

/// Notices about the state of a VM, shown as context for how it handled a flow.
const VM_STATE_NOTICES: [Notice; 7] = [
    Notice::StoreUpdateApplied,
    Notice::Ready,
    Notice::NotReady,
    Notice::StoreLost,
    Notice::StoreRegained,
    Notice::Started,
    Notice::Stopping,
];

/// One parsed log line.
#[derive(Debug)]
struct LogLine {
    time: String,
    vm: String,
    event: u64,
    message: String,
    fields: Map<String, Value>,
}

/// Runs `explain` and returns the exit code.
pub fn run(args: &ExplainArgs) -> u8 {
    let mut lines = Vec::new();
    for log in &args.logs {
        match read_log(log) {
            Ok(parsed) => lines.extend(parsed),
            Err(e) => {
                eprintln!("{}: cannot read the log: {e}", log.display());
                return EXIT_FAILED;
            }
        }
    }
    let timeline = select_timeline(lines, &args.client);
    if timeline.is_empty() {
        eprintln!(
            "no log line mentions {}; check the address and the time range of the logs",
            args.client
        );
        return EXIT_FAILED;
    }
    for line in &timeline {
        println!("{}", line.text());
    }
    EXIT_OK
}

fn read_log(path: &Path) -> io::Result<Vec<LogLine>> {
    let vm = path.file_stem().unwrap_or_default().to_string_lossy();
    let text = fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|l| parse_line(l, &vm)).collect())
}

/// Parses a JSON log line; returns `None` if it is not an event. The VM is the
/// last word before the JSON, where log collectors write its name, or else `vm`.
fn parse_line(line: &str, vm: &str) -> Option<LogLine> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let mut take_field = |key: &str| fields.remove(key).unwrap_or_default();
    let time = take_field("timestamp").as_str()?.to_owned();
    let message = take_field("message").as_str()?.to_owned();
    let event = take_field("event").as_u64()?;
    take_field("target");
    take_field("level");
    Some(LogLine {
        vm: prefix.split_whitespace().last().unwrap_or(vm).to_owned(),
        time,
        event,
        message,
        fields,
    })
}

/// Selects, in time order, the lines about the client's flows, decisions about
/// their backend servers, and state notices of the VMs that handled them.
fn select_timeline(lines: Vec<LogLine>, client: &str) -> Vec<LogLine> {
    let is_client = |line: &&LogLine| line.is_flow_of(client);
    let backends: BTreeSet<String> = lines
        .iter()
        .filter(is_client)
        .filter_map(LogLine::backend)
        .collect();
    let vms: BTreeSet<String> = lines
        .iter()
        .filter(is_client)
        .map(|l| l.vm.clone())
        .collect();
    let last_time = lines.iter().filter(is_client).map(|l| l.time.clone()).max();
    let is_relevant = |line: &LogLine| {
        let is_vm_state = VM_STATE_NOTICES
            .iter()
            .any(|n| u64::from(n.number()) == line.event);
        let is_same_backend = line.backend().is_some_and(|b| backends.contains(&b));
        let has_flow = line.fields.contains_key("flow");
        line.is_flow_of(client)
            || (is_same_backend && !has_flow)
            || (is_vm_state && vms.contains(&line.vm) && Some(&line.time) <= last_time.as_ref())
    };
    let mut timeline: Vec<LogLine> = lines.into_iter().filter(is_relevant).collect();
    timeline.sort_by(|a, b| a.time.cmp(&b.time));
    timeline
}

impl LogLine {
    fn is_flow_of(&self, client: &str) -> bool {
        let Some(flow) = self.fields.get("flow").and_then(Value::as_str) else {
            return false;
        };
        let terminators = [">", ":"];
        terminators
            .iter()
            .any(|terminator| flow.starts_with(&format!("{client}{terminator}")))
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
