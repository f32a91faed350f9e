//! Ticket guarantees: at most one run per ticket, consistent answers to retries,
//! handover and expiry.

use bytes::Bytes;
use dragonflytrack::{
    core::{
        Counter,
        Event,
        configuration::{
            Configuration,
            DataCentreState, //
        },
        intent::CONFIGURATION_KEY,
        names::{
            Generation,
            Incarnation,
            ServiceId,
            VmId, //
        },
        notice::Notice,
        request::{
            Answer,
            Call,
            CallId,
            Digest,
            Headers,
            HttpRequest,
            Issuer,
            NotRunReason,
            OUTCOME_RETENTION,
            Redemption,
            TICKET_LIFETIME,
            TICKETS_PATH,
            Ticket,
            TicketTable,
            UnknownReason,
            Waiter, //
        }, //
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
use proptest::{
    prelude::*,
    test_runner::{
        RngAlgorithm,
        TestRng,
        TestRunner, //
    },
};

const SERVICE: &str = "fitting-svc";

fn cfg() -> Configuration {
    sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES)
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::open(&cfg(), 2, 1);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

fn request(method: &str, body: &str) -> HttpRequest {
    HttpRequest {
        method: method.to_owned(),
        path: "/hold".to_owned(),
        headers: Headers::new(),
        body: Bytes::from(body.to_owned()),
    }
}

/// Sends a POST request whose caller waits for `timeout`.
fn send(fleet: &mut Fleet, vm: usize, id: u64, ticket: Option<&str>, timeout: Millis) {
    let call = Call {
        id: CallId(id),
        service: ServiceId::new(SERVICE),
        request: request("POST", "dress 7"),
        ticket: ticket.map(str::to_owned),
        deadline: fleet.now + timeout,
    };
    fleet.call(vm, call);
}

/// Returns the final answer to call `id` and its time.
fn final_answer(fleet: &Fleet, id: u64) -> Option<(Time, Answer)> {
    let mut found = fleet.answers.iter().filter(|a| a.call == CallId(id));
    let first = found.next()?;
    assert_eq!(found.next(), None, "call {id} was answered twice");
    Some((first.at, first.answer.clone()))
}

/// Obtains a ticket issued by the VM `vm`.
fn ticket(fleet: &mut Fleet, vm: usize) -> String {
    const CALL: u64 = 1_000_000;
    let id = CALL + fleet.answers.len() as u64;
    send(fleet, vm, id, None, Millis::from_secs(1));
    match final_answer(fleet, id) {
        Some((_, Answer::TicketNeeded { ticket })) => ticket,
        other => panic!("expected a ticket, got {other:?}"),
    }
}

fn runs(fleet: &Fleet) -> usize {
    fleet.backends.iter().map(|b| b.runs.len()).sum()
}

fn count(fleet: &Fleet, vm: usize, counter: Counter) -> u64 {
    let engine = fleet.nodes[vm].engine.as_ref();
    engine.map_or(0, |e| e.counters().get(counter))
}

fn is_answered(answer: &Answer) -> bool {
    matches!(answer, Answer::Answered(r) if r.body == "dress 7")
}

const LONG_TIMEOUT: Millis = Millis::from_secs(30);

#[test]
fn repeats_at_every_vm_run_once_and_get_the_same_answer() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 2);
    for vm in 0..6 {
        send(&mut fleet, vm, vm as u64, Some(&text), LONG_TIMEOUT);
    }
    fleet.run_for(Millis::from_secs(1));
    for vm in 0..6 {
        send(&mut fleet, vm, 10 + vm as u64, Some(&text), LONG_TIMEOUT);
    }
    fleet.run_for(Millis::from_secs(1));
    assert_eq!(runs(&fleet), 1);
    for id in (0..6).chain(10..16) {
        assert!(final_answer(&fleet, id).is_some_and(|(_, a)| is_answered(&a)));
    }
}

