//! Long-lived flows of emulated callers.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use actix_rt::{
    net::UdpSocket,
    time::{
        sleep,
        timeout, //
    },
};
use futures_util::future::{
    Either,
    join_all,
    select, //
};

use super::{
    Load,
    outages::Outages, //
};
use crate::packet::{
    self,
    Echo,
    Payload, //
};

/// The pause between the answer to a packet and the next packet of a flow.
const PACKET_INTERVAL: Duration = Duration::from_millis(200);

/// The time without an answer after which a packet is sent again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(300);

/// The time after which an unanswered packet is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The outcome of a flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum FlowOutcome {
    /// All packets reached the same backend server.
    Kept,
    /// It lost its backend server, for this reason.
    Broken(String),
    /// It failed after operators took its data centre out of service.
    GivenUp,
    /// Its first packet was refused or not answered.
    Refused,
}

/// The reply to a packet.
enum Reply {
    Echo(Echo),
    Refused,
    Nothing,
}

struct Flow<'a> {
    load: &'a Load,
    outages: &'a Outages,
    number: u16,
    source: SocketAddrV4,
    service: SocketAddrV4,
    socket: UdpSocket,
    reply_to: SocketAddr,
}

/// Runs all flows of the load and returns their outcomes.
pub(super) async fn run(load: &Load) -> Vec<FlowOutcome> {
    let outages = Outages::new(load.platform);
    let started = Instant::now();
    let mut flows = Vec::new();
    let mut number = 0;
    for service in &load.cfg.services {
        for at in 0..load.flows {
            let wait = open_delay(load, at);
            let flow = Flow::bind(load, &outages, number, service.address);
            flows.push(run_flow(flow, wait, started));
            number += 1;
        }
    }
    let all = std::pin::pin!(join_all(flows));
    match select(all, std::pin::pin!(outages.poll())).await {
        Either::Left((ends, _)) => ends,
        Either::Right(((), _)) => Vec::new(),
    }
}

/// Returns the delay until a flow opens. Half of the flows open within the first
/// second, the others over the first two thirds of the run.
fn open_delay(load: &Load, at: u16) -> Duration {
    let share = f64::from(at / 2) * 2.0 / f64::from(load.flows);
    if at.is_multiple_of(2) {
        Duration::from_secs(1).mul_f64(share)
    } else {
        load.duration.mul_f64(share * 2.0 / 3.0)
    }
}

async fn run_flow(
    flow: impl Future<Output = io::Result<Flow<'_>>>,
    wait: Duration,
    started: Instant,
) -> FlowOutcome {
    sleep(wait).await;
    match flow.await {
        Ok(flow) => flow.run(started).await,
        Err(e) => FlowOutcome::Broken(format!("no socket: {e}")),
    }
}

impl Flow<'_> {
    async fn bind<'a>(
        load: &'a Load,
        outages: &'a Outages,
        number: u16,
        service: SocketAddr,
    ) -> io::Result<Flow<'a>> {
        let SocketAddr::V4(service) = service else {
            return Err(io::Error::other("the service's address must be IPv4"));
        };
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        Ok(Flow {
            load,
            outages,
            number,
            source: packet::caller_address(load.host, number),
            service,
            reply_to: socket.local_addr()?,
            socket,
        })
    }

    async fn run(&self, started: Instant) -> FlowOutcome {
        let Reply::Echo(first) = self.exchange(0).await else {
            return FlowOutcome::Refused;
        };
        let owner = first.backend;
        let mut last_answered = Instant::now();
        let mut number = 1;
        while started.elapsed() < self.load.duration {
            sleep(PACKET_INTERVAL).await;
            let fault = match self.exchange(number).await {
                Reply::Echo(echo) if echo.backend == owner && echo.known => None,
                Reply::Echo(echo) => Some(format!("it moved to {}", echo.backend)),
                Reply::Refused => Some("it was reset".to_owned()),
                Reply::Nothing => Some("no answer came".to_owned()),
            };
            if let Some(fault) = fault {
                return self.failure_outcome(&owner, &fault, last_answered).await;
            }
            last_answered = Instant::now();
            number += 1;
        }
        FlowOutcome::Kept
    }

    async fn failure_outcome(
        &self,
        owner: &str,
        fault: &str,
        last_answered: Instant,
    ) -> FlowOutcome {
        if self.outages.was_out(owner, last_answered).await {
            return FlowOutcome::GivenUp;
        }
        FlowOutcome::Broken(format!("{} of {owner}: {fault}", self.source))
    }

    /// Sends a packet until it is answered.
    async fn exchange(&self, number: u32) -> Reply {
        let payload = Payload {
            reply_to: self.reply_to,
            flow: self.number,
            packet: number,
        };
        let datagram = packet::build(self.source, self.service, number == 0, &payload);
        let started = Instant::now();
        while started.elapsed() < ANSWER_TIMEOUT {
            let _ = self.socket.send_to(&datagram, self.load.fabric).await;
            let reply = timeout(RETRANSMIT_INTERVAL, self.receive(number)).await;
            if let Ok(reply) = reply {
                return reply;
            }
        }
        Reply::Nothing
    }

    /// Waits for the reply to a packet and ignores echoes of earlier ones.
    async fn receive(&self, number: u32) -> Reply {
        let mut buf = [0u8; 2_048];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            if let Ok(echo) = serde_json::from_slice::<Echo>(&buf[..len]) {
                if echo.packet == number {
                    return Reply::Echo(echo);
                }
            } else if packet::is_refusal(&buf[..len]) {
                return Reply::Refused;
            }
        }
    }
}
