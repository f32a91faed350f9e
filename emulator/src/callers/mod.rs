//! Callers: they keep flows open and send requests, and check what comes back.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::configuration::Configuration;

mod check;
mod flows;
mod intents;
mod requests;
pub mod summary;

pub use summary::Summary;

/// What the callers do.
#[derive(Clone, Debug)]
pub struct Load {
    /// The fabric's address.
    pub fabric: SocketAddr,
    /// The services and their backend servers.
    pub cfg: Configuration,
    /// The entry VMs' addresses for callers.
    pub vms: Vec<SocketAddr>,
    /// How many flows to keep open for each service.
    pub flows: u16,
    /// How many requests to send each second for each service.
    pub rate: u32,
    /// How long to go on.
    pub duration: Duration,
    /// The platform, to learn which data centres operators took out.
    pub platform: Option<SocketAddr>,
    /// The backend servers' records, to check what ran.
    pub records: Option<SocketAddr>,
    /// Tells callers of one system apart: their host number and their seed.
    pub host: u8,
}

/// Runs the load and returns what came back.
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
