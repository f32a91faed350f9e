//! Other VMs: heartbeats and replicas over UDP, snapshots of what a VM knows over
//! TCP.

use std::{
    io,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use actix_rt::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};

use super::{
    entry_vm::EntryVm, //
    format::PlatformFormat,
};
use crate::core::steering::peers::{
    KindQuery, //
    PeerMessage,
    Snapshot,
    SnapshotRequest,
};

/// The largest datagram in bytes.
const MAX_DATAGRAM: usize = 16_384;

/// The largest message over TCP in bytes.
const MAX_MESSAGE: u32 = 4 << 20;

/// How long a snapshot may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts to listen to other VMs.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) -> io::Result<()> {
    let listener = TcpListener::bind(vm.settings.peers).await?;
    actix_rt::spawn(listen(Rc::clone(vm)));
    actix_rt::spawn(give(Rc::clone(vm), listener));
    Ok(())
}

async fn listen<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let len = match vm.peers.recv(&mut buf).await {
            Ok(len) => len,
            Err(e) => {
                tracing::debug!(error = %e, "cannot take a message of another VM");
                continue;
            }
        };
        match postcard::from_bytes::<PeerMessage>(&buf[..len]) {
            Ok(msg) => {
                let now = vm.clock.now();
                vm.steering.borrow_mut().on_message(msg, now);
                vm.act();
            }
            Err(e) => {
                tracing::warn!(error = %e, "a message of another VM cannot be read and was dropped");
            }
        }
    }
}

/// Sends a heartbeat.
pub fn send_heartbeat<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, to: SocketAddrV4) {
    let heartbeat = vm.steering.borrow_mut().heartbeat(to, vm.clock.now());
    send(vm, to, &PeerMessage::Heartbeat(heartbeat));
}

/// Sends a message to another VM.
pub fn send<F: PlatformFormat + 'static>(vm: &EntryVm<F>, to: SocketAddrV4, msg: &PeerMessage) {
    let datagram = match postcard::to_allocvec(msg) {
        Ok(datagram) => datagram,
        Err(e) => {
            tracing::error!(error = %e, "a message to another VM cannot be written");
            return;
        }
    };
    if let Err(e) = vm.peers.try_send_to(&datagram, to.into()) {
        tracing::debug!(error = %e, %to, "a message to another VM could not be sent");
    }
}

/// Asks another VM for what it knows.
pub fn pull<F: PlatformFormat + 'static>(
    vm: &Rc<EntryVm<F>>,
    from: SocketAddrV4,
    queries: Vec<KindQuery>,
) {
    let vm = Rc::clone(vm);
    actix_rt::spawn(async move {
        let request = SnapshotRequest { queries };
        match timeout(PULL_TIMEOUT, fetch(from, &request)).await {
            Ok(Ok(snapshot)) => {
                let now = vm.clock.now();
                vm.steering.borrow_mut().on_snapshot(snapshot, now);
                vm.act();
            }
            Ok(Err(e)) => tracing::info!(error = %e, %from, "another VM gave no snapshot"),
            Err(_) => tracing::info!(%from, "another VM gave no snapshot in time"),
        }
    });
}

async fn fetch(from: SocketAddrV4, request: &SnapshotRequest) -> io::Result<Snapshot> {
    let mut stream = TcpStream::connect(std::net::SocketAddr::from(from)).await?;
    write_message(&mut stream, request).await?;
    read_message(&mut stream).await
}

async fn give<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(give_one(Rc::clone(&vm), stream));
            }
            Err(e) => {
                tracing::warn!(error = %e, "cannot take a connection of another VM");
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn give_one<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, mut stream: TcpStream) {
    let work = async {
        let request: SnapshotRequest = read_message(&mut stream).await?;
        let snapshot = vm.steering.borrow().snapshot(&request, vm.clock.now());
        write_message(&mut stream, &snapshot).await
    };
    match timeout(PULL_TIMEOUT, work).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::info!(error = %e, "a snapshot could not be given"),
        Err(_) => tracing::info!("a snapshot could not be given in time"),
    }
}

async fn write_message(stream: &mut TcpStream, msg: &impl Serialize) -> io::Result<()> {
    let body = postcard::to_allocvec(msg).map_err(io::Error::other)?;
    let len = u32::try_from(body.len()).map_err(io::Error::other)?;
    stream.write_all(&len.to_be_bytes()).await?;
    stream.write_all(&body).await?;
    stream.flush().await
}

async fn read_message<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let len = stream.read_u32().await?;
    if len > MAX_MESSAGE {
        let text = format!("a message of {len} bytes is longer than {MAX_MESSAGE}");
        return Err(io::Error::other(text));
    }
    let mut body = vec![0; len as usize];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}
