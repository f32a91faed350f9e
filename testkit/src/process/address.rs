//! Allocation of free loopback addresses.

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

/// Prevents process starts while ports are reserved: a forked child holds a
/// copy of each open socket until it executes its own program.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no ports are reserved and prevents reservations until the guard
/// is dropped.
pub fn lock_spawn() -> MutexGuard<'static, ()> {
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Allocates addresses that are free for TCP and UDP.
///
/// Each allocator has its own loopback IP address, so that concurrent tests
/// do not collide.
#[derive(Debug)]
pub struct AddressAllocator {
    ip: Ipv4Addr,
    /// Keeps the allocated ports bound until the allocator is dropped.
    reserved: Vec<(TcpListener, UdpSocket)>,
    /// Must stay the last field: fields drop in order, and the ports must be
    /// released first.
    _guard: MutexGuard<'static, ()>,
}

impl AddressAllocator {
    /// Chooses a loopback IP address. Process starts wait until the allocator is
    /// dropped.
    pub fn open() -> AddressAllocator {
        static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = process::id().to_be_bytes();
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        AddressAllocator {
            ip: Ipv4Addr::new(127, host, high, low.clamp(1, 254)),
            reserved: Vec::new(),
            _guard: lock_spawn(),
        }
    }

    /// Allocates a single address and releases it for the caller to bind.
    ///
    /// # Panics
    ///
    /// Panics if no port is free for both TCP and UDP.
    pub fn allocate_one(mut self) -> SocketAddr {
        self.allocate()
    }

    /// Allocates an address. It can be bound once the allocator is dropped.
    ///
    /// # Panics
    ///
    /// Panics if no port is free for both TCP and UDP.
    pub fn allocate(&mut self) -> SocketAddr {
        const MAX_ATTEMPTS: u32 = 100;
        for _ in 0..MAX_ATTEMPTS {
            let tcp = TcpListener::bind((self.ip, 0)).expect("failed to bind a TCP port");
            let address = tcp.local_addr().expect("a bound socket has an address");
            if let Ok(udp) = UdpSocket::bind(address) {
                self.reserved.push((tcp, udp));
                return address;
            }
        }
        panic!("no port is free for both TCP and UDP");
    }
}
