//! Packets of clients, over UDP.

use std::{
    cell::RefCell,
    io,
    rc::Rc,
    time::Duration, //
};

use super::{
    format::PlatformFormat,
    node::Node, //
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
pub fn spawn<F: PlatformFormat + 'static>(node: &Rc<Node<F>>) {
    actix_rt::spawn(steer(Rc::clone(node)));
}

async fn steer<F: PlatformFormat + 'static>(node: Rc<Node<F>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    wait_until_informed(&node).await;
    loop {
        if let Err(e) = node.packets.readable().await {
            tracing::warn!(error = %e, "cannot wait for packets");
        }
        for _ in 0..BATCH {
            match node.packets.try_recv(&mut buf) {
                Ok(len) => on_datagram(&node, &buf[..len]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => tracing::debug!(error = %e, "cannot take a packet"),
            }
        }
        node.act();
        actix_rt::task::yield_now().await;
    }
}

/// Leaves packets in the socket's buffer until they can be steered, so that the
/// first ones after a start are late instead of lost.
async fn wait_until_informed<F: PlatformFormat + 'static>(node: &Rc<Node<F>>) {
    while !node.steering.borrow().is_informed() {
        actix_rt::time::sleep(INFORMED_PAUSE).await;
    }
}

fn on_datagram<F: PlatformFormat + 'static>(node: &Rc<Node<F>>, datagram: &[u8]) {
    let packet = match node.format.read_packet(datagram) {
        Ok(packet) => packet,
        Err(e) => {
            tracing::debug!(error = %e, "a datagram was dropped");
            node.metrics.count("malformed");
            return;
        }
    };
    let now = node.clock.now();
    node.last_packet.set(now);
    let verdict = node.steering.borrow_mut().on_packet(&packet, now);
    node.metrics.count_packet(&verdict);
    match verdict {
        Verdict::Forward(target) => OUT.with_borrow_mut(|out| {
            node.format.write_forward(datagram, &target, out);
            send(node, out, target.address);
        }),
        Verdict::Reset(reason) => {
            let (flow, seq) = (packet.flow, packet.ack);
            send_reset(node, &Reset { flow, seq, reason });
        }
        Verdict::Drop(_) => {}
    }
}

/// Tells a client that its flow is over.
pub fn send_reset<F: PlatformFormat + 'static>(node: &Rc<Node<F>>, reset: &Reset) {
    OUT.with_borrow_mut(|out| {
        node.format.write_reset(reset, out);
        send(node, out, node.client_address(reset.flow.client));
    });
}

fn send<F>(node: &Node<F>, datagram: &[u8], to: std::net::SocketAddrV4) {
    if let Err(e) = node.packets.try_send_to(datagram, to.into()) {
        tracing::debug!(error = %e, %to, "a packet could not be sent");
        node.metrics.count("unsent");
    }
}
