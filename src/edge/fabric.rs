//! Packets: from the fabric and other VMs, to backend servers, other VMs and
//! callers.

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use actix::{
    Actor,
    Context,
    Handler,
    Recipient, //
};
use actix_rt::net::UdpSocket;
use bytes::Bytes;

use crate::{
    core::{
        counter::Counter,
        engine::Event,
        flow::PacketSource, //
    },
    edge::{
        counts::EdgeCounts,
        gue,
        mailbox::{
            ENGINE,
            EngineEvent,
            FABRIC,
            PacketOut,
            Route, //
        },
    },
    kernel::registry::Registry,
};

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// How many packets may wait for this service.
const MAILBOX: usize = 4_096;

/// The service that sends and receives packets.
pub struct Fabric {
    outbound: Arc<UdpSocket>,
    replies: SocketAddr,
    counts: EdgeCounts,
}

impl Fabric {
    /// Binds the sockets for the fabric and for other VMs, and starts the
    /// service.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the engine is not registered.
    pub async fn bind(
        fabric: SocketAddr,
        relay: SocketAddr,
        replies: SocketAddr,
        counts: &EdgeCounts,
        registry: &Registry,
    ) -> io::Result<()> {
        let engine = registry
            .find::<EngineEvent>(ENGINE)
            .map_err(io::Error::other)?;
        let inbound = Arc::new(UdpSocket::bind(fabric).await?);
        let relayed = Arc::new(UdpSocket::bind(relay).await?);
        actix_rt::spawn(receive(
            Arc::clone(&inbound),
            PacketSource::Fabric,
            engine.clone(),
            counts.clone(),
        ));
        actix_rt::spawn(receive(
            Arc::clone(&relayed),
            PacketSource::Peer,
            engine,
            counts.clone(),
        ));
        let service = Fabric {
            outbound: relayed,
            replies,
            counts: counts.clone(),
        };
        registry.register(FABRIC, service.start().recipient::<PacketOut>());
        Ok(())
    }
}

async fn receive(
    socket: Arc<UdpSocket>,
    source: PacketSource,
    engine: Recipient<EngineEvent>,
    counts: EdgeCounts,
) {
    let mut buf = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let datagram = Bytes::copy_from_slice(&buf[..len]);
        let Some(packet) = gue::decapsulate(&datagram) else {
            counts.add(Counter::PacketMalformed);
            continue;
        };
        let event = EngineEvent(Event::Packet { source, packet });
        if engine.try_send(event).is_err() {
            counts.add(Counter::EventOverflow);
        }
    }
}

impl Actor for Fabric {
    type Context = Context<Fabric>;

    fn started(&mut self, cx: &mut Context<Fabric>) {
        cx.set_mailbox_capacity(MAILBOX);
    }
}

impl Handler<PacketOut> for Fabric {
    type Result = ();

    fn handle(&mut self, msg: PacketOut, _cx: &mut Context<Fabric>) {
        let to = match msg.route {
            Route::Backend(to) | Route::Vm(to) => to,
            Route::Caller => self.replies,
        };
        let datagram = gue::encapsulate(&msg.packet);
        if self.outbound.try_send_to(&datagram, to).is_err() {
            self.counts.add(Counter::PacketOverflow);
        }
    }
}
