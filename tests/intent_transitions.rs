//! A data centre is taken out and returned while flows continue.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod intent_support;

use std::net::SocketAddr;

use dragonflytrack::kernel::clock::{
    Millis,
    Time, //
};
use dragonflytrack_testkit::packet::{
    self,
    SegmentKind, //
};
use intent_support::{
    TestFleet,
    out,
    return_to_service, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

/// How soon after its confirmation a data centre gets no more packets.
const OUT_BOUND: Millis = Millis::from_secs(5);

/// How long the return of a data centre may take.
const RETURN_BOUND: Millis = Millis::from_secs(60);

const FLOWS: u32 = 120;

/// Traffic of established flows over a fleet.
struct Traffic {
    f: TestFleet,
    rng: SmallRng,
}

impl Traffic {
    fn new(seed: u64) -> Traffic {
        let mut traffic = Traffic {
            f: TestFleet::new(seed),
            rng: SmallRng::seed_from_u64(seed),
        };
        traffic.f.fleet.run_for(Millis::from_secs(5));
        for flow in 0..FLOWS {
            traffic.send(flow, SegmentKind::Syn);
            traffic.f.fleet.run_for(Millis(5));
        }
        traffic
    }

    /// Sends a packet of `flow` to a random VM.
    fn send(&mut self, flow: u32, kind: SegmentKind) {
        let service: SocketAddr = "198.51.100.1:443".parse().unwrap();
        let at = self.rng.random_range(0..6);
        let bytes = packet::tcp(packet::caller_address(flow), service, kind);
        self.f.fleet.packet(at, bytes);
    }

    /// Sends packets of random flows for `span`.
    fn run_for(&mut self, span: Millis) {
        let end = self.f.fleet.now + span;
        while self.f.fleet.now < end {
            let flow = self.rng.random_range(0..FLOWS);
            self.send(flow, SegmentKind::Data);
            self.f.fleet.run_for(Millis(10));
        }
    }

    fn is_in(&self, backend: usize, data_centre: &str) -> bool {
        let name = &self.f.fleet.backends[backend].name;
        let cfg = self.f.cfg(0);
        cfg.backend(name).unwrap().data_centre.as_str() == data_centre
    }

    /// Returns how many packets reached `data_centre` since `since`.
    fn packets_into(&self, data_centre: &str, since: Time) -> usize {
        let delivered = self.f.fleet.delivered.iter();
        let late = delivered.filter(|d| d.at >= since);
        late.filter(|d| self.is_in(d.backend, data_centre)).count()
    }

    /// Returns how many packets reached a backend server outside `data_centre`
    /// that does not know their flow.
    fn misdirected_packets(&self, data_centre: &str) -> usize {
        let misdirected = self.f.fleet.delivered.iter().filter(|d| !d.known);
        misdirected
            .filter(|d| !self.is_in(d.backend, data_centre))
            .count()
    }

    /// Takes `data_centre` out and returns when that was confirmed.
    fn take_out(&mut self, at: usize, data_centre: &str) -> Time {
        let plan = self.f.plan(at, out(data_centre));
        assert_eq!(self.f.confirm(at, &plan).status, 200);
        self.f.fleet.now
    }
}

#[test]
fn a_data_centre_that_is_out_gets_no_packets() {
    for seed in 0..5 {
        let mut traffic = Traffic::new(seed);
        assert!(traffic.packets_into("bud-a", Time(0)) > 0);
        let confirmed = traffic.take_out(3, "bud-a");
        traffic.run_for(Millis::from_secs(15));
        let late = traffic.packets_into("bud-a", confirmed + OUT_BOUND);
        assert_eq!(late, 0, "seed {seed}");
    }
}

#[test]
fn a_vm_frozen_during_the_change_sends_no_packets_there() {
    for seed in 0..5 {
        let mut traffic = Traffic::new(seed);
        let frozen_vm = seed as usize;
        traffic.f.fleet.freeze(frozen_vm, Millis::from_secs(20));
        let confirmed = traffic.take_out(5, "bud-a");
        // Packets for the frozen VM are queued in its sockets meanwhile.
        traffic.run_for(Millis::from_secs(25));
        let late = traffic.packets_into("bud-a", confirmed + OUT_BOUND);
        assert_eq!(late, 0, "seed {seed}: packets into bud-a");
    }
}

#[test]
fn a_returning_data_centre_is_in_within_its_bound() {
    let mut traffic = Traffic::new(7);
    traffic.take_out(0, "bud-c");
    traffic.run_for(Millis::from_secs(5));
    let plan = traffic.f.plan(2, return_to_service("bud-c"));
    let reply = traffic.f.confirm(2, &plan);
    assert_eq!(reply.status, 200);
    traffic.run_for(RETURN_BOUND);
    let share = |at| {
        traffic
            .f
            .cfg(at)
            .data_centre(&"bud-c".into())
            .unwrap()
            .share
    };
    assert!((0..6).all(|at| share(at) == 100));
    assert_eq!(traffic.misdirected_packets("bud-c"), 0);
}
