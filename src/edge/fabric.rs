//! Receives packets from the network fabric and other VMs, and sends packets to
//! backend servers, other VMs and callers.

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

/// The maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// The mailbox capacity in packets.
const MAILBOX_CAPACITY: usize = 4_096;

/// The actor that sends packets. Receiving is done by one task for each socket.
pub struct Fabric {
    socket: Arc<UdpSocket>,
    reply_address: SocketAddr,
    counts: EdgeCounts,
}

impl Fabric {
    /// Binds the sockets for packets from the fabric and from other VMs, and
    /// starts the tasks and the actor. Packets for callers are sent to
    /// `reply_address`.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the engine is not registered.
    pub async fn bind(
        fabric_address: SocketAddr,
        relay_address: SocketAddr,
        reply_address: SocketAddr,
        counts: &EdgeCounts,
        registry: &Registry,
    ) -> io::Result<()> {
        let engine = registry
            .find::<EngineEvent>(ENGINE)
            .map_err(io::Error::other)?;
        let fabric_socket = Arc::new(UdpSocket::bind(fabric_address).await?);
        let relay_socket = Arc::new(UdpSocket::bind(relay_address).await?);
        actix_rt::spawn(receive(
            Arc::clone(&fabric_socket),
            PacketSource::Fabric,
            engine.clone(),
            counts.clone(),
        ));
        actix_rt::spawn(receive(
            Arc::clone(&relay_socket),
            PacketSource::Peer,
            engine,
            counts.clone(),
        ));
        let service = Fabric {
            socket: relay_socket,
            reply_address,
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
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<PacketOut> for Fabric {
    type Result = ();

    fn handle(&mut self, msg: PacketOut, _cx: &mut Context<Fabric>) {
        let to = match msg.route {
            Route::Backend(to) | Route::Vm(to) => to,
            Route::Caller => self.reply_address,
        };
        let datagram = gue::encapsulate(&msg.packet);
        if self.socket.try_send_to(&datagram, to).is_err() {
            self.counts.add(Counter::PacketOverflow);
        }
    }
}
