//! Attempts at backend servers over real sockets.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::mpsc::{
        self,
        Receiver,
        Sender, //
    },
    thread,
    time::Duration, //
};

use actix::{
    Actor,
    Context,
    Handler,
    Recipient, //
};
use bytes::Bytes;
use dragonflytrack::{
    core::{
        Event,
        request::{
            Attempt,
            AttemptId,
            AttemptOutcome,
            Headers,
            HttpRequest,
            NotRunReason,
            UnknownReason, //
        },
    },
    edge::{
        backends::Backends,
        mailbox::{
            AttemptOut,
            BACKENDS,
            BACKENDS_CANCEL,
            CancelAttempt,
            ENGINE,
            EngineEvent, //
        },
    },
    kernel::{
        clock::{
            Clock,
            Millis, //
        },
        registry::Registry, //
    },
};

/// Stands in for the engine and records attempt outcomes.
struct Recorder(Sender<(AttemptId, AttemptOutcome)>);

impl Actor for Recorder {
    type Context = Context<Recorder>;
}

impl Handler<EngineEvent> for Recorder {
    type Result = ();

    fn handle(&mut self, msg: EngineEvent, _cx: &mut Context<Recorder>) {
        if let Event::AttemptDone(id, outcome) = msg.0 {
            let _ = self.0.send((id, outcome));
        }
    }
}

/// The actor under test with its clock, mailboxes and outcomes.
struct Harness {
    clock: Clock,
    attempts: Recipient<AttemptOut>,
    cancels: Recipient<CancelAttempt>,
    outcomes: Receiver<(AttemptId, AttemptOutcome)>,
}

impl Harness {
    fn open() -> Harness {
        let clock = Clock::start();
        let registry = Registry::default();
        let (tx, outcomes) = mpsc::channel();
        registry.register(ENGINE, Recorder(tx).start().recipient::<EngineEvent>());
        Backends::spawn(clock, &registry).unwrap();
        Harness {
            clock,
            attempts: registry.find(BACKENDS).unwrap(),
            cancels: registry.find(BACKENDS_CANCEL).unwrap(),
            outcomes,
        }
    }

    fn send(&self, id: u64, to: SocketAddr, method: &str, timeout: Millis) {
        self.attempts.do_send(AttemptOut(Attempt {
            id: AttemptId(id),
            to,
            request: HttpRequest {
                method: method.to_owned(),
                path: format!("/{id}"),
                headers: Headers::new(),
                body: Bytes::new(),
            },
            deadline: self.clock.wall() + timeout,
            timeout,
        }));
    }

    async fn outcome(&self) -> (u64, AttemptOutcome) {
        for _ in 0..500 {
            if let Ok((id, outcome)) = self.outcomes.try_recv() {
                return (id.0, outcome);
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no outcome arrived");
    }
}

/// Starts a backend server that runs `serve` on a thread per connection.
fn backend(serve: impl Fn(usize, TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve(number, stream));
        }
    });
    address
}

/// Reads one request head. Returns its path, or `None` on a closed connection.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8(head).ok()?;
    text.split(' ').nth(1).map(str::to_owned)
}

fn answer(stream: &mut TcpStream, body: &str) {
    let len = body.len();
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{body}"
    );
}

fn body_of(outcome: &AttemptOutcome) -> &[u8] {
    match outcome {
        AttemptOutcome::Answered(response) => &response.body,
        other => panic!("not answered: {other:?}"),
    }
}

/// Answers each request with its path, and `/1` with a delay.
fn delay_path_1(_: usize, mut stream: TcpStream) {
    while let Some(path) = read_request(&mut stream) {
        if path == "/1" {
            thread::sleep(Duration::from_millis(300));
        }
        answer(&mut stream, &path);
    }
}

