//! Measures the cost of tickets: time and memory per ticket, and messages per
//! relayed request.
//!
//! `cargo run --release --example request_bench`

use std::{
    fs,
    hint::black_box,
    time::Instant, //
};

use bytes::Bytes;
use dragonflytrack::{
    core::{
        names::{
            Incarnation,
            ServiceId,
            VmId, //
        },
        request::{
            Answer,
            Call,
            CallId,
            Digest,
            Headers,
            HttpRequest,
            HttpResponse,
            Issuer,
            Ticket,
            TicketTable,
            Waiter, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::{
    Fleet,
    sample, //
};

const TABLE_SIZES: [u64; 3] = [1_000, 8_000, 32_000];
const ANSWER_BYTES: usize = 200;
const REQUESTS: u64 = 500;

fn main() {
    println!("tickets  ns each  bytes each, answer of {ANSWER_BYTES} included");
    for size in TABLE_SIZES {
        measure_table(size);
    }
    measure_relays();
}

fn request(n: u64) -> HttpRequest {
    HttpRequest {
        method: "POST".to_owned(),
        path: "/hold".to_owned(),
        headers: Headers::new(),
        body: Bytes::from(format!("dress {n}")),
    }
}

fn measure_table(size: u64) {
    let issuer = Issuer {
        vm: VmId::new("bud-a-1"),
        incarnation: Incarnation(1_800_000_000_000),
    };
    let service = ServiceId::new("fitting-svc");
    let before = resident_bytes();
    let started = Instant::now();
    let mut table = TicketTable::open(issuer, 42);
    for n in 0..size {
        let text = table.issue(Time(n)).to_text();
        let Some(ticket) = Ticket::parse(&text) else {
            continue;
        };
        let digest = Digest::of(&service, &request(n));
        table.redeem(&ticket, digest, Waiter::Call(CallId(n)));
        let answer = Answer::Answered(HttpResponse {
            status: 200,
            headers: Headers::new(),
            body: Bytes::from(vec![7; ANSWER_BYTES]),
        });
        table.finish(ticket.number, &answer);
    }
    let elapsed = started.elapsed();
    let memory = resident_bytes().saturating_sub(before);
    println!(
        "{size:7}  {:7.0}  {:.0}",
        elapsed.as_nanos() as f64 / size as f64,
        memory as f64 / size as f64
    );
    // Leaks the table so that the next size cannot reuse its memory, which would
    // distort the growth of resident memory.
    std::mem::forget(black_box(table));
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}

/// Prints the messages per request for requests sent to a VM other than the
/// issuer of their ticket, and for requests sent to the issuer.
fn measure_relays() {
    let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
    let mut fleet = Fleet::open(&cfg, 2, 1);
    fleet.run_for(Millis::from_secs(10));
    let idle = message_totals(&mut fleet, |_, _| {});
    let relayed = message_totals(&mut fleet, |fleet, n| send_request(fleet, n, 1));
    let direct = message_totals(&mut fleet, |fleet, n| send_request(fleet, n, 0));
    for (name, (messages, bytes)) in [("relayed", relayed), ("direct", direct)] {
        println!(
            "{name}: {:.2} messages and {:.0} bytes a request",
            (messages as f64 - idle.0 as f64) / REQUESTS as f64,
            (bytes as f64 - idle.1 as f64) / REQUESTS as f64
        );
    }
}

/// Runs `step` [`REQUESTS`] times and returns the messages and bytes sent
/// between VMs meanwhile.
fn message_totals(fleet: &mut Fleet, mut step: impl FnMut(&mut Fleet, u64)) -> (u64, u64) {
    let sum = |fleet: &Fleet| {
        let nodes = fleet.nodes.iter();
        nodes.fold((0, 0), |(messages, bytes), n| {
            (messages + n.control_messages, bytes + n.control_bytes)
        })
    };
    let before = sum(fleet);
    for n in 0..REQUESTS {
        step(fleet, n);
        fleet.run_for(Millis(100));
    }
    let after = sum(fleet);
    (after.0 - before.0, after.1 - before.1)
}

/// Gets a ticket from one VM and sends the request with it to the VM that is
/// `offset` places further on.
fn send_request(fleet: &mut Fleet, n: u64, offset: usize) {
    let vms = fleet.nodes.len();
    let issuer = n as usize % vms;
    let mut call = Call {
        id: CallId(fleet.answers.len() as u64),
        service: ServiceId::new("fitting-svc"),
        request: request(n),
        ticket: None,
        deadline: fleet.now + Millis::from_secs(5),
    };
    fleet.call(issuer, call.clone());
    if let Some(Answer::TicketNeeded { ticket }) = fleet.answers.last().map(|a| &a.answer) {
        call.ticket = Some(ticket.clone());
        call.id = CallId(fleet.answers.len() as u64);
        fleet.call((issuer + offset) % vms, call);
    }
}
