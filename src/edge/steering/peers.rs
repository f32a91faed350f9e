//! Messages to and from other VMs over UDP: heartbeats and flow replicas.

use std::{
    net::SocketAddrV4,
    rc::Rc, //
};

use super::{
    entry_vm::EntryVm, //
    format::PlatformFormat,
    message_format::{
        self,
        MessageError, //
    },
};
use crate::{
    core::steering::peers::PeerMessage,
    kernel::clock::Millis, //
};

/// The maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 16_384;

/// The interval between two log lines about refused messages.
const REFUSAL_LOG_INTERVAL: Millis = Millis::from_secs(10);

/// Starts the task that receives messages.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    actix_rt::spawn(receive(Rc::clone(vm)));
}

async fn receive<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let len = match vm.peers.recv(&mut buf).await {
            Ok(len) => len,
            Err(e) => {
                tracing::debug!(error = %e, "failed to receive a message from another VM");
                continue;
            }
        };
        match message_format::decode::<PeerMessage>(&buf[..len]) {
            Ok(msg) => {
                let now = vm.clock.now();
                vm.steering.borrow_mut().on_message(msg, now);
                vm.run_actions();
            }
            Err(e) => refuse(&vm, &e),
        }
    }
}

/// Counts a message that cannot be read and logs one within each interval: during
/// a roll-out there are many.
fn refuse<F>(vm: &EntryVm<F>, error: &MessageError) {
    vm.metrics.count_refused_message();
    let now = vm.clock.now();
    if now < vm.next_refusal_log.get() {
        return;
    }
    vm.next_refusal_log.set(now + REFUSAL_LOG_INTERVAL);
    tracing::warn!(%error, "refused a message of another VM");
}

/// Sends a heartbeat to the VM at `to`.
pub fn send_heartbeat<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, to: SocketAddrV4) {
    let heartbeat = vm.steering.borrow_mut().heartbeat(to, vm.clock.now());
    send(vm, to, &PeerMessage::Heartbeat(heartbeat));
}

/// Sends a message to the VM at `to`. Failures are logged; nothing is retried.
pub fn send<F: PlatformFormat + 'static>(vm: &EntryVm<F>, to: SocketAddrV4, msg: &PeerMessage) {
    let datagram = match message_format::encode(msg) {
        Ok(datagram) => datagram,
        Err(e) => {
            tracing::error!(error = %e, "failed to encode a message to another VM");
            return;
        }
    };
    if let Err(e) = vm.peers.try_send_to(&datagram, to.into()) {
        tracing::debug!(error = %e, %to, "failed to send a message to another VM");
    }
}
