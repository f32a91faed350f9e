//! Load generator that keeps flows open, sends requests and checks the replies.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::configuration::Configuration;

mod check;
mod flows;
mod outages;
mod requests;
pub mod summary;

pub use summary::Summary;

/// The load that callers generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// The fabric's address.
    pub fabric: SocketAddr,
    /// The services and their backend servers.
    pub cfg: Configuration,
    /// The addresses of entry VMs for callers.
    pub vms: Vec<SocketAddr>,
    /// The number of flows to keep open to each service.
    pub flows: u16,
    /// The rate of requests to each service, per second.
    pub rate: u32,
    /// The duration of the load.
    pub duration: Duration,
    /// The platform, read for data centres that operators took out of service.
    pub platform: Option<SocketAddr>,
    /// The address of the backend servers' records, to verify the answers.
    pub records: Option<SocketAddr>,
    /// Distinguishes concurrent load generators: the last octet of their source
    /// addresses and part of their seeds.
    pub host: u8,
}

/// Runs the load, verifies it against the records if their address is given, and
/// returns a summary.
pub async fn run(load: &Load) -> Summary {
    let (flows, requests) = futures_util::future::join(flows::run(load), requests::run(load)).await;
    let mut summary = Summary::default();
    for flow in flows {
        summary.add_flow(&flow);
    }
    for request in &requests {
        summary.add_request(request);
    }
    if let Some(histogram) = check::latencies(&requests) {
        summary.set_latencies(&histogram);
    }
    if let Some(records) = load.records {
        check::against_records(records, &requests, &mut summary).await;
    }
    summary
}
