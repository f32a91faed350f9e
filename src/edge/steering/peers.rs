//! Communication with other VMs: heartbeats and flow replicas over UDP, snapshots
//! of a VM's state over TCP.

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

/// The maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 16_384;

/// The maximum size of a message over TCP in bytes.
const MAX_MESSAGE: u32 = 4 << 20;

/// The timeout for requesting or serving a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the tasks that receive messages and serve snapshots.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) -> io::Result<()> {
    let listener = TcpListener::bind(vm.settings.peers).await?;
    actix_rt::spawn(receive(Rc::clone(vm)));
    actix_rt::spawn(serve_snapshots(Rc::clone(vm), listener));
    Ok(())
}

async fn receive<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let len = match vm.peers.recv(&mut buf).await {
            Ok(len) => len,
            Err(e) => {
                tracing::debug!(error = %e, "failed to receive a message from another VM");
                continue;
            }
        };
        match postcard::from_bytes::<PeerMessage>(&buf[..len]) {
            Ok(msg) => {
                let now = vm.clock.now();
                vm.steering.borrow_mut().on_message(msg, now);
                vm.run_actions();
            }
            Err(e) => {
                tracing::warn!(error = %e, "dropped a malformed message from another VM");
            }
        }
    }
}

/// Sends a heartbeat to the VM at `to`.
pub fn send_heartbeat<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, to: SocketAddrV4) {
    let heartbeat = vm.steering.borrow_mut().heartbeat(to, vm.clock.now());
    send(vm, to, &PeerMessage::Heartbeat(heartbeat));
}

/// Sends a message to the VM at `to`. Failures are logged; nothing is retried.
pub fn send<F: PlatformFormat + 'static>(vm: &EntryVm<F>, to: SocketAddrV4, msg: &PeerMessage) {
    let datagram = match postcard::to_allocvec(msg) {
        Ok(datagram) => datagram,
        Err(e) => {
            tracing::error!(error = %e, "failed to encode a message to another VM");
            return;
        }
    };
    if let Err(e) = vm.peers.try_send_to(&datagram, to.into()) {
        tracing::debug!(error = %e, %to, "failed to send a message to another VM");
    }
}

/// Requests a snapshot from the VM at `from` and merges it into the local state.
pub fn request_snapshot<F: PlatformFormat + 'static>(
    vm: &Rc<EntryVm<F>>,
    from: SocketAddrV4,
    queries: Vec<KindQuery>,
) {
    let vm = Rc::clone(vm);
    actix_rt::spawn(async move {
        let request = SnapshotRequest { queries };
        match timeout(SNAPSHOT_TIMEOUT, fetch_snapshot(from, &request)).await {
            Ok(Ok(snapshot)) => {
                let now = vm.clock.now();
                vm.steering.borrow_mut().on_snapshot(snapshot, now);
                vm.run_actions();
            }
            Ok(Err(e)) => {
                tracing::info!(error = %e, %from, "failed to fetch a snapshot from another VM")
            }
            Err(_) => tracing::info!(%from, "timed out fetching a snapshot from another VM"),
        }
    });
}

async fn fetch_snapshot(from: SocketAddrV4, request: &SnapshotRequest) -> io::Result<Snapshot> {
    let mut stream = TcpStream::connect(std::net::SocketAddr::from(from)).await?;
    write_message(&mut stream, request).await?;
    read_message(&mut stream).await
}

async fn serve_snapshots<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_snapshot(Rc::clone(&vm), stream));
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to accept a connection from another VM");
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_snapshot<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, mut stream: TcpStream) {
    let work = async {
        let request: SnapshotRequest = read_message(&mut stream).await?;
        let snapshot = vm.steering.borrow().snapshot(&request, vm.clock.now());
        write_message(&mut stream, &snapshot).await
    };
    match timeout(SNAPSHOT_TIMEOUT, work).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::info!(error = %e, "failed to serve a snapshot"),
        Err(_) => tracing::info!("timed out serving a snapshot"),
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
        let text = format!("a message of {len} bytes exceeds the limit of {MAX_MESSAGE}");
        return Err(io::Error::other(text));
    }
    let mut body = vec![0; len as usize];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}
