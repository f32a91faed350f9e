//! HTTP requests of emulated callers.

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

/// Carries the ticket of a request that is not idempotent.
const TICKET_HEADER: &str = "x-ticket";

/// Tells whether a refused request may have run: `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "x-outcome";

/// Carries the caller's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The timeout that the caller sends with each attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after which a connection without a response counts as lost.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a refused request is retried.
const RETRY_PERIOD: Duration = Duration::from_secs(15);

/// The delay before a retry after a connection error.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// How often a request that is not idempotent and has an unknown outcome is sent
/// with its ticket.
const UNKNOWN_ATTEMPTS: u32 = 3;

/// The delay before a retry after an unknown outcome.
const UNKNOWN_INTERVAL: Duration = Duration::from_millis(300);

/// The outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum RequestOutcome {
    /// It was answered after this time.
    Answered(Duration),
    /// It was refused until [`RETRY_PERIOD`] ended.
    Refused,
    /// Its outcome is unknown.
    Unknown,
    /// It got a wrong answer, described by this text.
    Wrong(String),
}

/// A request with its refusals and outcome.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The caller's identifier.
    pub(super) id: String,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The reasons of its refusals and connection errors.
    pub(super) refusals: Vec<String>,
    /// The outcome. While the request runs, the outcome it has if no further
    /// answer comes.
    pub(super) outcome: RequestOutcome,
}

/// The reply to one attempt.
enum Reply {
    Receipt(Receipt),
    Ticket(String),
    NotRun { reason: String, wait: Duration },
    Unknown(String),
    NotConnected,
    ConnectionLost,
    Invalid(String),
}

/// The next step after an attempt.
enum NextStep {
    Finish(RequestOutcome),
    Retry(Duration),
}

struct Exchange<'a> {
    load: &'a Load,
    client: &'a Client,
    service: &'a str,
    request: Request,
    ticket: Option<String>,
    /// The number of answers that called the outcome unknown.
    unknown_count: u32,
    rng: SmallRng,
    started: Instant,
}

/// Sends the requests of the load at its rate and returns them with their
/// outcomes.
pub(super) async fn run(load: &Load) -> Vec<Request> {
    let client = Client::builder().disable_timeout().finish();
    let mut requests = Vec::new();
    let total = load.duration.as_secs_f64() * f64::from(load.rate);
    for service in &load.cfg.services {
        for number in 0..total as u32 {
            let wait = Duration::from_secs(1).mul_f64(f64::from(number) / f64::from(load.rate));
            requests.push(send_request(load, &client, &service.name, number, wait));
        }
    }
    join_all(requests).await
}

async fn send_request(
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
            outcome: RequestOutcome::Refused,
        },
        ticket: None,
        unknown_count: 0,
        rng: SmallRng::seed_from_u64(u64::from(load.host) << 32 | u64::from(number)),
        started: Instant::now(),
    };
    exchange.run().await
}

impl Exchange<'_> {
    async fn run(mut self) -> Request {
        while self.started.elapsed() < RETRY_PERIOD {
            let reply = self.attempt().await;
            match self.decide(reply) {
                NextStep::Finish(outcome) => {
                    self.request.outcome = outcome;
                    break;
                }
                NextStep::Retry(wait) => sleep(wait).await,
            }
        }
        self.request
    }

    fn decide(&mut self, reply: Reply) -> NextStep {
        match reply {
            Reply::Receipt(receipt) => NextStep::Finish(self.check(&receipt)),
            Reply::Ticket(ticket) => {
                self.ticket = Some(ticket);
                NextStep::Retry(Duration::ZERO)
            }
            Reply::NotRun { reason, wait } => {
                // The request did not run, so it is safe to get a new ticket.
                self.ticket = None;
                self.request.outcome = RequestOutcome::Refused;
                self.request.refusals.push(reason);
                NextStep::Retry(wait)
            }
            Reply::NotConnected => {
                self.request.refusals.push("not connected".to_owned());
                NextStep::Retry(RECONNECT_INTERVAL)
            }
            // A retry is safe: the request is idempotent, or its ticket lets it
            // run only once, or it had no ticket and did not run.
            Reply::ConnectionLost => {
                if self.request.idempotent || self.ticket.is_some() {
                    self.request.outcome = RequestOutcome::Unknown;
                }
                self.request.refusals.push("connection lost".to_owned());
                NextStep::Retry(RECONNECT_INTERVAL)
            }
            Reply::Unknown(reason) => {
                self.request.outcome = RequestOutcome::Unknown;
                self.request.refusals.push(reason);
                self.unknown_count += 1;
                // A ticket lets the request run once, however often it is sent.
                if self.request.idempotent || self.unknown_count < UNKNOWN_ATTEMPTS {
                    NextStep::Retry(UNKNOWN_INTERVAL)
                } else {
                    NextStep::Finish(RequestOutcome::Unknown)
                }
            }
            Reply::Invalid(reason) => NextStep::Finish(RequestOutcome::Wrong(reason)),
        }
    }

    fn check(&self, receipt: &Receipt) -> RequestOutcome {
        let is_expected = receipt.id == self.request.id
            && receipt.body == request_body(&self.request.id)
            && receipt.service == self.service;
        if is_expected {
            RequestOutcome::Answered(self.started.elapsed())
        } else {
            RequestOutcome::Wrong(format!("got the answer {receipt:?}"))
        }
    }

    async fn attempt(&mut self) -> Reply {
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
            .insert_header((TIMEOUT_HEADER, ATTEMPT_TIMEOUT.as_millis().to_string()));
        if let Some(ticket) = &self.ticket {
            req = req.insert_header((TICKET_HEADER, ticket.as_str()));
        }
        let exchange = async {
            match req.send_body(request_body(&self.request.id)).await {
                Ok(response) => read_reply(response).await,
                Err(SendRequestError::Connect(_)) => Reply::NotConnected,
                Err(_) => Reply::ConnectionLost,
            }
        };
        timeout(EXCHANGE_TIMEOUT, exchange)
            .await
            .unwrap_or(Reply::ConnectionLost)
    }
}

fn request_body(id: &str) -> String {
    format!("hold for {id}")
}

async fn read_reply<S>(mut response: awc::ClientResponse<S>) -> Reply
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
    let reason = || String::from_utf8_lossy(&body).trim().to_owned();
    match (response.status(), ticket, outcome.as_deref()) {
        (StatusCode::OK, _, _) => match serde_json::from_slice(&body) {
            Ok(receipt) => Reply::Receipt(receipt),
            Err(e) => Reply::Invalid(format!("answer cannot be read: {e}")),
        },
        (StatusCode::PRECONDITION_REQUIRED, Some(ticket), _) => Reply::Ticket(ticket),
        (_, _, Some("not-run")) => Reply::NotRun {
            reason: reason(),
            wait: Duration::from_secs(wait.unwrap_or(1)),
        },
        (_, _, Some("unknown")) => Reply::Unknown(reason()),
        (status, _, _) => Reply::Invalid(format!("answer has status {status}")),
    }
}
