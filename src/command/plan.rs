//! `dragonflytrack plan`: shows what an intent would change, without changing
//! anything.

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

/// Plans a change and prints its impact; nothing changes until `confirm`.
#[derive(Debug, Options)]
pub struct PlanArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    intent: Option<IntentArgs>,
}

/// Kinds of change.
#[derive(Debug, Options)]
enum IntentArgs {
    #[options(help = "stop sending new work to a backend server; its existing flows continue")]
    Drain(BackendArgs),
    #[options(help = "send new work to a draining backend server again")]
    Undrain(BackendArgs),
    #[options(help = "take a data centre out of service; flows to it are abandoned")]
    Out(DataCentreArgs),
    #[options(help = "return a data centre to service with a gradually growing share of new work")]
    Return(DataCentreArgs),
    #[options(help = "replace all services, backend servers and data centres with those in a file")]
    Apply(FileArgs),
}

/// Plans a change of one backend server.
#[derive(Debug, Options)]
struct BackendArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "name of the backend server")]
    backend: String,
    #[options(
        help = "admin address of an entry VM; may be repeated",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the response as JSON")]
    json: bool,
}

/// Plans a change of one data centre.
#[derive(Debug, Options)]
struct DataCentreArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "name of the data centre")]
    data_centre: String,
    #[options(
        help = "admin address of an entry VM; may be repeated",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the response as JSON")]
    json: bool,
}

/// Plans the replacement of all objects.
#[derive(Debug, Options)]
struct FileArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        free,
        required,
        help = "JSON file with services, backends and data_centres"
    )]
    file: PathBuf,
    #[options(
        help = "admin address of an entry VM; may be repeated",
        meta = "IP:PORT"
    )]
    admin: Vec<SocketAddr>,
    #[options(help = "print the response as JSON")]
    json: bool,
}

/// An intent with the common options of its subcommand.
struct PlanRequest<'a> {
    intent: Value,
    admin: &'a [SocketAddr],
    json: bool,
}

/// Runs `plan` and returns the exit code.
pub fn run(args: &PlanArgs) -> u8 {
    let Some(intent) = &args.intent else {
        eprintln!("usage: dragonflytrack plan INTENT [OPTIONS]\n");
        eprintln!("{}", PlanArgs::command_list().unwrap_or_default());
        return EXIT_USAGE;
    };
    client::report(make_plan(intent))
}

fn make_plan(intent: &IntentArgs) -> Result<(), ClientError> {
    let parsed = plan_request(intent)?;
    let req = AdminRequest::post("/v1/plans", parsed.intent);
    let body = client::call(parsed.admin, &req)?;
    if parsed.json {
        println!("{body:#}");
        return Ok(());
    }
    print(&client::decode(body)?);
    Ok(())
}

fn plan_request(intent: &IntentArgs) -> Result<PlanRequest<'_>, ClientError> {
    let backend_intent =
        |name: &str, args: &BackendArgs| json!({ "intent": name, "backend": args.backend });
    let data_centre_intent = |name: &str, args: &DataCentreArgs| json!({ "intent": name, "data_centre": args.data_centre });
    let (value, admin, json) = match intent {
        IntentArgs::Drain(args) => (backend_intent("drain", args), &args.admin, args.json),
        IntentArgs::Undrain(args) => (backend_intent("undrain", args), &args.admin, args.json),
        IntentArgs::Out(args) => (data_centre_intent("out", args), &args.admin, args.json),
        IntentArgs::Return(args) => (data_centre_intent("return", args), &args.admin, args.json),
        IntentArgs::Apply(args) => (read_objects(&args.file)?, &args.admin, args.json),
    };
    Ok(PlanRequest {
        intent: value,
        admin,
        json,
    })
}

fn read_objects(path: &Path) -> Result<Value, ClientError> {
    let file_error = |reason: String| ClientError::File {
        path: path.display().to_string(),
        reason,
    };
    let text = fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
    let mut value: Value = serde_json::from_str(&text).map_err(|e| file_error(e.to_string()))?;
    let Some(fields) = value.as_object_mut() else {
        let reason = "expected a JSON object with services, backends and data_centres";
        return Err(file_error(reason.to_owned()));
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
