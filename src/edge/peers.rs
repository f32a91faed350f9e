//! Messages between VMs, over nng push and pull sockets.
//!
//! Each VM pulls from one socket and pushes into one socket for each peer.
//! Sends never wait: a peer that does not read loses messages, and each lost
//! message is counted.

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

/// The largest message that is read, in bytes.
const MAX_MESSAGE: usize = 8 << 20;

/// How long to wait before connecting again.
const RECONNECT: Duration = Duration::from_millis(100);

/// How long a socket may go unused before it is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// How many messages may wait for this service.
const MAILBOX: usize = 4_096;

/// A socket to one peer.
struct Link {
    socket: Socket,
    used: Instant,
}

/// The service that sends messages to other VMs.
pub struct Peers {
    links: HashMap<SocketAddr, Link>,
    /// How many messages may wait for one peer.
    queue: u16,
    counts: EdgeCounts,
}

impl Peers {
    /// Binds the socket for messages of other VMs and starts the service.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the engine is not registered.
    pub fn bind(
        address: SocketAddr,
        queue: u16,
        counts: &EdgeCounts,
        registry: &Registry,
    ) -> io::Result<()> {
        let engine = registry
            .find::<EngineEvent>(ENGINE)
            .map_err(io::Error::other)?;
        let socket = listen(address).map_err(io::Error::other)?;
        let service = Peers {
            links: HashMap::new(),
            queue,
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
        let link = match self.links.entry(address) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(Link {
                socket: dial(address, self.queue)?,
                used: Instant::now(),
            }),
        };
        link.used = Instant::now();
        Ok(&link.socket)
    }

    /// Closes the sockets to peers that nothing is sent to any more.
    fn close_idle(&mut self) {
        self.links
            .retain(|_, link| link.used.elapsed() < IDLE_LIMIT);
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

fn dial(address: SocketAddr, queue: u16) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(i32::from(queue))?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT))?;
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
        cx.set_mailbox_capacity(MAILBOX);
        cx.run_interval(IDLE_LIMIT, |service, _| service.close_idle());
    }
}

impl Handler<PeerOut> for Peers {
    type Result = ();

    fn handle(&mut self, msg: PeerOut, _cx: &mut Context<Peers>) {
        self.send(&msg);
    }
}
