//! A fake of the users' platform: its store over HTTP, and backend servers and
//! clients over UDP, as its documentation describes them. Simplified: a list is
//! one page, a watch returns all newer events at once, and each datagram
//! carries one packet.

use std::{
    collections::BTreeMap,
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value as Json,
    json, //
};

/// The flag bits in a packet's first byte.
pub mod flag {
    /// Resets a flow.
    pub const RST: u8 = 1;
    /// Ends a flow.
    pub const FIN: u8 = 2;
    /// Opens a flow.
    pub const SYN: u8 = 16;
    /// Acknowledges data.
    pub const ACK: u8 = 32;
}

/// How often a pending watch checks for events.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Everything that a restore from a copy brings back.
#[derive(Clone, Default)]
pub struct StoreState {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Json>,
    /// Revision, kind and event, oldest first.
    events: Vec<(u64, String, Json)>,
}

/// A fake of the platform's object store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    is_down: Arc<AtomicBool>,
    /// Number of restores, given in all answers.
    era: Arc<AtomicU64>,
}

impl Store {
    /// Starts an empty store at `address`. It runs until the test process exits.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("failed to bind the store address");
        let store = Store {
            address,
            state: Arc::default(),
            is_down: Arc::default(),
            era: Arc::new(AtomicU64::new(1)),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Returns the HTTP address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the store answer each request with status 503, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Copies the state, for a later restore.
    pub fn copy(&self) -> StoreState {
        lock(&self.state).clone()
    }

    /// Restores the state from a copy, which begins a new era.
    pub fn restore(&self, copy: &StoreState) {
        let mut state = lock(&self.state);
        *state = copy.clone();
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Creates or replaces an object and records the change for watches.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let object = json!({"meta": {"name": name, "revision": revision}, "spec": spec});
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        let event = json!({"deleted": false, "object": object});
        state.events.push((revision, kind.to_owned(), event));
    }

    /// Removes an object and records the deletion for watches.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        let object = json!({"meta": {"name": name, "revision": revision}, "spec": {}});
        let event = json!({"deleted": true, "object": object});
        state.events.push((revision, kind.to_owned(), event));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(reader).lines();
        while let Some(Ok(request)) = lines.next() {
            // Skips the headers up to the empty line; no request has a body.
            while lines.next().is_some_and(|l| l.is_ok_and(|l| !l.is_empty())) {}
            let path = request.split(' ').nth(1).unwrap_or_default();
            let (status, body) = self.handle_request(path);
            let head = format!(
                "HTTP/1.1 {status} -\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n",
                self.era.load(Ordering::Relaxed),
                body.len()
            );
            let result = (&stream).write_all(format!("{head}{body}").as_bytes());
            if result.is_err() {
                return;
            }
        }
    }

    /// Returns the status code and the body for a list or watch request.
    fn handle_request(&self, path: &str) -> (u16, String) {
        if self.is_down.load(Ordering::Relaxed) {
            return (503, String::new());
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let kind = path.rsplit('/').next().unwrap_or_default();
        let query_number = |key: &str| -> Option<u64> {
            let parse_pair = |pair: &str| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok();
            query.split('&').find_map(parse_pair)
        };
        let Some(since) = query_number("watch") else {
            return (200, self.list(kind));
        };
        let wait_ms = query_number("waitMs").unwrap_or(0);
        match self.watch(kind, since, wait_ms) {
            Some(body) => (200, body),
            None => (410, String::new()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&Json> = of_kind.map(|(_, object)| object).collect();
        json!({"items": items, "more": false, "storeRevision": state.revision}).to_string()
    }

    /// Returns the events after `since`, or `None` if the store does not have
    /// that revision.
    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Option<String> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = lock(&self.state);
                if since > state.revision {
                    return None;
                }
                let newer_events = state
                    .events
                    .iter()
                    .filter(|(revision, k, _)| *revision > since && k == kind);
                let events: Vec<&Json> = newer_events.map(|(_, _, event)| event).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let revision = state.revision;
                    let body = json!({"events": events, "storeRevision": revision});
                    return Some(body.to_string());
                }
            }
            thread::sleep(WATCH_POLL_INTERVAL);
        }
    }
}

