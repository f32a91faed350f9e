//! Requests that callers send.

use std::time::{
    Duration,
    Instant, //
};

use actix_rt::time::{
    sleep,
    timeout, //
};
use awc::{
    Client,
    error::SendRequestError,
    http::{
        Method,
        StatusCode,
        header, //
    },
};
use futures_util::future::join_all;
use rand::{
    SeedableRng,
    rngs::SmallRng,
    seq::IndexedRandom, //
};

use super::Load;
use crate::receipt::{
    REQUEST_ID_HEADER,
    Receipt, //
};

/// Carries a ticket for a request that is not idempotent.
const TICKET_HEADER: &str = "x-ticket";

/// Says of a refused request whether it ran: `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "x-outcome";

/// Carries a caller's deadline, in milliseconds from now.
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The deadline of each try.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller waits for a connection that does not close.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a caller goes on repeating a refused request.
const PATIENCE: Duration = Duration::from_secs(15);

/// How long a caller waits before it turns to another entry VM.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// How often a caller asks for an unknown outcome, by repeating the request
/// with its ticket.
const UNKNOWN_TRIES: u32 = 3;

/// How long a caller waits between these.
const UNKNOWN_INTERVAL: Duration = Duration::from_millis(300);

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum RequestEnd {
    /// Its answer came after this time.
    Answered(Duration),
    /// It was given up after refusals.
    Refused,
    /// Its outcome is unknown.
    Unknown,
    /// Another answer came.
    Wrong(String),
}

/// A request with what became of it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The caller's identifier.
    pub(super) id: String,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The refusals that it got.
    pub(super) refusals: Vec<String>,
    /// How it ended. Until then, how it would end without another answer.
    pub(super) end: RequestEnd,
}

/// What came back for one try.
enum Reply {
    Receipt(Receipt),
    Ticket(String),
    NotRun { why: String, wait: Duration },
    Unknown(String),
    NotConnected,
    ConnectionLost,
    Strange(String),
}

/// What to do after a try.
enum Next {
    End(RequestEnd),
    Repeat(Duration),
}

struct Exchange<'a> {
    load: &'a Load,
    client: &'a Client,
    service: &'a str,
    request: Request,
    ticket: Option<String>,
    /// How many answers said that the outcome is unknown.
    unknown: u32,
    rng: SmallRng,
    started: Instant,
}

/// Sends the requests of the load at its rate and returns how each ended.
pub(super) async fn run(load: &Load) -> Vec<Request> {
    let client = Client::builder().disable_timeout().finish();
    let mut requests = Vec::new();
    let total = load.duration.as_secs_f64() * f64::from(load.rate);
    for service in &load.cfg.services {
        for number in 0..total as u32 {
            let wait = Duration::from_secs(1).mul_f64(f64::from(number) / f64::from(load.rate));
            requests.push(one_request(load, &client, &service.name, number, wait));
        }
    }
    join_all(requests).await
}

async fn one_request(
    load: &Load,
    client: &Client,
    service: &str,
    number: u32,
    wait: Duration,
) -> Request {
    sleep(wait).await;
    let exchange = Exchange {
        load,
        client,
        service,
        request: Request {
            id: format!("{}-{service}-{number}", load.host),
            idempotent: number.is_multiple_of(2),
            refusals: Vec::new(),
            end: RequestEnd::Refused,
        },
        ticket: None,
        unknown: 0,
        rng: SmallRng::seed_from_u64(u64::from(load.host) << 32 | u64::from(number)),
        started: Instant::now(),
    };
    exchange.run().await
}