#[test]
fn lost_messages_are_resent() {
    for (from, to) in [("vm5", "vm0"), ("vm0", "vm5")] {
        let mut fleet = fleet();
        let text = ticket(&mut fleet, 0);
        fleet.links.cut_one_way(from, to);
        send(&mut fleet, 5, 1, Some(&text), LONG_TIMEOUT);
        fleet.run_for(Millis(300));
        assert_eq!(final_answer(&fleet, 1), None);
        fleet.links.heal();
        fleet.run_for(Millis::from_secs(3));
        assert!(final_answer(&fleet, 1).is_some_and(|(_, a)| is_answered(&a)));
        assert_eq!(runs(&fleet), 1);
        assert!(count(&fleet, 5, Counter::RequestRelayRepeated) > 0);
    }
}

#[test]
fn a_killed_vm_leaves_its_tickets_unknown_at_once() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    fleet.kill(0);
    fleet.run_for(Millis(100));
    fleet.start(0);
    fleet.run_for(Millis::from_secs(1));
    let before = fleet.now;
    for vm in 0..6 {
        send(&mut fleet, vm, vm as u64, Some(&text), LONG_TIMEOUT);
    }
    fleet.run_for(Millis(100));
    for id in 0..6 {
        let gone = Answer::unknown(UnknownReason::VmGone);
        assert_eq!(final_answer(&fleet, id), Some((before, gone)), "call {id}");
    }
    assert_eq!(runs(&fleet), 0);
}

#[test]
fn a_waiting_caller_is_answered_when_the_vm_dies() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    for backend in &mut fleet.backends {
        backend.service_time = Millis::from_secs(20);
    }
    send(&mut fleet, 3, 1, Some(&text), LONG_TIMEOUT);
    fleet.run_for(Millis(500));
    fleet.kill(0);
    fleet.run_for(Millis::from_secs(8));
    let Some((at, answer)) = final_answer(&fleet, 1) else {
        panic!("the call got no final answer");
    };
    assert_eq!(answer, Answer::unknown(UnknownReason::VmGone));
    assert!(at < Time(12_000), "{at}");
}

#[test]
fn a_frozen_vm_runs_nothing_late() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    fleet.freeze(0, Millis::from_secs(20));
    send(&mut fleet, 3, 1, Some(&text), Millis::from_secs(2));
    fleet.run_for(Millis::from_secs(30));
    let Some((_, answer)) = final_answer(&fleet, 1) else {
        panic!("the call got no final answer");
    };
    assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
    assert_eq!(runs(&fleet), 0);
    // The late copies have not used the ticket.
    send(&mut fleet, 4, 2, Some(&text), LONG_TIMEOUT);
    fleet.run_for(Millis::from_secs(2));
    assert!(final_answer(&fleet, 2).is_some_and(|(_, a)| is_answered(&a)));
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn a_graceful_shutdown_hands_tickets_and_answers_over() {
    let mut fleet = fleet();
    let used = ticket(&mut fleet, 0);
    let running = ticket(&mut fleet, 0);
    let unused = ticket(&mut fleet, 0);
    send(&mut fleet, 3, 1, Some(&used), LONG_TIMEOUT);
    fleet.run_for(Millis(500));
    for backend in &mut fleet.backends {
        backend.service_time = Millis(1_500);
    }
    send(&mut fleet, 4, 2, Some(&running), LONG_TIMEOUT);
    fleet.run_for(Millis(100));
    fleet.stop(0);
    fleet.run_for(Millis::from_secs(3));
    let is_idle = fleet.nodes[0].engine.as_ref().is_some_and(|e| e.is_idle());
    assert!(is_idle, "the graceful shutdown did not end");
    assert!(final_answer(&fleet, 2).is_some_and(|(_, a)| is_answered(&a)));
    fleet.kill(0);
    fleet.run_for(Millis::from_secs(6));
    assert_eq!(runs(&fleet), 2);
    for (n, text) in [used, running].iter().enumerate() {
        for vm in 1..6 {
            let id = 10 * (n as u64 + 1) + vm as u64;
            send(&mut fleet, vm, id, Some(text), LONG_TIMEOUT);
            fleet.run_for(Millis(100));
            assert!(
                final_answer(&fleet, id).is_some_and(|(_, a)| is_answered(&a)),
                "call {id}"
            );
        }
    }
    assert_eq!(runs(&fleet), 2);
    for vm in 1..6 {
        send(&mut fleet, vm, 30 + vm as u64, Some(&unused), LONG_TIMEOUT);
    }
    fleet.run_for(Millis::from_secs(3));
    for id in 31..36 {
        assert!(
            final_answer(&fleet, id).is_some_and(|(_, a)| is_answered(&a)),
            "call {id}"
        );
    }
    assert_eq!(runs(&fleet), 3);
}

