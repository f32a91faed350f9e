//! Simulated backend server with a concurrency limit, deadlines and a record of
//! its runs.

use std::{
    collections::HashSet,
    net::SocketAddr, //
};

use bytes::Bytes;
use dragonflytrack::{
    core::{
        configuration::Backend,
        names::BackendId,
        request::{
            Attempt,
            AttemptOutcome,
            Header,
            HttpResponse,
            NotRunReason,
            RUN_HEADER,
            UnknownReason, //
        },
    },
    kernel::clock::{
        Millis,
        Time,
        WallTime, //
    },
};

/// Record of one run of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Start time.
    pub at: Time,
    /// Method and path, separated by a space.
    pub request: String,
    /// Request body.
    pub body: Bytes,
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub struct FakeBackend {
    /// Name in the configuration.
    pub name: BackendId,
    /// Destination address of flows.
    pub packets: SocketAddr,
    /// HTTP address for requests.
    pub requests: SocketAddr,
    /// Whether its process is up. A dead server refuses connections.
    pub alive: bool,
    /// Whether it runs requests without answering.
    pub unresponsive: bool,
    /// Run number of its process, which its answers carry in [`RUN_HEADER`].
    pub process_run: u64,
    /// Concurrency limit above which it sheds requests.
    pub max_concurrent: u32,
    /// Time that a request takes to run.
    pub service_time: Millis,
    /// Number of requests running.
    pub running: u32,
    /// Number of requests received, refused ones included.
    pub offered: u64,
    /// Peak number of concurrent requests, shed ones included.
    pub peak_offered: u32,
    /// All runs in order of start.
    pub runs: Vec<Run>,
    /// Callers' addresses of the flows opened at this server.
    pub flows: HashSet<SocketAddr>,
    /// Number of packets of flows that were not opened at this server.
    pub unknown_flow_packets: u64,
}

/// How a backend server responds to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// Reports this outcome at once, without running the request.
    Immediate(AttemptOutcome),
    /// Runs the request and reports the outcome after a delay.
    Delayed(Millis, AttemptOutcome),
}

impl FakeBackend {
    /// Handles a request.
    pub fn on_request(&mut self, now: Time, wall: WallTime, attempt: &Attempt) -> Reaction {
        self.offered += 1;
        if !self.alive {
            return Reaction::Immediate(AttemptOutcome::NotRun(NotRunReason::NotConnected));
        }
        if wall > attempt.deadline {
            return Reaction::Immediate(AttemptOutcome::NotRun(NotRunReason::DeadlinePassed));
        }
        self.peak_offered = self.peak_offered.max(self.running + 1);
        if self.running >= self.max_concurrent {
            return Reaction::Immediate(AttemptOutcome::NotRun(NotRunReason::Shed));
        }
        self.running += 1;
        self.runs.push(Run {
            at: now,
            request: format!("{} {}", attempt.request.method, attempt.request.path),
            body: attempt.request.body.clone(),
        });
        let run = Header {
            name: RUN_HEADER.to_owned(),
            value: Bytes::from(self.process_run.to_string()),
        };
        let response = HttpResponse {
            status: 200,
            headers: vec![run],
            body: attempt.request.body.clone(),
        };
        Reaction::Delayed(self.service_time, AttemptOutcome::Answered(response))
    }

    /// Ends one run. Returns the outcome that the sender sees, or `None` if no
    /// answer is sent.
    pub fn finish(&mut self, outcome: AttemptOutcome) -> Option<AttemptOutcome> {
        self.running = self.running.saturating_sub(1);
        if self.unresponsive {
            return None;
        }
        if !self.alive {
            return Some(AttemptOutcome::Unknown(UnknownReason::ConnectionLost));
        }
        Some(outcome)
    }

    /// Creates a running backend server that is past its cold start, limited to
    /// the configured slots.
    pub fn warm(backend: &Backend) -> FakeBackend {
        const SERVICE_TIME: Millis = Millis(50);
        FakeBackend {
            name: backend.name.clone(),
            packets: backend.packets,
            requests: backend.requests,
            alive: true,
            unresponsive: false,
            process_run: 1,
            max_concurrent: backend.slots,
            service_time: SERVICE_TIME,
            running: 0,
            offered: 0,
            peak_offered: 0,
            runs: Vec::new(),
            flows: HashSet::new(),
            unknown_flow_packets: 0,
        }
    }

    /// Handles a packet from the caller at `source`. Returns whether the flow was
    /// opened at this server.
    pub fn on_packet(&mut self, source: SocketAddr, opens: bool) -> bool {
        if opens {
            self.flows.insert(source);
        }
        let known = self.flows.contains(&source);
        if !known {
            self.unknown_flow_packets += 1;
        }
        known
    }
}
