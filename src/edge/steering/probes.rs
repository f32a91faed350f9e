//! Probes backend servers that may be dead by opening a TCP connection.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::Duration, //
};

use actix_rt::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    entry_vm::EntryVm, //
    format::PlatformFormat,
};
use crate::{
    core::steering::{
        failure_detector::{
            PROBE_ATTEMPTS,
            PROBE_TIMEOUT,
            ProbeOutcome, //
        },
        tag::Tag, //
    },
    kernel::clock::{
        Clock,
        Millis, //
    },
};

/// A timeout that fires later than this is inconclusive: this VM was slow, and
/// the reply may already have been waiting.
const TIMER_SLACK: Millis = Millis(60);

/// Starts a probe of the backend server at `address` and reports its outcome.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, tag: Tag, address: SocketAddrV4) {
    let vm = Rc::clone(vm);
    actix_rt::spawn(async move {
        let outcome = probe(vm.clock, address).await;
        tracing::info!(backend = %tag, %address, ?outcome, "probed a backend server");
        vm.metrics.count_probe(outcome);
        let now = vm.clock.now();
        vm.steering.borrow_mut().on_probe(tag, outcome, now);
        vm.run_actions();
    });
}

async fn probe(clock: Clock, address: SocketAddrV4) -> ProbeOutcome {
    for _ in 0..PROBE_ATTEMPTS {
        let outcome = try_connect(clock, address).await;
        if outcome != ProbeOutcome::TimedOut {
            return outcome;
        }
    }
    ProbeOutcome::TimedOut
}

async fn try_connect(clock: Clock, address: SocketAddrV4) -> ProbeOutcome {
    let started = clock.now();
    let limit = Duration::from_millis(PROBE_TIMEOUT.0);
    match timeout(limit, TcpStream::connect(SocketAddr::from(address))).await {
        Ok(Ok(_)) => ProbeOutcome::Accepted,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        // Other errors are local, such as a lack of file descriptors.
        Ok(Err(e)) => {
            tracing::warn!(error = %e, %address, "failed to probe a backend server");
            ProbeOutcome::Unclear
        }
        Err(_) if clock.now().since(started) > PROBE_TIMEOUT + TIMER_SLACK => ProbeOutcome::Unclear,
        Err(_) => ProbeOutcome::TimedOut,
    }
}
