//! Even distribution of flows over the backend servers of a service.

use std::net::SocketAddr;

use dragonflytrack::kernel::clock::Millis;
use dragonflytrack_testkit::{
    Fleet,
    packet::{
        self,
        SegmentKind, //
    },
    sample, //
};

/// Upper bound of the ratio of the largest to the mean number of flows per
/// backend server.
const MAX_IMBALANCE: f64 = 1.15;

/// Ratio of open flows to the connection capacity of all backend servers.
const UTILIZATION: f64 = 0.7;

/// Number of flows opened between two steps of simulated time.
const FLOWS_PER_STEP: u32 = 1_000;

#[test]
fn flows_spread_evenly_at_seventy_percent_of_the_connections() {
    for (seed, service) in [(1, "bench-diary"), (2, "quote-desk")] {
        let cfg = sample::configuration(&sample::CYMRU, &sample::CYMRU_SERVICES);
        let mut fleet = Fleet::open(&cfg, 2, seed);
        fleet.run_for(Millis::from_secs(5));
        let address = cfg.service(&service.into()).unwrap().address;
        let connections: u32 = cfg
            .backends_of(&service.into())
            .map(|b| b.connections)
            .sum();
        let flows = (f64::from(connections) * UTILIZATION) as u32;
        open_flows(&mut fleet, address, flows);

        let counts: Vec<usize> = fleet
            .backends
            .iter()
            .map(|b| b.flows.len())
            .filter(|n| *n > 0)
            .collect();
        let total: usize = counts.iter().sum();
        assert_eq!(total, flows as usize, "each flow was opened once");
        let mean = total as f64 / counts.len() as f64;
        let largest = counts.iter().copied().max().unwrap_or_default() as f64;
        println!("{service}: {flows} flows, imbalance {:.3}", largest / mean);
        assert!(largest / mean <= MAX_IMBALANCE, "{service}: {counts:?}");
    }
}

fn open_flows(fleet: &mut Fleet, service: SocketAddr, flows: u32) {
    for n in 0..flows {
        let vm = n as usize % fleet.nodes.len();
        fleet.packet(
            vm,
            packet::tcp(packet::caller_address(n), service, SegmentKind::Syn),
        );
        if n % FLOWS_PER_STEP == 0 {
            fleet.run_for(Millis(10));
        }
    }
    fleet.run_for(Millis::from_secs(1));
}
