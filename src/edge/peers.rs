//! Messages between VMs, over nng push and pull sockets.
//!
//! Each VM pulls from one socket and pushes into one socket for each peer.
//! Sends never wait: a peer that does not read loses messages.

use std::{
    collections::{
        HashMap,
        hash_map::Entry, //
    },
    io,
    net::SocketAddr,
    thread, //
};

use actix::{
    Actor,
    Context,
    Handler,
    Recipient, //
};
use nng::{
    Protocol, Socket,
    options::{
        Options,
        ReconnectMaxTime,
        ReconnectMinTime,
        RecvMaxSize,
        SendBufferSize, //
    },
};

use crate::{
    core::{
        engine::Event,
        message::Envelope, //
    },
    edge::mailbox::{
        ENGINE,
        EngineEvent,
        PEERS,
        PeerOut, //
    },
    kernel::registry::Registry,
};

/// The largest message that is read, in bytes.
const MAX_MESSAGE: usize = 8 << 20;

/// How many messages may wait for one peer.
const SEND_QUEUE: i32 = 1_024;

/// How long to wait before connecting again.
const RECONNECT: std::time::Duration = std::time::Duration::from_millis(100);

/// The service that sends messages to other VMs.
pub struct Peers {
    sockets: HashMap<SocketAddr, Socket>,
}

impl Peers {
    /// Binds the socket for messages of other VMs and starts the service.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the engine is not registered.
    pub fn bind(address: SocketAddr, registry: &Registry) -> io::Result<()> {
        let engine = registry
            .find::<EngineEvent>(ENGINE)
            .map_err(io::Error::other)?;
        let socket = Socket::new(Protocol::Pull0).map_err(io::Error::other)?;
        socket
            .set_opt::<RecvMaxSize>(MAX_MESSAGE)
            .map_err(io::Error::other)?;
        socket
            .listen(&format!("tcp://{address}"))
            .map_err(io::Error::other)?;
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || receive(&socket, &engine))?;
        let service = Peers {
            sockets: HashMap::new(),
        };
        registry.register(PEERS, service.start().recipient::<PeerOut>());
        Ok(())
    }

    fn socket(&mut self, address: SocketAddr) -> nng::Result<&Socket> {
        match self.sockets.entry(address) {
            Entry::Occupied(entry) => Ok(entry.into_mut()),
            Entry::Vacant(entry) => Ok(entry.insert(dial(address)?)),
        }
    }
}

fn dial(address: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn receive(socket: &Socket, engine: &Recipient<EngineEvent>) {
    while let Ok(message) = socket.recv() {
        let Ok(envelope) = Envelope::decode(&message) else {
            continue;
        };
        let _ = engine.try_send(EngineEvent(Event::Peer(envelope)));
    }
}

impl Actor for Peers {
    type Context = Context<Peers>;
}

impl Handler<PeerOut> for Peers {
    type Result = ();

    fn handle(&mut self, msg: PeerOut, _cx: &mut Context<Peers>) {
        let Ok(bytes) = msg.envelope.encode() else {
            return;
        };
        let Ok(socket) = self.socket(msg.address) else {
            return;
        };
        // A full queue means that the peer does not read; the message is lost.
        let _ = socket.try_send(bytes.as_slice());
    }
}
