//! Callers: they open flows and send requests, and check what comes back.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use actix_rt::{
    net::UdpSocket,
    time::timeout, //
};
use awc::Client;

use crate::packet::{
    self,
    Echo,
    Payload, //
};

/// How many packets each flow sends.
const PACKETS_PER_FLOW: u32 = 10;

/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// What the callers do.
#[derive(Clone, Debug)]
pub struct Load {
    /// The fabric's address.
    pub fabric: SocketAddr,
    /// The service's address in packets.
    pub service: SocketAddr,
    /// The service's name in requests.
    pub host: String,
    /// The entry VMs' addresses for callers.
    pub vms: Vec<SocketAddr>,
    /// How many flows to open.
    pub flows: u16,
    /// How many requests to send.
    pub requests: u32,
}

/// Runs the load and prints what came back.
///
/// # Errors
///
/// Fails if a flow broke or a request had no right answer.
pub async fn run(load: &Load) -> io::Result<()> {
    let mut kept = 0;
    for flow in 0..load.flows {
        kept += u32::from(run_flow(load, flow).await?);
    }
    let mut answered = 0;
    for request in 0..load.requests {
        answered += u32::from(run_request(load, request).await);
    }
    println!("{answered} requests answered, {kept} flows kept");
    if kept == u32::from(load.flows) && answered == load.requests {
        return Ok(());
    }
    Err(io::Error::other(
        "a flow broke or a request was not answered",
    ))
}

async fn run_flow(load: &Load, flow: u16) -> io::Result<bool> {
    let SocketAddr::V4(service) = load.service else {
        return Err(io::Error::other("the service's address must be IPv4"));
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let reply_to = socket.local_addr()?;
    let mut owner = None;
    for number in 0..PACKETS_PER_FLOW {
        let payload = Payload {
            reply_to,
            flow,
            packet: number,
        };
        let source = packet::caller_address(flow);
        let datagram = packet::build(source, service, number == 0, &payload);
        socket.send_to(&datagram, load.fabric).await?;
        let Some(echo) = receive(&socket).await else {
            return Ok(false);
        };
        let same = *owner.get_or_insert_with(|| echo.backend.clone()) == echo.backend;
        if !same || !echo.known || echo.packet != number {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn receive(socket: &UdpSocket) -> Option<Echo> {
    let mut buf = [0u8; 2_048];
    let (len, _) = timeout(PATIENCE, socket.recv_from(&mut buf))
        .await
        .ok()?
        .ok()?;
    serde_json::from_slice(&buf[..len]).ok()
}

async fn run_request(load: &Load, number: u32) -> bool {
    let vm = load.vms[number as usize % load.vms.len()];
    let body = format!("request {number}");
    let sent = Client::default()
        .put(format!("http://{vm}/hold/{number}"))
        .insert_header(("host", load.host.clone()))
        .send_body(body.clone());
    let Ok(Ok(mut response)) = timeout(PATIENCE, sent).await else {
        return false;
    };
    let Ok(answer) = response.body().await else {
        return false;
    };
    response.status().is_success() && answer.ends_with(body.as_bytes())
}
