//! Compares the answers that callers got with the records of backend servers.

use std::net::SocketAddr;

use awc::Client;
use hdrhistogram::Histogram;

use super::{
    Summary,
    requests::{
        Request,
        RequestOutcome, //
    },
};
use crate::backends::records::Records;

/// The size limit of a response with records.
const MAX_RECORDS_BYTES: usize = 64 << 20;

/// Reads the backend servers' records at `address` and adds each mismatch with
/// `requests` to `summary`.
pub(super) async fn against_records(
    address: SocketAddr,
    requests: &[Request],
    summary: &mut Summary,
) {
    match fetch_records(address).await {
        Some(records) => compare(&records, requests, summary),
        None => summary.add_wrong("all", "the backend servers' records cannot be read"),
    }
}

async fn fetch_records(address: SocketAddr) -> Option<Records> {
    let url = format!("http://{address}/-/records");
    let mut response = Client::default().get(url).send().await.ok()?;
    response.json().limit(MAX_RECORDS_BYTES).await.ok()
}

fn compare(records: &Records, requests: &[Request], summary: &mut Summary) {
    for request in requests {
        let runs = records.runs.get(&request.id).copied().unwrap_or(0);
        if runs > 1 && !request.idempotent {
            summary.doubled += 1;
            let fault = format!("doubled request {}: it ran {runs} times", request.id);
            summary.faults.push(fault);
        }
        match &request.outcome {
            RequestOutcome::Answered(_) if runs == 0 => {
                summary.add_wrong(&request.id, "it was answered and did not run");
            }
            RequestOutcome::Refused if runs > 0 && !request.idempotent => {
                summary.add_wrong(&request.id, "it was called not run and ran");
            }
            _ => {}
        }
    }
    for (name, record) in &records.backends {
        if record.packets_crossed > 0 {
            summary.add_wrong(name, "it got a packet for another service");
        }
    }
}

/// Returns the latencies of answered requests in milliseconds, or `None` if one
/// cannot be recorded.
pub(super) fn latencies(requests: &[Request]) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::new(3).ok()?;
    for request in requests {
        if let RequestOutcome::Answered(latency) = request.outcome {
            histogram.record(latency.as_millis() as u64).ok()?;
        }
    }
    Some(histogram)
}