#[test]
fn a_second_graceful_shutdown_hands_on_what_was_taken_over() {
    let mut fleet = fleet();
    let used = ticket(&mut fleet, 0);
    let unused = ticket(&mut fleet, 0);
    send(&mut fleet, 3, 1, Some(&used), LONG_TIMEOUT);
    fleet.run_for(Millis(500));
    for vm in 0..5 {
        fleet.stop(vm);
        fleet.run_for(Millis::from_secs(3));
        fleet.kill(vm);
        fleet.run_for(Millis::from_secs(6));
    }
    send(&mut fleet, 5, 2, Some(&used), LONG_TIMEOUT);
    send(&mut fleet, 5, 3, Some(&unused), LONG_TIMEOUT);
    fleet.run_for(Millis::from_secs(2));
    assert!(final_answer(&fleet, 2).is_some_and(|(_, a)| is_answered(&a)));
    assert!(final_answer(&fleet, 3).is_some_and(|(_, a)| is_answered(&a)));
    assert_eq!(runs(&fleet), 2);
}

#[test]
fn a_vm_that_dies_in_its_graceful_shutdown_leaves_its_running_requests_unknown() {
    let mut fleet = fleet();
    let running = ticket(&mut fleet, 0);
    let unused = ticket(&mut fleet, 0);
    for backend in &mut fleet.backends {
        backend.service_time = Millis::from_secs(4);
    }
    send(&mut fleet, 3, 1, Some(&running), LONG_TIMEOUT);
    fleet.run_for(Millis(100));
    fleet.stop(0);
    fleet.run_for(Millis(500));
    fleet.kill(0);
    fleet.run_for(Millis::from_secs(8));
    let gone = Answer::unknown(UnknownReason::VmGone);
    assert_eq!(final_answer(&fleet, 1).map(|(_, a)| a), Some(gone.clone()));
    send(&mut fleet, 4, 2, Some(&running), LONG_TIMEOUT);
    send(&mut fleet, 4, 3, Some(&unused), LONG_TIMEOUT);
    fleet.run_for(Millis::from_secs(6));
    assert_eq!(final_answer(&fleet, 2).map(|(_, a)| a), Some(gone));
    assert!(final_answer(&fleet, 3).is_some_and(|(_, a)| is_answered(&a)));
    assert_eq!(runs(&fleet), 2);
}

#[test]
fn a_graceful_shutdown_ends_without_acknowledgements() {
    let mut fleet = fleet();
    ticket(&mut fleet, 0);
    for vm in 1..6 {
        fleet.links.cut("vm0", &format!("vm{vm}"));
    }
    fleet.stop(0);
    fleet.run_for(Millis::from_secs(4));
    let is_idle = fleet.nodes[0].engine.as_ref().is_some_and(|e| e.is_idle());
    assert!(is_idle, "the graceful shutdown did not end");
    let mut notices = fleet.notices.iter().filter(|n| n.vm == 0);
    assert!(notices.any(|n| n.notice == Notice::TicketsLost));
}

