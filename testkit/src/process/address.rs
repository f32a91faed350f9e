//! Free addresses on loopback.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        UdpSocket, //
    },
    process,
    sync::atomic::{
        AtomicU8,
        Ordering, //
    },
};

use super::child::lock_spawning;

/// Hands out addresses that are free for TCP and UDP.
///
/// Each has a loopback IP address of its own, by which tests that run at the
/// same time keep out of each other's way.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    /// Holds the ports until all have been handed out.
    held: Vec<(TcpListener, UdpSocket)>,
}

impl Addresses {
    /// Chooses a loopback IP address.
    pub fn open() -> Addresses {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = process::id().to_be_bytes();
        let host = NEXT.fetch_add(1, Ordering::Relaxed);
        Addresses {
            ip: Ipv4Addr::new(127, host, high, low.clamp(1, 254)),
            held: Vec::new(),
        }
    }

    /// Returns a free address and leaves it to the caller.
    pub fn take_free(mut self) -> SocketAddr {
        self.take()
    }

    /// Returns a free address.
    ///
    /// # Panics
    ///
    /// Panics if the machine has no free port.
    pub fn take(&mut self) -> SocketAddr {
        const TRIES: u32 = 100;
        for _ in 0..TRIES {
            let tcp = TcpListener::bind((self.ip, 0)).expect("no free TCP port");
            let address = tcp.local_addr().expect("a bound socket has an address");
            if let Ok(udp) = UdpSocket::bind(address) {
                self.held.push((tcp, udp));
                return address;
            }
        }
        panic!("no port is free for both TCP and UDP");
    }
}

impl Drop for Addresses {
    fn drop(&mut self) {
        let _spawning = lock_spawning();
        self.held.clear();
    }
}
