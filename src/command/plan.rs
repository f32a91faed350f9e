//! `dragonflytrack plan`: what an intent would change. Nothing happens yet.

use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
};

use gumdrop::Options;
use serde_json::{
    Value,
    json, //
};

use crate::{
    command::{
        EXIT_USAGE,
        client::{
            self,
            AdminRequest,
            ClientError, //
        },
        table::{
            Table,
            or_dash, //
        }, //
    },
    core::intent::Plan,
};

/// The options of `plan`.
#[derive(Debug, Options)]
pub struct PlanArgs {
    /// Print this help.
    #[options(help = "print help")]
    help: bool,
    /// The intent.
    #[options(command)]
    intent: Option<IntentArgs>,
}

/// The intents.
#[derive(Debug, Options)]
enum IntentArgs {
    /// Give a backend server no new work.
    #[options(help = "give a backend server no new work; its flows stay")]
    Drain(BackendArgs),
    /// Give a draining backend server new work again.
    #[options(help = "give a draining backend server new work again")]
    Undrain(BackendArgs),
    /// Take a data centre out.
    #[options(help = "take a data centre out; flows that end there are given up")]
    Out(DataCentreArgs),
    /// Return a data centre.
    #[options(help = "return a data centre, with a growing share of new work")]
    Return(DataCentreArgs),
    /// Replace all objects by those of a file.
    #[options(help = "replace all services, backend servers and data centres")]
    Apply(FileArgs),
}

/// The options of an intent about a backend server.
#[derive(Debug, Options)]
struct BackendArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the backend server's name")]
    backend: String,
    #[options(
        help = "an entry VM's admin address; repeat for more",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

/// The options of an intent about a data centre.
#[derive(Debug, Options)]
struct DataCentreArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the data centre's name")]
    data_centre: String,
    #[options(
        help = "an entry VM's admin address; repeat for more",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

/// The options of `apply`.
#[derive(Debug, Options)]
struct FileArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        free,
        required,
        help = "a JSON file with services, backends, data_centres"
    )]
    file: PathBuf,
    #[options(
        help = "an entry VM's admin address; repeat for more",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

/// An intent with where and how to ask for its plan.
struct Asked<'a> {
    intent: Value,
    admin: &'a [SocketAddr],
    json: bool,
}

/// Asks for a plan and prints it. Returns the exit code.
pub fn run(args: &PlanArgs) -> u8 {
    let Some(intent) = &args.intent else {
        eprintln!("usage: dragonflytrack plan INTENT [OPTIONS]\n");
        eprintln!("{}", PlanArgs::command_list().unwrap_or_default());
        return EXIT_USAGE;
    };
    client::finish(make(intent))
}

fn make(intent: &IntentArgs) -> Result<(), ClientError> {
    let asked = asked(intent)?;
    let req = AdminRequest::post("/v1/plans", asked.intent);
    let body = client::call(asked.admin, &req)?;
    if asked.json {
        println!("{body:#}");
        return Ok(());
    }
    print(&client::decode(body)?);
    Ok(())
}

fn asked(intent: &IntentArgs) -> Result<Asked<'_>, ClientError> {
    let on_backend =
        |name: &str, args: &BackendArgs| json!({ "intent": name, "backend": args.backend });
    let on_data_centre = |name: &str, args: &DataCentreArgs| json!({ "intent": name, "data_centre": args.data_centre });
    let (value, admin, json) = match intent {
        IntentArgs::Drain(args) => (on_backend("drain", args), &args.admin, args.json),
        IntentArgs::Undrain(args) => (on_backend("undrain", args), &args.admin, args.json),
        IntentArgs::Out(args) => (on_data_centre("out", args), &args.admin, args.json),
        IntentArgs::Return(args) => (on_data_centre("return", args), &args.admin, args.json),
        IntentArgs::Apply(args) => (read(&args.file)?, &args.admin, args.json),
    };
    Ok(Asked {
        intent: value,
        admin,
        json,
    })
}

fn read(path: &Path) -> Result<Value, ClientError> {
    let error = |reason: String| ClientError::File {
        path: path.display().to_string(),
        reason,
    };
    let text = fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    let mut value: Value = serde_json::from_str(&text).map_err(|e| error(e.to_string()))?;
    let Some(fields) = value.as_object_mut() else {
        let reason = "write a JSON object with services, backends and data_centres";
        return Err(error(reason.to_owned()));
    };
    fields.insert("intent".to_owned(), json!("apply"));
    Ok(value)
}

fn print(plan: &Plan) {
    println!("plan {}: {}", plan.id, plan.intent);
    println!(
        "rests on generation {} (decision {}, version {})",
        plan.base.generation, plan.base.decision, plan.base.version
    );
    print_changes(plan);
    print_touched(plan);
    print_capacity(plan);
    print_ramp(plan);
    print_risks(plan);
    println!(
        "\nnothing has changed; to go on: dragonflytrack confirm {}",
        plan.id
    );
}

fn print_changes(plan: &Plan) {
    println!("\nchanges");
    let mut table = Table::new(["OBJECT", "FIELD", "OLD", "NEW"]);
    for change in &plan.changes {
        table.row([
            change.object.to_string(),
            change.field.clone(),
            change.old.clone(),
            change.new.clone(),
        ]);
    }
    table.print();
}

fn print_touched(plan: &Plan) {
    println!("\ntouched (as {} knows)", plan.made_by);
    let mut table = Table::new(["BACKEND SERVER", "WEIGHT", "FLOWS", "REQUESTS", "EFFECT"]);
    for touched in &plan.touched {
        table.row([
            touched.backend.to_string(),
            format!("{}%", touched.weight_percent),
            or_dash(touched.usage.flows),
            or_dash(touched.usage.requests),
            touched.effect.to_string(),
        ]);
    }
    table.print();
}

fn print_capacity(plan: &Plan) {
    println!("\ncapacity left for new work");
    let mut table = Table::new(["SERVICE", "BACKENDS", "SLOTS", "CONNECTIONS", "SLOTS LEFT"]);
    for left in &plan.capacity {
        let change = |before: u64, after: u64| format!("{before} -> {after}");
        table.row([
            left.service.to_string(),
            change(left.before.backends, left.after.backends),
            change(left.before.slots, left.after.slots),
            change(left.before.connections, left.after.connections),
            format!("{}%", left.percent),
        ]);
    }
    table.print();
}

fn print_ramp(plan: &Plan) {
    if plan.ramp.is_empty() {
        return;
    }
    println!("\nramp after confirmation");
    let mut table = Table::new(["AFTER", "SHARE"]);
    for step in &plan.ramp {
        table.row([step.after_ms.to_string(), format!("{}%", step.share)]);
    }
    table.print();
}

fn print_risks(plan: &Plan) {
    println!("\nat risk");
    if plan.risks.is_empty() {
        println!("nothing known");
    }
    for risk in &plan.risks {
        println!("- {risk}");
    }
}
