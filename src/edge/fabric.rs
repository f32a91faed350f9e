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
        engine::Event,
        flow::PacketSource, //
    },
    edge::{
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

/// The service that sends and receives packets.
pub struct Fabric {
    outbound: Arc<UdpSocket>,
    replies: SocketAddr,
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
        ));
        actix_rt::spawn(receive(Arc::clone(&relayed), PacketSource::Peer, engine));
        let service = Fabric {
            outbound: relayed,
            replies,
        };
        registry.register(FABRIC, service.start().recipient::<PacketOut>());
        Ok(())
    }
}

async fn receive(socket: Arc<UdpSocket>, source: PacketSource, engine: Recipient<EngineEvent>) {
    let mut buf = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let datagram = Bytes::copy_from_slice(&buf[..len]);
        let packet = gue::decapsulate(&datagram).unwrap_or_default();
        // A full mailbox drops the packet, as a full network queue would.
        let _ = engine.try_send(EngineEvent(Event::Packet { source, packet }));
    }
}

impl Actor for Fabric {
    type Context = Context<Fabric>;
}

impl Handler<PacketOut> for Fabric {
    type Result = ();

    fn handle(&mut self, msg: PacketOut, _cx: &mut Context<Fabric>) {
        let to = match msg.route {
            Route::Backend(to) | Route::Vm(to) => to,
            Route::Caller => self.replies,
        };
        let datagram = gue::encapsulate(&msg.packet);
        // UDP gives no word of loss, so neither does a full send buffer.
        let _ = self.outbound.try_send_to(&datagram, to);
    }
}
