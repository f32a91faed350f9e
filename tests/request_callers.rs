//! Callers' HTTP requests over real sockets.

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
            Answer,
            Header,
            HttpResponse,
            NotRunReason,
            UnknownReason, //
        },
    },
    edge::{
        callers::Callers,
        mailbox::{
            AnswerOut,
            CALLERS,
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

/// Stands in for the engine and answers by request path.
struct Engine {
    registry: Registry,
    events: Sender<Event>,
}

impl Actor for Engine {
    type Context = Context<Engine>;
}

impl Handler<EngineEvent> for Engine {
    type Result = ();

    fn handle(&mut self, msg: EngineEvent, _cx: &mut Context<Engine>) {
        if let Event::Call(call) = &msg.0 {
            let callers: Recipient<AnswerOut> = self.registry.find(CALLERS).unwrap();
            if let Some(answer) = answer(&call.request.path, &call.request.body) {
                let call = call.id;
                callers.do_send(AnswerOut { call, answer });
            }
        }
        let _ = self.events.send(msg.0);
    }
}

fn answer(path: &str, body: &Bytes) -> Option<Answer> {
    match path {
        "/echo" => Some(Answer::Answered(HttpResponse {
            status: 201,
            headers: vec![header("set-cookie", "a=1"), header("set-cookie", "b=2")],
            body: body.clone(),
        })),
        "/refuse" => Some(Answer::NotRun {
            reason: NotRunReason::NoSlot,
            retry_after: Millis(1_200),
        }),
        "/stop" => Some(Answer::not_run(NotRunReason::Stopping)),
        "/unknown" => Some(Answer::unknown(UnknownReason::Timeout)),
        "/ticket" => Some(Answer::TicketNeeded {
            ticket: "abc".to_owned(),
        }),
        _ => None,
    }
}

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.to_owned(),
        value: Bytes::from(value.to_owned()),
    }
}

/// Starts the callers' HTTP server on its own thread.
fn serve() -> (SocketAddr, Receiver<Event>) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        actix::System::new().block_on(async {
            let registry = Registry::default();
            let engine = Engine {
                registry: registry.clone(),
                events: tx,
            };
            registry.register(ENGINE, engine.start().recipient::<EngineEvent>());
            let _server = Callers::listen(socket, Clock::start(), &registry).unwrap();
            std::future::pending::<()>().await;
        });
    });
    (address, rx)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

/// Sends a request and returns the head and body of the response.
fn exchange(stream: &mut TcpStream, request: &str) -> (String, String) {
    stream.write_all(request.as_bytes()).unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "the connection closed");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let len = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |len| len.parse().unwrap());
    let mut body = vec![0; len];
    stream.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {len}\r\n\r\n{body}")
}

const HOST: &str = "host: fitting-svc\r\n";

#[test]
fn answers_are_whole_and_the_connection_is_kept() {
    let (address, _events) = serve();
    let mut stream = connect(address);
    for body in ["first", "second", ""] {
        let (head, got) = exchange(&mut stream, &request("POST", "/echo", HOST, body));
        assert!(head.starts_with("http/1.1 201"), "{head}");
        assert!(head.contains("set-cookie: a=1\r\n"), "{head}");
        assert!(head.contains("set-cookie: b=2\r\n"), "{head}");
        assert_eq!(got, body);
    }
}

#[test]
fn not_run_and_unknown_outcomes_are_distinct() {
    let (address, _events) = serve();
    let mut stream = connect(address);
    let (head, _) = exchange(&mut stream, &request("GET", "/refuse", HOST, ""));
    assert!(head.starts_with("http/1.1 503"), "{head}");
    assert!(head.contains("x-outcome: not-run"), "{head}");
    assert!(head.contains("retry-after: 2\r\n"), "{head}");
    assert!(head.contains("x-retry-after-ms: 1200\r\n"), "{head}");
    let (head, _) = exchange(&mut stream, &request("GET", "/unknown", HOST, ""));
    assert!(head.starts_with("http/1.1 504"), "{head}");
    assert!(head.contains("x-outcome: unknown"), "{head}");
    let (head, _) = exchange(&mut stream, &request("POST", "/ticket", HOST, ""));
    assert!(head.starts_with("http/1.1 428"), "{head}");
    assert!(head.contains("x-ticket: abc"), "{head}");
    let (head, _) = exchange(&mut stream, &request("GET", "/stop", HOST, ""));
    assert!(head.contains("connection: close"), "{head}");
}

#[test]
fn invalid_headers_are_rejected_with_a_remedy() {
    let (address, events) = serve();
    for (headers, remedy) in [
        ("host: a\r\nx-timeout-ms: soon\r\n", "x-timeout-ms"),
        ("host: a\r\nx-timeout-ms: 0\r\n", "x-timeout-ms"),
        (
            "host: a\r\nx-timeout-ms: 99999999999999999999\r\n",
            "x-timeout-ms",
        ),
        ("host: :80\r\n", "Host header"),
        ("host: a\r\nx-ticket: \u{e9}\r\n", "x-ticket"),
    ] {
        let mut stream = connect(address);
        let (head, body) = exchange(&mut stream, &request("GET", "/echo", headers, ""));
        assert!(head.starts_with("http/1.1 400"), "{headers}: {head}");
        assert!(body.contains(remedy), "{headers}: {body}");
    }
    // The HTTP library itself rejects a request without a Host header.
    let (head, _) = exchange(&mut connect(address), &request("GET", "/echo", "", ""));
    assert!(head.starts_with("http/1.1 400"), "{head}");
    assert!(events.try_recv().is_err());
}

#[test]
fn an_oversized_body_is_rejected() {
    let (address, events) = serve();
    let mut stream = connect(address);
    let headers = format!("{HOST}content-length: 9000000\r\n");
    let head = format!("POST /echo HTTP/1.1\r\n{headers}\r\n");
    let (head, _) = exchange(&mut stream, &head);
    assert!(head.starts_with("http/1.1 413"), "{head}");
    assert!(events.try_recv().is_err());
}

#[test]
fn a_disconnected_caller_is_reported() {
    let (address, events) = serve();
    let mut stream = connect(address);
    let silent = request("GET", "/silent", HOST, "");
    stream.write_all(silent.as_bytes()).unwrap();
    let wait = Duration::from_secs(5);
    let Ok(Event::Call(call)) = events.recv_timeout(wait) else {
        panic!("the request did not arrive");
    };
    drop(stream);
    let Ok(Event::CallerGone(gone)) = events.recv_timeout(wait) else {
        panic!("the disconnect was not reported");
    };
    assert_eq!(gone, call.id);
}

#[test]
fn own_and_hop_by_hop_headers_are_not_forwarded() {
    let (address, events) = serve();
    let mut stream = connect(address);
    let headers = format!(
        "{HOST}x-deadline-ms: 1\r\nx-ticket: abc\r\nx-timeout-ms: 500\r\n\
         connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\n"
    );
    exchange(&mut stream, &request("GET", "/echo", &headers, ""));
    let Ok(Event::Call(call)) = events.recv_timeout(Duration::from_secs(5)) else {
        panic!("the request did not arrive");
    };
    let names: Vec<&str> = call.request.headers.iter().map(|h| &*h.name).collect();
    assert_eq!(names, ["x-kept"]);
    assert_eq!(call.ticket.as_deref(), Some("abc"));
}
