//! A proxy on loopback that harms what passes it.
//!
//! It passes TCP connections and UDP datagrams on to one address. Answers to
//! datagrams do not pass it.

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

/// The largest piece that is passed on at once, in bytes.
const PIECE: usize = 65_536;

/// What happens to what passes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// It arrives.
    #[default]
    Open,
    /// It arrives late.
    Late(Duration),
    /// What clients send is lost. A connection of which anything was lost stays
    /// silent for good.
    LosesRequests,
    /// What they are answered is lost in the same way.
    LosesAnswers,
    /// New connections and datagrams are turned away.
    Refused,
}

/// Which way something passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    In,
    Out,
}

impl Link {
    fn loses(self, way: Way) -> bool {
        matches!(
            (self, way),
            (Link::LosesRequests, Way::In) | (Link::LosesAnswers, Way::Out) | (Link::Refused, _)
        )
    }

    fn wait(self) {
        if let Link::Late(span) = self {
            thread::sleep(span);
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    link: Link,
    connections: Vec<TcpStream>,
}

/// A proxy. It ends with the test's process.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl Proxy {
    /// Passes what comes to `address` on to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(address: SocketAddr, target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(address).expect("the proxy's address is free");
        let datagrams = UdpSocket::bind(address).expect("the proxy's address is free");
        let proxy = Proxy {
            address,
            shared: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepting.accept(client, target);
            }
        });
        let passing = proxy.clone();
        thread::spawn(move || passing.pass_datagrams(&datagrams, target));
        proxy
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to what passes.
    pub fn set(&self, link: Link) {
        self.shared().link = link;
    }

    /// What happens to what passes.
    pub fn link(&self) -> Link {
        self.shared().link
    }

    /// Breaks all connections off.
    pub fn reset(&self) {
        for connection in self.shared().connections.drain(..) {
            // It may have ended already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(&self, client: TcpStream, target: SocketAddr) {
        if self.link() == Link::Refused {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let copies = (client.try_clone(), server.try_clone());
        let (Ok(client_copy), Ok(server_copy)) = copies else {
            return;
        };
        if let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) {
            self.shared().connections.extend([client, server]);
        }
        let (inward, outward) = (self.clone(), self.clone());
        thread::spawn(move || inward.pass(client, server_copy, Way::In));
        thread::spawn(move || outward.pass(server, client_copy, Way::Out));
    }

    /// Passes bytes on until either end is closed.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        let mut buf = vec![0; PIECE];
        let mut is_silent = false;
        loop {
            let len = match from.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(len) => len,
            };
            let link = self.link();
            link.wait();
            is_silent |= link.loses(way);
            if !is_silent && to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn pass_datagrams(&self, socket: &UdpSocket, target: SocketAddr) {
        let mut buf = vec![0; PIECE];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf) else {
                continue;
            };
            let link = self.link();
            link.wait();
            if !link.loses(Way::In) {
                // The target may not run.
                let _ = socket.send_to(&buf[..len], target);
            }
        }
    }
}