/// A packet of a flow, with its header and data.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packet {
    /// The bits of [`flag`].
    pub flags: u8,
    /// The source address; `None` encodes as `0.0.0.0:0`.
    pub from: Option<SocketAddrV4>,
    /// The destination address; `None` encodes as `0.0.0.0:0`.
    pub to: Option<SocketAddrV4>,
    /// The sequence number of the first data byte.
    pub seq: u32,
    /// The sequence number of the next expected byte.
    pub ack: u32,
    /// The steering tag.
    pub steering_tag: u32,
    /// The payload.
    pub data: Vec<u8>,
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let (from, to) = (
            self.from.unwrap_or(unspecified),
            self.to.unwrap_or(unspecified),
        );
        let mut buf = vec![self.flags, 0];
        buf.extend(self.seq.to_be_bytes());
        buf.extend(self.ack.to_be_bytes());
        buf.extend([0; 4]);
        buf.extend((self.data.len() as u16).to_be_bytes());
        buf.extend(from.port().to_be_bytes());
        buf.extend(to.port().to_be_bytes());
        buf.extend(to.ip().octets());
        buf.extend(from.ip().octets());
        buf.extend(self.steering_tag.to_be_bytes());
        buf.extend(&self.data);
        buf
    }

    fn decode(buf: &[u8]) -> Packet {
        let word = |i: usize| u32::from_be_bytes([buf[i], buf[i + 1], buf[i + 2], buf[i + 3]]);
        let port = |i: usize| u16::from_be_bytes([buf[i], buf[i + 1]]);
        let address = |ip, at| Some(SocketAddrV4::new(Ipv4Addr::from(word(ip)), port(at)));
        Packet {
            flags: buf[0],
            from: address(24, 16),
            to: address(20, 18),
            seq: word(2),
            ack: word(6),
            steering_tag: word(28),
            data: buf[32..].to_vec(),
        }
    }
}

/// A backend server that replies to each data packet with its own name.
#[derive(Debug)]
pub struct BackendServer {
    /// The name in the store.
    pub name: String,
    /// The address for packets over UDP and for probes over TCP.
    pub address: SocketAddr,
}

impl BackendServer {
    /// Starts a backend server. Packets for another key than `key` are ignored.
    /// Replies go to `client_port` at the IP address of the client.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(key: u32, address: SocketAddr, client_port: u16) -> BackendServer {
        let socket = UdpSocket::bind(address).expect("failed to bind the backend server address");
        // Accepts the TCP connections of health probes.
        let probe_listener =
            TcpListener::bind(address).expect("failed to bind the backend server address");
        thread::spawn(move || while probe_listener.accept().is_ok() {});
        let name = format!("i-{key:08x}");
        let server_name = name.clone();
        thread::spawn(move || {
            let mut flows = BTreeMap::new();
            let mut buf = [0; 2_048];
            while let Ok(len) = socket.recv(&mut buf) {
                let target_key = u64::from_be_bytes(buf[..8].try_into().unwrap_or_default());
                if target_key != u64::from(key) {
                    continue;
                }
                let packet = Packet::decode(&buf[8..len]);
                let reply = build_reply(&server_name, &mut flows, &packet);
                let to = packet.from.map(|a| SocketAddrV4::new(*a.ip(), client_port));
                if let (Some(reply), Some(to)) = (reply, to) {
                    let _ = socket.send_to(&reply.encode(), to);
                }
            }
        });
        BackendServer { name, address }
    }

    /// Returns the spec of the backend server's object in the store.
    pub fn spec(&self, service: &str, zone: &str, state: &str) -> Json {
        json!({
            "service": service, "address": self.address.to_string(), "zone": zone, "version": "v1",
            "concurrency": 4, "state": state, "warmupLeftMs": 0, "sequence": 1, "born": 1,
        })
    }
}

/// Builds the reply to `packet`, if it needs one. `flows` holds the next
/// sequence number of each flow by client address.
fn build_reply(
    name: &str,
    flows: &mut BTreeMap<Option<SocketAddrV4>, u32>,
    packet: &Packet,
) -> Option<Packet> {
    let mut reply = Packet {
        from: packet.to,
        to: packet.from,
        steering_tag: packet.steering_tag,
        ack: packet.seq.wrapping_add(packet.data.len() as u32),
        ..Packet::default()
    };
    if packet.flags & flag::SYN != 0 {
        flows.insert(packet.from, 5_000);
        reply.flags = flag::SYN | flag::ACK;
        reply.seq = 5_000;
        return Some(reply);
    }
    let Some(seq) = flows.get_mut(&packet.from) else {
        reply.flags = flag::RST;
        return Some(reply);
    };
    if packet.data.is_empty() {
        return None;
    }
    reply.flags = flag::ACK;
    reply.seq = *seq;
    reply.data = name.as_bytes().to_vec();
    *seq += reply.data.len() as u32;
    Some(reply)
}