impl Exchange<'_> {
    async fn run(mut self) -> Request {
        while self.started.elapsed() < PATIENCE {
            let reply = self.one_try().await;
            match self.decide(reply) {
                Next::End(end) => {
                    self.request.end = end;
                    break;
                }
                Next::Repeat(wait) => sleep(wait).await,
            }
        }
        self.request
    }

    fn decide(&mut self, reply: Reply) -> Next {
        match reply {
            Reply::Receipt(receipt) => Next::End(self.check(&receipt)),
            Reply::Ticket(ticket) => {
                self.ticket = Some(ticket);
                Next::Repeat(Duration::ZERO)
            }
            Reply::NotRun { why, wait } => {
                // The request did not run, so that a new ticket is safe.
                self.ticket = None;
                self.request.end = RequestEnd::Refused;
                self.request.refusals.push(why);
                Next::Repeat(wait)
            }
            Reply::NotConnected => {
                self.request.refusals.push("not connected".to_owned());
                Next::Repeat(RECONNECT_INTERVAL)
            }
            // Either the request may run twice, or its ticket lets it run once,
            // or it had no ticket and so did not run.
            Reply::ConnectionLost => {
                if self.request.idempotent || self.ticket.is_some() {
                    self.request.end = RequestEnd::Unknown;
                }
                self.request.refusals.push("connection lost".to_owned());
                Next::Repeat(RECONNECT_INTERVAL)
            }
            Reply::Unknown(why) => {
                self.request.end = RequestEnd::Unknown;
                self.request.refusals.push(why);
                self.unknown += 1;
                // A ticket lets the request run once, however often it comes.
                if self.request.idempotent || self.unknown < UNKNOWN_TRIES {
                    Next::Repeat(UNKNOWN_INTERVAL)
                } else {
                    Next::End(RequestEnd::Unknown)
                }
            }
            Reply::Strange(why) => Next::End(RequestEnd::Wrong(why)),
        }
    }

    fn check(&self, receipt: &Receipt) -> RequestEnd {
        let right = receipt.id == self.request.id
            && receipt.body == body(&self.request.id)
            && receipt.service == self.service;
        if right {
            RequestEnd::Answered(self.started.elapsed())
        } else {
            RequestEnd::Wrong(format!("got the answer {receipt:?}"))
        }
    }

    async fn one_try(&mut self) -> Reply {
        let Some(vm) = self.load.vms.choose(&mut self.rng) else {
            return Reply::NotConnected;
        };
        let method = if self.request.idempotent {
            Method::GET
        } else {
            Method::POST
        };
        let mut req = self
            .client
            .request(method, format!("http://{vm}/bookings/{}", self.request.id))
            .insert_header((header::HOST, self.service))
            .insert_header((REQUEST_ID_HEADER, self.request.id.as_str()))
            .insert_header((TIMEOUT_HEADER, TRY_TIMEOUT.as_millis().to_string()));
        if let Some(ticket) = &self.ticket {
            req = req.insert_header((TICKET_HEADER, ticket.as_str()));
        }
        let exchange = async {
            match req.send_body(body(&self.request.id)).await {
                Ok(response) => read(response).await,
                Err(SendRequestError::Connect(_)) => Reply::NotConnected,
                Err(_) => Reply::ConnectionLost,
            }
        };
        timeout(EXCHANGE_TIMEOUT, exchange)
            .await
            .unwrap_or(Reply::ConnectionLost)
    }
}

fn body(id: &str) -> String {
    format!("hold for {id}")
}

async fn read<S>(mut response: awc::ClientResponse<S>) -> Reply
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let ticket = text(TICKET_HEADER);
    let outcome = text(OUTCOME_HEADER);
    let wait = text("retry-after").and_then(|t| t.parse().ok());
    let Ok(body) = response.body().await else {
        return Reply::ConnectionLost;
    };
    let why = || String::from_utf8_lossy(&body).trim().to_owned();
    match (response.status(), ticket, outcome.as_deref()) {
        (StatusCode::OK, _, _) => match serde_json::from_slice(&body) {
            Ok(receipt) => Reply::Receipt(receipt),
            Err(e) => Reply::Strange(format!("answer cannot be read: {e}")),
        },
        (StatusCode::PRECONDITION_REQUIRED, Some(ticket), _) => Reply::Ticket(ticket),
        (_, _, Some("not-run")) => Reply::NotRun {
            why: why(),
            wait: Duration::from_secs(wait.unwrap_or(1)),
        },
        (_, _, Some("unknown")) => Reply::Unknown(why()),
        (status, _, _) => Reply::Strange(format!("answer has status {status}")),
    }
}
