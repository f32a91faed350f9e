//! Probes: a connection to a backend server that may be dead.

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

/// A time-out that this VM notices later than this shows nothing: the answer may
/// have been waiting.
const MOST_LATE: Millis = Millis(60);

/// Probes a backend server.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, tag: Tag, address: SocketAddrV4) {
    let vm = Rc::clone(vm);
    actix_rt::spawn(async move {
        let outcome = probe(vm.clock, address).await;
        tracing::info!(backend = %tag, %address, ?outcome, "a backend server was probed");
        vm.metrics.count_probe(outcome);
        let now = vm.clock.now();
        vm.steering.borrow_mut().on_probe(tag, outcome, now);
        vm.act();
    });
}

async fn probe(clock: Clock, address: SocketAddrV4) -> ProbeOutcome {
    for _ in 0..PROBE_ATTEMPTS {
        let outcome = attempt(clock, address).await;
        if outcome != ProbeOutcome::TimedOut {
            return outcome;
        }
    }
    ProbeOutcome::TimedOut
}

async fn attempt(clock: Clock, address: SocketAddrV4) -> ProbeOutcome {
    let since = clock.now();
    let limit = Duration::from_millis(PROBE_TIMEOUT.0);
    match timeout(limit, TcpStream::connect(SocketAddr::from(address))).await {
        Ok(Ok(_)) => ProbeOutcome::Accepted,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        // Other errors are this VM's own, such as a lack of descriptors.
        Ok(Err(e)) => {
            tracing::warn!(error = %e, %address, "a backend server could not be probed");
            ProbeOutcome::Unclear
        }
        Err(_) if clock.now().since(since) > PROBE_TIMEOUT + MOST_LATE => ProbeOutcome::Unclear,
        Err(_) => ProbeOutcome::TimedOut,
    }
}
