//! Receives and forwards client packets over UDP.

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

/// The maximum size of a datagram in bytes. A longer one is truncated, so that
/// its length no longer matches its header and it is dropped.
const MAX_DATAGRAM: usize = 2_048;

/// The maximum number of packets received before the task yields.
const MAX_BATCH: usize = 64;

/// How often the VM checks after a start whether it is synchronized.
const SYNC_POLL_INTERVAL: Duration = Duration::from_millis(2);

thread_local! {
    /// The send buffer, reused to avoid an allocation per packet.
    static SEND_BUFFER: RefCell<Vec<u8>> = RefCell::new(Vec::with_capacity(MAX_DATAGRAM));
}

/// Starts the task that receives and steers client packets.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    actix_rt::spawn(receive(Rc::clone(vm)));
}

async fn receive<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    wait_until_synced(&vm).await;
    loop {
        if let Err(e) = vm.packets.readable().await {
            tracing::warn!(error = %e, "failed to wait for client packets");
        }
        for _ in 0..MAX_BATCH {
            match vm.packets.try_recv(&mut buf) {
                Ok(len) => on_datagram(&vm, &buf[..len]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => tracing::debug!(error = %e, "failed to receive a client packet"),
            }
        }
        vm.run_actions();
        actix_rt::task::yield_now().await;
    }
}

/// Waits until the configuration and the backend servers are known. Packets that
/// arrive earlier stay in the socket's receive buffer: delayed instead of lost.
async fn wait_until_synced<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    while !vm.steering.borrow().is_synced() {
        actix_rt::time::sleep(SYNC_POLL_INTERVAL).await;
    }
}

fn on_datagram<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, datagram: &[u8]) {
    let packet = match vm.format.read_packet(datagram) {
        Ok(packet) => packet,
        Err(e) => {
            tracing::debug!(error = %e, "dropped a malformed datagram");
            vm.metrics.count_outcome("malformed");
            return;
        }
    };
    let now = vm.clock.now();
    vm.last_packet_at.set(now);
    let verdict = vm.steering.borrow_mut().on_packet(&packet, now);
    vm.metrics.count_verdict(&verdict);
    match verdict {
        Verdict::Forward(target) => SEND_BUFFER.with_borrow_mut(|buf| {
            vm.format.write_forward(datagram, &target, buf);
            send_datagram(vm, buf, target.address);
        }),
        Verdict::Reset(reason) => {
            let (flow, seq) = (packet.flow, packet.ack);
            send_reset(vm, &Reset { flow, seq, reason });
        }
        Verdict::Drop(_) => {}
    }
}

/// Sends a reset to the client of a flow.
pub fn send_reset<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, reset: &Reset) {
    SEND_BUFFER.with_borrow_mut(|buf| {
        vm.format.write_reset(reset, buf);
        send_datagram(vm, buf, vm.client_address(reset.flow.client));
    });
}

fn send_datagram<F>(vm: &EntryVm<F>, datagram: &[u8], to: std::net::SocketAddrV4) {
    if let Err(e) = vm.packets.try_send_to(datagram, to.into()) {
        tracing::debug!(error = %e, %to, "failed to send a packet");
        vm.metrics.count_outcome("unsent");
    }
}