#[test]
fn a_stopping_vm_reports_not_run_only_without_a_ticket() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 3);
    fleet.stop(0);
    send(&mut fleet, 0, 1, None, LONG_TIMEOUT);
    send(&mut fleet, 0, 2, Some(&text), LONG_TIMEOUT);
    fleet.run_for(Millis(10));
    let stopping = Answer::not_run(NotRunReason::Stopping);
    assert_eq!(final_answer(&fleet, 1).map(|(_, a)| a), Some(stopping));
    let unknown = Answer::unknown(UnknownReason::Stopping);
    assert_eq!(final_answer(&fleet, 2).map(|(_, a)| a), Some(unknown));
}

#[test]
fn an_unanswered_request_is_not_retried() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    for backend in &mut fleet.backends {
        backend.unresponsive = true;
    }
    let sent = fleet.now;
    send(&mut fleet, 0, 1, Some(&text), Millis::from_secs(2));
    fleet.run_for(Millis::from_secs(5));
    let Some((at, answer)) = final_answer(&fleet, 1) else {
        panic!("the call got no final answer");
    };
    assert_eq!(answer, Answer::unknown(UnknownReason::Timeout));
    assert!(at.since(sent) <= Millis(2_010), "{at}");
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn a_data_centre_taken_out_ends_its_requests() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    for backend in &mut fleet.backends {
        backend.service_time = Millis::from_secs(8);
    }
    send(&mut fleet, 0, 1, Some(&text), LONG_TIMEOUT);
    fleet.run_for(Millis(100));
    let busy = fleet.backends.iter().position(|b| b.running > 0);
    let name = fleet.backends[busy.expect("the request runs")].name.clone();
    let mut cfg = cfg();
    cfg.generation = Generation(2);
    let out = cfg.backend(&name).expect("the backend server exists");
    let out = out.data_centre.clone();
    for data_centre in &mut cfg.data_centres {
        if data_centre.name == out {
            data_centre.state = DataCentreState::Out;
            data_centre.share = 0;
        }
    }
    let value = serde_json::to_value(&cfg).expect("a configuration is JSON");
    fleet.platform.overwrite(CONFIGURATION_KEY, value);
    fleet.answer_watches();
    fleet.run_for(Millis::from_secs(4));
    let gone = Answer::unknown(UnknownReason::DataCentreOut);
    assert_eq!(final_answer(&fleet, 1).map(|(_, a)| a), Some(gone));
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn a_caller_who_hangs_up_gets_the_kept_answer_later() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    send(&mut fleet, 3, 1, Some(&text), LONG_TIMEOUT);
    fleet.run_for(Millis(20));
    fleet.event(3, Event::CallerGone(CallId(1)));
    fleet.run_for(Millis::from_secs(1));
    assert_eq!(final_answer(&fleet, 1), None);
    send(&mut fleet, 4, 2, Some(&text), LONG_TIMEOUT);
    fleet.run_for(Millis(100));
    assert!(final_answer(&fleet, 2).is_some_and(|(_, a)| is_answered(&a)));
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn tickets_can_be_fetched_ahead() {
    let mut fleet = fleet();
    let mut get = request("GET", "");
    get.path = TICKETS_PATH.to_owned();
    let deadline = fleet.now + LONG_TIMEOUT;
    fleet.call(
        0,
        Call {
            id: CallId(1),
            service: ServiceId::new("any"),
            request: get,
            ticket: None,
            deadline,
        },
    );
    let Some((_, Answer::Answered(response))) = final_answer(&fleet, 1) else {
        panic!("the call returned no tickets");
    };
    let text = String::from_utf8(response.body.to_vec()).expect("tickets are text");
    for (n, ticket) in text.lines().enumerate() {
        send(&mut fleet, n % 6, 10 + n as u64, Some(ticket), LONG_TIMEOUT);
        fleet.run_for(Millis(100));
        let answer = final_answer(&fleet, 10 + n as u64);
        assert!(answer.is_some_and(|(_, a)| is_answered(&a)), "ticket {n}");
    }
    assert_eq!(runs(&fleet), 32);
}

