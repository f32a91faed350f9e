//! Free addresses on loopback.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        UdpSocket, //
    },
    process,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU8,
            Ordering, //
        }, //
    },
};

/// Keeps processes from being started while ports are held: a child has a copy
/// of each open socket until it runs its own program.
static HELD: Mutex<()> = Mutex::new(());

/// Waits until no ports are held, and keeps it so until the guard is dropped.
pub fn lock() -> MutexGuard<'static, ()> {
    HELD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Hands out addresses that are free for TCP and UDP.
///
/// Each has a loopback IP address of its own, by which tests that run at the
/// same time keep out of each other's way.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    /// Holds the ports until all have been handed out.
    held: Vec<(TcpListener, UdpSocket)>,
    /// Dropped after the ports, in the order of the fields.
    _guard: MutexGuard<'static, ()>,
}

impl Addresses {
    /// Chooses a loopback IP address. No process is started until the value is
    /// dropped.
    pub fn open() -> Addresses {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = process::id().to_be_bytes();
        let host = NEXT.fetch_add(1, Ordering::Relaxed);
        Addresses {
            ip: Ipv4Addr::new(127, host, high, low.clamp(1, 254)),
            held: Vec::new(),
            _guard: lock(),
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
