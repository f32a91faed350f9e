//! Admission, tickets, retries and final answers of requests.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use hashbrown::HashMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        action::Action,
        capacity::{
            Capacity,
            NoSlot,
            Slot,
            SlotReport,
            SlotResult, //
        },
        counter::Counter,
        cx::Cx,
        names::{
            ServiceId,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time,
        WallTime, //
    },
};

/// When a refused caller should come back if nothing better is known.
pub const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Identifies a caller's request within one run of the process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Identifies an attempt at a backend server within one run of the process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

/// One HTTP header.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// The headers of one message.
pub type Headers = Vec<Header>;

/// An HTTP request, whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Tells whether running the request twice has the effect of running it once.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            self.method.as_str(),
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        )
    }
}

/// An HTTP response, whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

/// A request that a caller has handed to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifies the request.
    pub id: CallId,
    /// The service that it is for.
    pub service: ServiceId,
    /// The request.
    pub request: HttpRequest,
    /// The ticket that the caller presented, as text.
    pub ticket: Option<String>,
    /// When the caller gives up.
    pub deadline: Time,
}

/// One try of a request at one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The backend server's address for requests.
    pub to: SocketAddr,
    /// The request.
    pub request: HttpRequest,
    /// The backend server must not start the request after this.
    pub deadline: WallTime,
    /// How long to wait for the answer.
    pub timeout: Millis,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The backend server answered.
    Answered(HttpResponse),
    /// The backend server surely did not run the request.
    NotRun(NotRunReason),
    /// Whether the request ran is not known.
    Unknown(UnknownReason),
}

/// Why a request surely did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// No connection to a backend server could be made.
    #[display("no connection to a backend server")]
    NotConnected,
    /// The backend server refused the request because of its load.
    #[display("the backend server is overloaded")]
    Shed,
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    DeadlinePassed,
    /// Every slot of the service is busy.
    #[display("every slot is busy")]
    NoSlot,
    /// No backend server of the service takes new work.
    #[display("no backend server takes new work")]
    NoBackend,
    /// No service has the name that the request gives.
    #[display("no service has this name; see the Host header")]
    NoService,
    /// This VM is stopping.
    #[display("this VM is stopping")]
    Stopping,
}

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The answer did not come in time.
    #[display("the answer did not come in time")]
    Timeout,
    /// The connection was lost after the request was sent.
    #[display("the connection was lost after the request was sent")]
    ConnectionLost,
    /// The VM that ran the request is gone.
    #[display("the VM that ran the request is gone")]
    VmGone,
}

/// The final answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The backend server's answer.
    Answered(HttpResponse),
    /// The request surely did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Millis,
    },
    /// Whether the request ran is not known.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
    /// The request is not idempotent and needs this ticket.
    TicketNeeded {
        /// The ticket, as text.
        ticket: String,
    },
    /// The ticket cannot be read.
    TicketInvalid,
}

/// A message about requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// A placeholder that is never sent.
    Nothing,
}

#[derive(Debug)]
struct Running {
    call: CallId,
    slot: Slot,
    started: Time,
}

/// The request state machine.
#[derive(Debug, Default)]
pub struct Requests {
    next_attempt: u64,
    running: HashMap<AttemptId, Running>,
    stopping: bool,
}

impl Requests {
    /// Starts with no requests.
    pub fn open() -> Requests {
        Requests::default()
    }

    /// Returns how many requests have no final answer yet.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, _cx: &mut Cx<'_>, _capacity: &mut Capacity) {}

    /// Takes in that slots may have become free.
    pub fn on_capacity(&mut self, _cx: &mut Cx<'_>, _capacity: &mut Capacity) {}

    /// Takes in a change of the view.
    pub fn on_view(&mut self, _cx: &mut Cx<'_>, _capacity: &mut Capacity) {}

    /// Refuses new requests from now on and hands over what others need.
    pub fn stop(&mut self, _cx: &mut Cx<'_>) {
        self.stopping = true;
    }

    /// Does what has become due.
    pub fn tick(&mut self, _cx: &mut Cx<'_>, _capacity: &mut Capacity) {}

    /// Takes in a message of another VM.
    pub fn on_message(
        &mut self,
        _cx: &mut Cx<'_>,
        _capacity: &mut Capacity,
        _from: &VmId,
        _msg: RequestMessage,
    ) {
    }

    /// Takes in a caller's request.
    pub fn on_call(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: Call) {
        if self.stopping {
            cx.count(Counter::RequestRefusedStopping);
            refuse(cx, call.id, NotRunReason::Stopping);
            return;
        }
        if cx.cfg.service(&call.service).is_none() {
            cx.count(Counter::RequestRefusedNoService);
            refuse(cx, call.id, NotRunReason::NoService);
            return;
        }
        match capacity.acquire(cx, &call.service, &[]) {
            Ok(slot) => self.start(cx, call, slot),
            Err(NoSlot::Busy | NoSlot::Asked) => {
                cx.count(Counter::RequestRefusedNoSlot);
                refuse(cx, call.id, NotRunReason::NoSlot);
            }
            Err(NoSlot::NoBackend) => {
                cx.count(Counter::RequestRefusedNoSlot);
                refuse(cx, call.id, NotRunReason::NoBackend);
            }
        }
    }

    /// Takes in that a caller no longer waits.
    pub fn on_gone(&mut self, _cx: &mut Cx<'_>, _capacity: &mut Capacity, _call: CallId) {}

    /// Takes in the end of an attempt.
    pub fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let (answer, result) = match outcome {
            AttemptOutcome::Answered(response) => {
                cx.count(Counter::RequestAnswered);
                (Answer::Answered(response), SlotResult::Answered)
            }
            AttemptOutcome::NotRun(reason) => {
                let retry_after = DEFAULT_RETRY_AFTER;
                (
                    Answer::NotRun {
                        reason,
                        retry_after,
                    },
                    SlotResult::Shed,
                )
            }
            AttemptOutcome::Unknown(reason) => {
                cx.count(Counter::RequestUnknown);
                (Answer::Unknown { reason }, SlotResult::Lost)
            }
        };
        let report = SlotReport {
            result,
            elapsed: cx.now.since(running.started),
            backend_run: None,
        };
        capacity.release(cx, &running.slot, report);
        cx.act(Action::Answer {
            call: running.call,
            answer,
        });
    }

    fn start(&mut self, cx: &mut Cx<'_>, call: Call, slot: Slot) {
        let Some(backend) = cx.cfg.backend(&slot.backend) else {
            refuse(cx, call.id, NotRunReason::NoBackend);
            return;
        };
        let timeout = call.deadline.since(cx.now);
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        cx.act(Action::Attempt(Attempt {
            id,
            to: backend.requests,
            request: call.request,
            deadline: (cx.wall + timeout).min(slot.until),
            timeout,
        }));
        self.running.insert(
            id,
            Running {
                call: call.id,
                slot,
                started: cx.now,
            },
        );
    }
}

fn refuse(cx: &mut Cx<'_>, call: CallId, reason: NotRunReason) {
    cx.act(Action::Answer {
        call,
        answer: Answer::NotRun {
            reason,
            retry_after: DEFAULT_RETRY_AFTER,
        },
    });
}
