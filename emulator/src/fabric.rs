//! A fabric that hands each packet to any of the entry VMs.

use std::{
    io,
    net::SocketAddr, //
};

use actix_rt::net::UdpSocket;
use rand::{
    SeedableRng,
    rngs::SmallRng,
    seq::IndexedRandom, //
};

/// Sprays the datagrams that arrive at `listen` over `vms`.
///
/// # Errors
///
/// Fails if `listen` cannot be bound.
pub async fn serve(listen: SocketAddr, vms: &[SocketAddr]) -> io::Result<()> {
    let socket = UdpSocket::bind(listen).await?;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut buf = vec![0u8; 65_536];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        if let Some(vm) = vms.choose(&mut rng) {
            let _ = socket.try_send_to(&buf[..len], *vm);
        }
    }
}
