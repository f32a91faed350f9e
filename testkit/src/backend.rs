//! A backend server: slots, cold start, deadlines and a record of its runs.

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

/// One run of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// When it began.
    pub at: Time,
    /// The method and path of the request.
    pub request: String,
    /// The body of the request.
    pub body: Bytes,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct FakeBackend {
    /// The name.
    pub name: BackendId,
    /// The address for packets.
    pub packets: SocketAddr,
    /// The address for requests.
    pub requests: SocketAddr,
    /// Whether it runs. A dead one refuses connections.
    pub alive: bool,
    /// Whether it runs requests without ever answering.
    pub unresponsive: bool,
    /// Counts the runs of its process. Its answers carry the number.
    pub process_run: u64,
    /// How many requests it bears at once now; more make it shed.
    pub max_concurrent: u32,
    /// How long a request takes.
    pub service_time: Millis,
    /// How many requests run now.
    pub running: u32,
    /// How many requests have been offered, refused ones included.
    pub offered: u64,
    /// The most requests that were ever offered at once.
    pub peak_offered: u32,
    /// All runs.
    pub runs: Vec<Run>,
    /// The callers' addresses of the flows that were opened here.
    pub flows: HashSet<SocketAddr>,
    /// How many packets came for a flow that was not opened here.
    pub unknown_flow_packets: u64,
}

/// What a backend server does with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// Answers at once.
    Immediate(AttemptOutcome),
    /// Runs the request and answers after a while.
    Delayed(Millis, AttemptOutcome),
}

impl FakeBackend {
    /// Takes in a request.
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

    /// Ends one run. Returns what its caller sees, if anything.
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

    /// Creates a backend server that is warm and runs.
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

    /// Takes in a packet of the caller at `source`. Returns whether the flow
    /// was opened here.
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
