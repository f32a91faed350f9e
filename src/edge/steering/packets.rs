//! Packets of clients, over UDP.

use std::{
    cell::RefCell,
    io,
    rc::Rc,
    time::Duration, //
};

use super::{
    entry_vm::EntryVm, //
    format::PlatformFormat,
};
use crate::core::steering::packet::{
    Reset,
    Verdict, //
};

/// The largest datagram in bytes; a larger one is cut and then refused.
const MAX_DATAGRAM: usize = 2_048;

/// The most packets that are taken before other work gets a turn.
const BATCH: usize = 64;

/// How often a VM that just started looks whether it can steer.
const INFORMED_PAUSE: Duration = Duration::from_millis(2);

thread_local! {
    /// The datagram that is being written. Reused, as packets are many.
    static OUT: RefCell<Vec<u8>> = RefCell::new(Vec::with_capacity(MAX_DATAGRAM));
}

/// Starts to steer packets.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    actix_rt::spawn(steer(Rc::clone(vm)));
}

async fn steer<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    wait_until_informed(&vm).await;
    loop {
        if let Err(e) = vm.packets.readable().await {
            tracing::warn!(error = %e, "cannot wait for packets");
        }
        for _ in 0..BATCH {
            match vm.packets.try_recv(&mut buf) {
                Ok(len) => on_datagram(&vm, &buf[..len]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => tracing::debug!(error = %e, "cannot take a packet"),
            }
        }
        vm.act();
        actix_rt::task::yield_now().await;
    }
}

/// Leaves packets in the socket's buffer until they can be steered, so that the
/// first ones after a start are late instead of lost.
async fn wait_until_informed<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    while !vm.steering.borrow().is_synced() {
        actix_rt::time::sleep(INFORMED_PAUSE).await;
    }
}

fn on_datagram<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, datagram: &[u8]) {
    let packet = match vm.format.read_packet(datagram) {
        Ok(packet) => packet,
        Err(e) => {
            tracing::debug!(error = %e, "a datagram was dropped");
            vm.metrics.count("malformed");
            return;
        }
    };
    let now = vm.clock.now();
    vm.last_packet.set(now);
    let verdict = vm.steering.borrow_mut().on_packet(&packet, now);
    vm.metrics.count_packet(&verdict);
    match verdict {
        Verdict::Forward(target) => OUT.with_borrow_mut(|out| {
            vm.format.write_forward(datagram, &target, out);
            send(vm, out, target.address);
        }),
        Verdict::Reset(reason) => {
            let (flow, seq) = (packet.flow, packet.ack);
            send_reset(vm, &Reset { flow, seq, reason });
        }
        Verdict::Drop(_) => {}
    }
}

/// Tells a client that its flow is over.
pub fn send_reset<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, reset: &Reset) {
    OUT.with_borrow_mut(|out| {
        vm.format.write_reset(reset, out);
        send(vm, out, vm.client_address(reset.flow.client));
    });
}

fn send<F>(vm: &EntryVm<F>, datagram: &[u8], to: std::net::SocketAddrV4) {
    if let Err(e) = vm.packets.try_send_to(datagram, to.into()) {
        tracing::debug!(error = %e, %to, "a packet could not be sent");
        vm.metrics.count("unsent");
    }
}