#[test]
fn a_late_answer_reaches_no_other_request() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let to = backend(delay_path_1);
        harness.send(0, to, "GET", Millis(2_000));
        assert_eq!(body_of(&harness.outcome().await.1), b"/0");
        harness.send(1, to, "GET", Millis(100));
        let timeout = AttemptOutcome::Unknown(UnknownReason::Timeout);
        assert_eq!(harness.outcome().await, (1, timeout));
        for id in 2..20 {
            harness.send(id, to, "GET", Millis(2_000));
            let (done, outcome) = harness.outcome().await;
            assert_eq!(done, id);
            assert_eq!(body_of(&outcome), format!("/{id}").as_bytes());
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn the_answer_to_a_cancelled_attempt_reaches_no_other_request() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let (closed_tx, closed_rx) = mpsc::channel();
        let to = backend(move |_, mut stream| {
            while let Some(path) = read_request(&mut stream) {
                if path == "/1" {
                    let _ = closed_tx.send(read_request(&mut stream).is_none());
                }
                answer(&mut stream, &path);
            }
        });
        harness.send(0, to, "GET", Millis(2_000));
        assert_eq!(body_of(&harness.outcome().await.1), b"/0");
        harness.send(1, to, "GET", Millis(2_000));
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        harness.cancels.do_send(CancelAttempt(AttemptId(1)));
        for id in 2..10 {
            harness.send(id, to, "GET", Millis(2_000));
            let (done, outcome) = harness.outcome().await;
            assert_eq!(done, id);
            assert_eq!(body_of(&outcome), format!("/{id}").as_bytes());
        }
        // Cancellation closes the connection to the backend server.
        assert_eq!(closed_rx.recv_timeout(Duration::from_secs(2)), Ok(true));
    });
}

#[test]
fn an_unsolicited_second_answer_reaches_no_other_request() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let to = backend(|_, mut stream| {
            while let Some(path) = read_request(&mut stream) {
                answer(&mut stream, &path);
                if path == "/1" {
                    answer(&mut stream, "unasked");
                }
            }
        });
        for id in 1..10 {
            harness.send(id, to, "GET", Millis(2_000));
            let (_, outcome) = harness.outcome().await;
            assert_eq!(body_of(&outcome), format!("/{id}").as_bytes());
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn a_connection_that_closes_without_an_answer_leaves_the_outcome_unknown() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let to = backend(|_, mut stream| {
            read_request(&mut stream);
        });
        harness.send(1, to, "POST", Millis(2_000));
        let lost = AttemptOutcome::Unknown(UnknownReason::ConnectionLost);
        assert_eq!(harness.outcome().await, (1, lost));
    });
}

#[test]
fn a_truncated_answer_leaves_the_outcome_unknown() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let to = backend(|_, mut stream| {
            read_request(&mut stream);
            let _ = write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
        });
        harness.send(1, to, "POST", Millis(2_000));
        let lost = AttemptOutcome::Unknown(UnknownReason::ConnectionLost);
        assert_eq!(harness.outcome().await, (1, lost));
    });
}

#[test]
fn a_truncated_chunked_answer_leaves_the_outcome_unknown() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let to = backend(|_, mut stream| {
            read_request(&mut stream);
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = write!(stream, "{head}4\r\nhalf\r\n");
        });
        harness.send(1, to, "POST", Millis(2_000));
        let lost = AttemptOutcome::Unknown(UnknownReason::ConnectionLost);
        assert_eq!(harness.outcome().await, (1, lost));
    });
}

#[test]
fn a_refused_connection_means_not_run() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let to = listener.local_addr().unwrap();
        drop(listener);
        harness.send(1, to, "POST", Millis(2_000));
        let refused = AttemptOutcome::NotRun(NotRunReason::NotConnected);
        assert_eq!(harness.outcome().await, (1, refused));
    });
}

#[test]
fn an_attempt_past_its_deadline_is_not_sent() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let (seen_tx, seen_rx) = mpsc::channel();
        let to = backend(move |_, mut stream| {
            let _ = seen_tx.send(read_request(&mut stream));
        });
        harness.send(1, to, "POST", Millis(0));
        // The deadline is the current millisecond, which passes while the message is queued.
        thread::sleep(Duration::from_millis(5));
        let late = AttemptOutcome::NotRun(NotRunReason::DeadlinePassed);
        assert_eq!(harness.outcome().await, (1, late));
        assert!(seen_rx.try_recv().is_err());
    });
}

#[test]
fn redirects_and_repeated_headers_are_forwarded() {
    actix::System::new().block_on(async {
        let harness = Harness::open();
        let to = backend(|_, mut stream| {
            while read_request(&mut stream).is_some() {
                let _ = write!(
                    stream,
                    "HTTP/1.1 307 Moved\r\nlocation: /other\r\nset-cookie: a=1\r\n\
                     set-cookie: b=2\r\ncontent-length: 2\r\n\r\nok"
                );
            }
        });
        harness.send(1, to, "POST", Millis(2_000));
        let (_, AttemptOutcome::Answered(response)) = harness.outcome().await else {
            panic!("not answered");
        };
        assert_eq!(response.status, 307);
        let cookies = response.headers.iter().filter(|h| h.name == "set-cookie");
        let cookies: Vec<&[u8]> = cookies.map(|h| h.value.as_ref()).collect();
        assert_eq!(cookies, [b"a=1", b"b=2"]);
    });
}
