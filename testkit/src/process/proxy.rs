//! A fault-injecting proxy on loopback.
//!
//! Forwards TCP connections and UDP datagrams to one target address. Replies
//! to datagrams bypass the proxy.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::Duration,
};

/// The size of a read buffer in bytes.
const BUFFER_BYTES: usize = 65_536;

/// The fault that the proxy injects into forwarded traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Everything is forwarded.
    #[default]
    Healthy,
    /// Everything is forwarded after this delay.
    Delayed(Duration),
    /// Data sent by clients is dropped. A connection that lost any data never
    /// forwards again in that direction.
    DropsRequests,
    /// Data sent to clients is dropped in the same way.
    DropsResponses,
    /// New connections are closed; all datagrams and data on open connections
    /// are dropped.
    Refused,
}

/// The direction of traffic through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    ToClient,
}

impl LinkState {
    fn drops(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (LinkState::DropsRequests, Direction::ToTarget)
                | (LinkState::DropsResponses, Direction::ToClient)
                | (LinkState::Refused, _)
        )
    }

    fn apply_delay(self) {
        if let LinkState::Delayed(delay) = self {
            thread::sleep(delay);
        }
    }
}

#[derive(Debug, Default)]
struct ProxyState {
    link_state: LinkState,
    connections: Vec<TcpStream>,
}

/// A proxy that runs until the test process exits.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

impl Proxy {
    /// Starts forwarding from `address` to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(address: SocketAddr, target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(address).expect("failed to bind the proxy address");
        let datagrams = UdpSocket::bind(address).expect("failed to bind the proxy address");
        let proxy = Proxy {
            address,
            state: Arc::default(),
        };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                acceptor.accept(client, target);
            }
        });
        let forwarder = proxy.clone();
        thread::spawn(move || forwarder.forward_datagrams(&datagrams, target));
        proxy
    }

    /// Returns the address that the proxy listens on, for TCP and UDP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the injected fault for new and open connections.
    pub fn set_link_state(&self, link_state: LinkState) {
        self.state().link_state = link_state;
    }

    /// Returns the injected fault.
    pub fn link_state(&self) -> LinkState {
        self.state().link_state
    }

    /// Shuts down all connections in both directions.
    pub fn reset_connections(&self) {
        for connection in self.state().connections.drain(..) {
            // The connection may have closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(&self, client: TcpStream, target: SocketAddr) {
        if self.link_state() == LinkState::Refused {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let clones = (client.try_clone(), server.try_clone());
        let (Ok(client_clone), Ok(server_clone)) = clones else {
            return;
        };
        if let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) {
            self.state().connections.extend([client, server]);
        }
        let (to_target, to_client) = (self.clone(), self.clone());
        thread::spawn(move || to_target.forward(client, server_clone, Direction::ToTarget));
        thread::spawn(move || to_client.forward(server, client_clone, Direction::ToClient));
    }

    /// Forwards bytes until either end is closed.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buf = vec![0; BUFFER_BYTES];
        let mut is_stalled = false;
        loop {
            let len = match from.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(len) => len,
            };
            let link_state = self.link_state();
            link_state.apply_delay();
            is_stalled |= link_state.drops(direction);
            if !is_stalled && to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn forward_datagrams(&self, socket: &UdpSocket, target: SocketAddr) {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf) else {
                continue;
            };
            let link_state = self.link_state();
            link_state.apply_delay();
            if !link_state.drops(Direction::ToTarget) {
                // The target may be down; a lost datagram is not an error.
                let _ = socket.send_to(&buf[..len], target);
            }
        }
    }
}
