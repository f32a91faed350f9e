//! Snapshots of a VM's state over TCP, requested and served.
//!
//! The request is a length and a body. The answer is a length, the age of the
//! body in milliseconds and the body. Numbers have four bytes, most significant
//! first.

use std::{
    collections::VecDeque,
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
use bytes::Bytes;
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
    message_format,
};
use crate::{
    core::steering::peers::{
        KindQuery,
        Referral,
        SnapshotAnswer,
        SnapshotRequest, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The maximum size of a body in bytes.
const MAX_BODY: u32 = 4 << 20;

/// The timeout for requesting or serving a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an encoded snapshot is served to others that ask for the same. A
/// requester fetches later changes as soon as it hears of them.
const REUSE_TIME: Millis = Millis(100);

/// Maximum number of encoded snapshots kept for reuse.
const MAX_ENCODED: usize = 4;

/// A snapshot encoded for the wire.
#[derive(Clone, Debug)]
struct Encoded {
    queries: Vec<KindQuery>,
    made_at: Time,
    body: Bytes,
}

/// Snapshots encoded within the last `REUSE_TIME`, so that many requesters
/// share one copy.
#[derive(Debug, Default)]
pub struct EncodedSnapshots {
    /// Invariant: oldest first, at most [`MAX_ENCODED`].
    recent: VecDeque<Encoded>,
}

impl EncodedSnapshots {
    fn find(&mut self, queries: &[KindQuery], now: Time) -> Option<Encoded> {
        self.recent.retain(|e| now.since(e.made_at) < REUSE_TIME);
        self.recent.iter().find(|e| e.queries == queries).cloned()
    }

    fn add(&mut self, encoded: Encoded) {
        if self.recent.len() >= MAX_ENCODED {
            self.recent.pop_front();
        }
        self.recent.push_back(encoded);
    }
}

/// Starts the task that serves snapshots to other VMs.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) -> io::Result<()> {
    let listener = TcpListener::bind(vm.settings.peers).await?;
    actix_rt::spawn(accept(Rc::clone(vm), listener));
    Ok(())
}

/// Requests a snapshot from the VM at `from` and merges it into the local state.
pub fn request<F: PlatformFormat + 'static>(
    vm: &Rc<EntryVm<F>>,
    from: SocketAddrV4,
    queries: Vec<KindQuery>,
) {
    let vm = Rc::clone(vm);
    actix_rt::spawn(async move {
        let requester = vm.settings.announced;
        let request = SnapshotRequest { requester, queries };
        match timeout(SNAPSHOT_TIMEOUT, fetch(from, &request)).await {
            Ok(Ok((answer, age))) => {
                let now = vm.clock.now();
                let mut steering = vm.steering.borrow_mut();
                steering.on_snapshot_answer(answer, now - age, now);
                drop(steering);
                vm.run_actions();
            }
            Ok(Err(e)) => {
                tracing::info!(error = %e, %from, "failed to fetch a snapshot from another VM")
            }
            Err(_) => tracing::info!(%from, "timed out fetching a snapshot from another VM"),
        }
    });
}

/// Returns the answer and its age.
async fn fetch(
    from: SocketAddrV4,
    request: &SnapshotRequest,
) -> io::Result<(SnapshotAnswer, Millis)> {
    let mut stream = TcpStream::connect(std::net::SocketAddr::from(from)).await?;
    let body = encode(request)?;
    write_body(&mut stream, &body).await?;
    let len = stream.read_u32().await?;
    let age = Millis(u64::from(stream.read_u32().await?));
    let answer = read_body(&mut stream, len).await?;
    Ok((answer, age))
}

