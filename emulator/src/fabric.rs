//! An emulated fabric that sends each packet to a random entry VM.

use std::{
    collections::HashMap,
    fs,
    io,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use actix_rt::net::UdpSocket;
use rand::{
    SeedableRng,
    rngs::SmallRng,
    seq::IndexedRandom, //
};

use crate::packet;

/// The interval at which the list of entry VMs is read again.
const LIST_RELOAD_INTERVAL: Duration = Duration::from_millis(100);

/// The settings of a fabric.
#[derive(Clone, Debug)]
pub struct Fabric {
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address at which entry VMs send packets to callers.
    pub replies: SocketAddr,
    /// A file with the address of one live entry VM per line.
    pub list: PathBuf,
}

/// State shared by the tasks of a fabric.
#[derive(Default)]
struct Shared {
    vms: Mutex<Vec<SocketAddr>>,
    /// The socket address of each caller by its inner source address.
    callers: Mutex<HashMap<SocketAddr, SocketAddr>>,
}

/// Distributes the datagrams of callers over the entry VMs at random.
///
/// # Errors
///
/// Fails if an address cannot be bound or the list cannot be read.
pub async fn serve(fabric: &Fabric) -> io::Result<()> {
    let shared = Arc::new(Shared {
        vms: Mutex::new(read_list(&fabric.list)?),
        ..Shared::default()
    });
    let socket = Arc::new(UdpSocket::bind(fabric.listen).await?);
    let replies = UdpSocket::bind(fabric.replies).await?;
    actix_rt::spawn(reload_list(Arc::clone(&shared), fabric.list.clone()));
    actix_rt::spawn(forward_replies(
        Arc::clone(&shared),
        replies,
        Arc::clone(&socket),
    ));
    distribute(&shared, &socket).await
}

async fn distribute(shared: &Shared, socket: &UdpSocket) -> io::Result<()> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut buf = vec![0u8; 65_536];
    loop {
        let Ok((len, caller)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let datagram = &buf[..len];
        if let Some((source, _)) = packet::endpoints(datagram) {
            lock(&shared.callers).insert(source, caller);
        }
        let vm = lock(&shared.vms).choose(&mut rng).copied();
        if let Some(vm) = vm {
            let _ = socket.try_send_to(datagram, vm);
        }
    }
}

async fn forward_replies(shared: Arc<Shared>, replies: UdpSocket, socket: Arc<UdpSocket>) {
    let mut buf = vec![0u8; 65_536];
    loop {
        let Ok((len, _)) = replies.recv_from(&mut buf).await else {
            continue;
        };
        let Some((_, destination)) = packet::endpoints(&buf[..len]) else {
            continue;
        };
        let caller = lock(&shared.callers).get(&destination).copied();
        if let Some(caller) = caller {
            let _ = socket.try_send_to(&buf[..len], caller);
        }
    }
}

async fn reload_list(shared: Arc<Shared>, list: PathBuf) {
    loop {
        actix_rt::time::sleep(LIST_RELOAD_INTERVAL).await;
        if let Ok(vms) = read_list(&list) {
            *lock(&shared.vms) = vms;
        }
    }
}

fn read_list(list: &Path) -> io::Result<Vec<SocketAddr>> {
    let text = fs::read_to_string(list)?;
    Ok(text.lines().filter_map(|line| line.parse().ok()).collect())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