/// A client whose flows share one socket.
pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    service: SocketAddrV4,
    unsolicited_resets: Mutex<Vec<u16>>,
}

/// The reply to data sent on a flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Data from the backend server of this name.
    Data(String),
    /// The flow was reset.
    Reset,
    /// Sending failed or no reply arrived before the read timeout.
    Timeout,
}

/// The client's state of an open flow.
#[derive(Clone, Debug)]
pub struct Flow {
    port: u16,
    steering_tag: u32,
    seq: u32,
    ack: u32,
}

impl Client {
    /// Binds a client at `address` whose flows go to `service`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn open(address: SocketAddrV4, service: SocketAddrV4) -> Client {
        let socket = UdpSocket::bind(address).expect("failed to bind the client address");
        let timeout = Some(Duration::from_millis(500));
        socket
            .set_read_timeout(timeout)
            .expect("failed to set the read timeout");
        Client {
            socket,
            ip: *address.ip(),
            service,
            unsolicited_resets: Mutex::default(),
        }
    }

    /// Takes the ports of flows that were reset while the client was not
    /// waiting for a reply on them.
    pub fn take_unsolicited_resets(&self) -> Vec<u16> {
        std::mem::take(&mut lock(&self.unsolicited_resets))
    }

    /// Opens a flow through the VM at `vm`. Returns `None` if the flow is reset
    /// or no reply arrives in time.
    pub fn open_flow(&self, vm: SocketAddr, port: u16) -> Option<Flow> {
        let syn = Packet {
            flags: flag::SYN,
            seq: 100,
            ..self.packet_from(port)
        };
        let reply = self.exchange(vm, &syn)?;
        (reply.flags == flag::SYN | flag::ACK).then_some(Flow {
            port,
            steering_tag: reply.steering_tag,
            seq: 101,
            ack: reply.seq + 1,
        })
    }

    /// Sends data on a flow through the VM at `vm` and waits for the reply.
    pub fn send_data(&self, vm: SocketAddr, flow: &mut Flow) -> Reply {
        let packet = Packet {
            flags: flag::ACK,
            seq: flow.seq,
            ack: flow.ack,
            steering_tag: flow.steering_tag,
            data: b"question".to_vec(),
            ..self.packet_from(flow.port)
        };
        let Some(reply) = self.exchange(vm, &packet) else {
            return Reply::Timeout;
        };
        if reply.flags & flag::RST != 0 {
            return Reply::Reset;
        }
        flow.steering_tag = reply.steering_tag;
        flow.seq += packet.data.len() as u32;
        flow.ack = reply.seq + reply.data.len() as u32;
        Reply::Data(String::from_utf8_lossy(&reply.data).into_owned())
    }

    /// Sends a SYN for a new flow and returns whether the reply is a reset.
    pub fn is_refused(&self, vm: SocketAddr, port: u16) -> bool {
        let syn = Packet {
            flags: flag::SYN,
            ..self.packet_from(port)
        };
        let reply = self.exchange(vm, &syn);
        reply.is_some_and(|r| r.flags == flag::RST)
    }

    fn packet_from(&self, port: u16) -> Packet {
        Packet {
            from: Some(SocketAddrV4::new(self.ip, port)),
            to: Some(self.service),
            ..Packet::default()
        }
    }

    /// Sends `packet` and returns the reply on its flow. Resets of other flows
    /// are recorded.
    fn exchange(&self, vm: SocketAddr, packet: &Packet) -> Option<Packet> {
        self.socket.send_to(&packet.encode(), vm).ok()?;
        let mut buf = [0; 2_048];
        loop {
            let len = self.socket.recv(&mut buf).ok()?;
            let reply = Packet::decode(&buf[..len]);
            if reply.to == packet.from {
                return Some(reply);
            }
            if let Some(to) = reply.to.filter(|_| reply.flags & flag::RST != 0) {
                lock(&self.unsolicited_resets).push(to.port());
            }
        }
    }
}