#[test]
fn a_ticket_is_bound_to_one_request() {
    let mut fleet = fleet();
    let text = ticket(&mut fleet, 0);
    send(&mut fleet, 0, 1, Some(&text), LONG_TIMEOUT);
    let deadline = fleet.now + LONG_TIMEOUT;
    fleet.call(
        4,
        Call {
            id: CallId(2),
            service: ServiceId::new(SERVICE),
            request: request("POST", "another dress"),
            ticket: Some(text),
            deadline,
        },
    );
    fleet.run_for(Millis::from_secs(1));
    assert_eq!(
        final_answer(&fleet, 2).map(|(_, a)| a),
        Some(Answer::TicketMismatch)
    );
    assert_eq!(runs(&fleet), 1);
}

fn issuer() -> Issuer {
    Issuer {
        vm: VmId::new("vm0"),
        incarnation: Incarnation(7),
    }
}

fn waiter(n: u64) -> Waiter {
    Waiter::Call(CallId(n))
}

fn digest() -> Digest {
    Digest::of(&ServiceId::new(SERVICE), &request("POST", "dress 7"))
}

#[test]
fn an_old_ticket_never_runs() {
    let mut table = TicketTable::open(issuer(), 42);
    let unused = table.issue(Time(0));
    let used = table.issue(Time(0));
    assert_eq!(table.redeem(&used, digest(), waiter(1)), Redemption::Start);
    let done = Answer::not_run(NotRunReason::NoSlot);
    table.finish(used.number, &done);

    table.tick(Time(0) + TICKET_LIFETIME + Millis::from_secs(2));
    let expired = Redemption::Final(Answer::not_run(NotRunReason::TicketExpired));
    assert_eq!(table.redeem(&unused, digest(), waiter(2)), expired);
    let kept = Redemption::Final(done);
    assert_eq!(table.redeem(&used, digest(), waiter(3)), kept);

    table.tick(Time(0) + OUTCOME_RETENTION + Millis::from_secs(2));
    let forgotten = Redemption::Final(Answer::unknown(UnknownReason::TicketForgotten));
    assert_eq!(table.redeem(&unused, digest(), waiter(4)), forgotten);
    assert_eq!(table.redeem(&used, digest(), waiter(5)), forgotten);
    assert!(table.is_empty());
}

#[test]
fn damaged_and_forged_tickets_are_refused() {
    let mut runner = runner();
    let mut table = TicketTable::open(issuer(), 42);
    let text = table.issue(Time(0)).to_text();
    let parsed = Ticket::parse(&text).expect("the ticket is well formed");
    assert_eq!(
        table.redeem(&parsed, digest(), waiter(1)),
        Redemption::Start
    );
    let places = (0..text.len(), proptest::char::range('0', 'f'));
    let result = runner.run(&places, |(at, c)| {
        let mut damaged = text.clone();
        damaged.replace_range(at..=at, &c.to_string());
        if damaged == text {
            return Ok(());
        }
        if let Some(ticket) = Ticket::parse(&damaged) {
            let same_issuer = ticket.issuer == issuer();
            let presented = table.clone().redeem(&ticket, digest(), waiter(2));
            let invalid = Redemption::Final(Answer::TicketInvalid);
            prop_assert!(!same_issuer || presented == invalid, "{damaged}");
        }
        Ok(())
    });
    result.expect("a damaged ticket was accepted");
    let result = runner.run(&".{0,80}", |text| {
        let _ = Ticket::parse(&text);
        Ok(())
    });
    result.expect("parsing arbitrary text failed");
}

fn runner() -> TestRunner {
    let config = ProptestConfig {
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}