async fn accept<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(Rc::clone(&vm), stream));
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to accept a connection from another VM");
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, mut stream: TcpStream) {
    let request = match timeout(SNAPSHOT_TIMEOUT, read_request(&mut stream)).await {
        Ok(Ok(request)) => request,
        Ok(Err(e)) => {
            tracing::info!(error = %e, "failed to read a snapshot request");
            return;
        }
        Err(_) => {
            tracing::info!("timed out reading a snapshot request");
            return;
        }
    };
    let now = vm.clock.now();
    let admitted = vm.steering.borrow_mut().admit_snapshot(&request, now);
    let work = async {
        match &admitted {
            Ok(()) => write_snapshot(&vm, &mut stream, &request).await,
            Err(referral) => write_referral(&mut stream, referral).await,
        }
    };
    let outcome = timeout(SNAPSHOT_TIMEOUT, work).await;
    if admitted.is_ok() {
        let was_sent = matches!(outcome, Ok(Ok(())));
        vm.steering.borrow_mut().end_snapshot(&request, was_sent);
    }
    match outcome {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::info!(error = %e, "failed to serve a snapshot"),
        Err(_) => tracing::info!("timed out serving a snapshot"),
    }
}

async fn read_request(stream: &mut TcpStream) -> io::Result<SnapshotRequest> {
    let len = stream.read_u32().await?;
    read_body(stream, len).await
}

async fn write_snapshot<F: PlatformFormat>(
    vm: &EntryVm<F>,
    stream: &mut TcpStream,
    request: &SnapshotRequest,
) -> io::Result<()> {
    let encoded = encoded_snapshot(vm, request)?;
    let age = vm.clock.now().since(encoded.made_at);
    write_answer(stream, age, &encoded.body).await
}

/// Returns the snapshot for `request`, encoded anew unless a recent one answers
/// the same queries.
fn encoded_snapshot<F>(vm: &EntryVm<F>, request: &SnapshotRequest) -> io::Result<Encoded> {
    let now = vm.clock.now();
    let mut snapshots = vm.snapshots.borrow_mut();
    if let Some(encoded) = snapshots.find(&request.queries, now) {
        return Ok(encoded);
    }
    let snapshot = vm.steering.borrow_mut().snapshot(request, now);
    let encoded = Encoded {
        queries: request.queries.clone(),
        made_at: now,
        body: encode(&SnapshotAnswer::Snapshot(snapshot))?,
    };
    snapshots.add(encoded.clone());
    Ok(encoded)
}

async fn write_referral(stream: &mut TcpStream, referral: &Referral) -> io::Result<()> {
    let body = encode(&SnapshotAnswer::Referral(referral.clone()))?;
    write_answer(stream, Millis(0), &body).await
}

fn encode(msg: &impl Serialize) -> io::Result<Bytes> {
    let body = message_format::encode(msg).map_err(io::Error::other)?;
    Ok(Bytes::from(body))
}

async fn write_body(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    stream.write_u32(checked_len(body)?).await?;
    stream.write_all(body).await?;
    stream.flush().await
}

async fn write_answer(stream: &mut TcpStream, age: Millis, body: &[u8]) -> io::Result<()> {
    stream.write_u32(checked_len(body)?).await?;
    stream
        .write_u32(age.0.try_into().unwrap_or(u32::MAX))
        .await?;
    stream.write_all(body).await?;
    stream.flush().await
}

/// Returns the length of a body that the receiver accepts.
fn checked_len(body: &[u8]) -> io::Result<u32> {
    match u32::try_from(body.len()) {
        Ok(len) if len <= MAX_BODY => Ok(len),
        _ => Err(too_long(body.len())),
    }
}

fn too_long(len: usize) -> io::Error {
    io::Error::other(format!(
        "a message of {len} bytes exceeds the limit of {MAX_BODY}"
    ))
}

async fn read_body<T: DeserializeOwned>(stream: &mut TcpStream, len: u32) -> io::Result<T> {
    if len > MAX_BODY {
        return Err(too_long(len as usize));
    }
    let mut body = vec![0; len as usize];
    stream.read_exact(&mut body).await?;
    message_format::decode(&body).map_err(io::Error::other)
}
