//! Messages between VMs, over nng push and pull sockets.
//!
//! Each VM has one pull socket and one push socket for each peer. Sending never
//! blocks: messages to a peer that does not keep up are dropped and counted.

use std::{
    collections::{
        HashMap,
        hash_map::Entry, //
    },
    io,
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use actix::{
    Actor,
    AsyncContext,
    Context,
    Handler,
    Recipient, //
};
use nng::{
    Protocol,
    Socket,
    options::{
        Options,
        ReconnectMaxTime,
        ReconnectMinTime,
        RecvMaxSize,
        SendBufferSize, //
    }, //
};

use crate::{
    core::{
        counter::Counter,
        engine::Event,
        message::Envelope, //
    },
    edge::{
        counts::EdgeCounts,
        mailbox::{
            ENGINE,
            EngineEvent,
            PEERS,
            PeerOut, //
        },
    },
    kernel::registry::Registry,
};

/// The maximum size of a received message in bytes.
const MAX_MESSAGE: usize = 8 << 20;

/// The delay before reconnecting to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// How long a socket may be unused before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The mailbox capacity in messages.
const MAILBOX_CAPACITY: usize = 4_096;

/// The push socket of one peer.
struct PeerSocket {
    socket: Socket,
    last_used: Instant,
}

/// The actor that sends messages to other VMs.
pub struct Peers {
    sockets: HashMap<SocketAddr, PeerSocket>,
    /// The send buffer of each socket, in messages.
    send_buffer: u16,
    counts: EdgeCounts,
}

impl Peers {
    /// Binds the socket for messages from other VMs, and starts the receiving
    /// thread and the actor.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the engine is not registered.
    pub fn bind(
        address: SocketAddr,
        send_buffer: u16,
        counts: &EdgeCounts,
        registry: &Registry,
    ) -> io::Result<()> {
        let engine = registry
            .find::<EngineEvent>(ENGINE)
            .map_err(io::Error::other)?;
        let socket = listen(address).map_err(io::Error::other)?;
        let service = Peers {
            sockets: HashMap::new(),
            send_buffer,
            counts: counts.clone(),
        };
        let counts = counts.clone();
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || receive(&socket, &engine, &counts))?;
        registry.register(PEERS, service.start().recipient::<PeerOut>());
        Ok(())
    }

    fn socket(&mut self, address: SocketAddr) -> nng::Result<&Socket> {
        let peer = match self.sockets.entry(address) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(PeerSocket {
                socket: dial(address, self.send_buffer)?,
                last_used: Instant::now(),
            }),
        };
        peer.last_used = Instant::now();
        Ok(&peer.socket)
    }

    /// Closes the sockets that have not been used for [`IDLE_TIMEOUT`].
    fn close_idle(&mut self) {
        self.sockets
            .retain(|_, peer| peer.last_used.elapsed() < IDLE_TIMEOUT);
    }

    fn send(&mut self, msg: &PeerOut) {
        let Ok(bytes) = msg.envelope.encode() else {
            return;
        };
        let sent = match self.socket(msg.address) {
            Ok(socket) => socket.try_send(bytes.as_slice()).is_ok(),
            Err(_) => false,
        };
        if !sent {
            self.counts.add(Counter::PeerOverflow);
        }
    }
}

fn listen(address: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn dial(address: SocketAddr, send_buffer: u16) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(i32::from(send_buffer))?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAY))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_DELAY))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn receive(socket: &Socket, engine: &Recipient<EngineEvent>, counts: &EdgeCounts) {
    while let Ok(message) = socket.recv() {
        let Ok(envelope) = Envelope::decode(&message) else {
            counts.add(Counter::PeerMalformed);
            continue;
        };
        if engine.try_send(EngineEvent(Event::Peer(envelope))).is_err() {
            counts.add(Counter::EventOverflow);
        }
    }
}

impl Actor for Peers {
    type Context = Context<Peers>;

    fn started(&mut self, cx: &mut Context<Peers>) {
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
        cx.run_interval(IDLE_TIMEOUT, |service, _| service.close_idle());
    }
}

impl Handler<PeerOut> for Peers {
    type Result = ();

    fn handle(&mut self, msg: PeerOut, _cx: &mut Context<Peers>) {
        self.send(&msg);
    }
}
