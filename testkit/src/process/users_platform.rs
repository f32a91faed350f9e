//! A stand-in of the users' platform: its store over HTTP, a backend server and
//! clients over UDP, as its pages describe them. Small: one list page, one
//! watch, one packet a message.

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

/// The bits of a packet's first byte.
pub mod flag {
    /// Resets a flow.
    pub const RST: u8 = 1;
    /// Ends a flow.
    pub const FIN: u8 = 2;
    /// Opens a flow.
    pub const SYN: u8 = 16;
    /// Acknowledges.
    pub const ACK: u8 = 32;
}

/// How often a waiting watch looks for changes.
const POLL: Duration = Duration::from_millis(5);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    events: Vec<(u64, String, Json)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    objects: Arc<Mutex<Objects>>,
    is_down: Arc<AtomicBool>,
}

impl Store {
    /// Starts a store at `address`. It ends with the test's process.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Store {
            address,
            objects: Arc::default(),
            is_down: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// The store's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the store refuse all calls, or answer again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) {
        let mut objects = lock(&self.objects);
        objects.revision += 1;
        let revision = objects.revision;
        let object = json!({"meta": {"name": name, "revision": revision}, "spec": spec});
        let key = (kind.to_owned(), name.to_owned());
        objects.objects.insert(key, object.clone());
        let event = json!({"deleted": false, "object": object});
        objects.events.push((revision, kind.to_owned(), event));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = lock(&self.objects);
        objects.revision += 1;
        let revision = objects.revision;
        objects.objects.remove(&(kind.to_owned(), name.to_owned()));
        let object = json!({"meta": {"name": name, "revision": revision}, "spec": {}});
        let event = json!({"deleted": true, "object": object});
        objects.events.push((revision, kind.to_owned(), event));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(read) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(read).lines();
        while let Some(Ok(request)) = lines.next() {
            // Headers end with an empty line; no call here has a body.
            while lines.next().is_some_and(|l| l.is_ok_and(|l| !l.is_empty())) {}
            let path = request.split(' ').nth(1).unwrap_or_default();
            let (status, body) = self.answer(path);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = (&stream).write_all(format!("{head}{body}").as_bytes());
            if sent.is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        if self.is_down.load(Ordering::Relaxed) {
            return (503, String::new());
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let kind = path.rsplit('/').next().unwrap_or_default();
        let number = |key: &str| -> Option<u64> {
            let of = |pair: &str| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok();
            query.split('&').find_map(of)
        };
        match number("watch") {
            None => (200, self.list(kind)),
            Some(since) => (200, self.watch(kind, since, number("waitMs").unwrap_or(0))),
        }
    }

    fn list(&self, kind: &str) -> String {
        let objects = lock(&self.objects);
        let of_kind = objects.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&Json> = of_kind.map(|(_, object)| object).collect();
        json!({"items": items, "more": false, "storeRevision": objects.revision}).to_string()
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let objects = lock(&self.objects);
                let newer = objects
                    .events
                    .iter()
                    .filter(|(at, k, _)| *at > since && k == kind);
                let events: Vec<&Json> = newer.map(|(_, _, event)| event).collect();
                if !events.is_empty() || Instant::now() >= end {
                    let revision = objects.revision;
                    return json!({"events": events, "storeRevision": revision}).to_string();
                }
            }
            thread::sleep(POLL);
        }
    }
}

/// A packet on the wire.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packet {
    /// The bits of [`flag`].
    pub flags: u8,
    /// The sender.
    pub from: Option<SocketAddrV4>,
    /// The receiver.
    pub to: Option<SocketAddrV4>,
    /// The number of the first byte.
    pub seq: u32,
    /// The number of the next byte expected.
    pub ack: u32,
    /// The steering tag.
    pub steering_tag: u32,
    /// The data.
    pub data: Vec<u8>,
}

impl Packet {
    fn write(&self) -> Vec<u8> {
        let none = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let (from, to) = (self.from.unwrap_or(none), self.to.unwrap_or(none));
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

    fn read(buf: &[u8]) -> Packet {
        let word = |at: usize| u32::from_be_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
        let port = |at: usize| u16::from_be_bytes([buf[at], buf[at + 1]]);
        let address = |at, p| Some(SocketAddrV4::new(Ipv4Addr::from(word(at)), port(p)));
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

/// A backend server that answers each packet with data by its own name.
#[derive(Debug)]
pub struct BackendServer {
    /// Its name in the store.
    pub name: String,
    /// Its address for packets.
    pub address: SocketAddr,
}

impl BackendServer {
    /// Starts a backend server whose key is `key`. `client_port` is where
    /// clients take packets.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(key: u32, address: SocketAddr, client_port: u16) -> BackendServer {
        let socket = UdpSocket::bind(address).expect("the backend server's address is free");
        // Probes find that it accepts connections.
        let accepting = TcpListener::bind(address).expect("the backend server's address is free");
        thread::spawn(move || while accepting.accept().is_ok() {});
        let name = format!("i-{key:08x}");
        let own = name.clone();
        thread::spawn(move || {
            let mut flows = BTreeMap::new();
            let mut buf = [0; 2_048];
            while let Ok(len) = socket.recv(&mut buf) {
                let meant = u64::from_be_bytes(buf[..8].try_into().unwrap_or_default());
                if meant != u64::from(key) {
                    continue;
                }
                let packet = Packet::read(&buf[8..len]);
                let reply = answer(&own, &mut flows, &packet);
                let to = packet.from.map(|a| SocketAddrV4::new(*a.ip(), client_port));
                if let (Some(reply), Some(to)) = (reply, to) {
                    let _ = socket.send_to(&reply.write(), to);
                }
            }
        });
        BackendServer { name, address }
    }

    /// What it writes to the store of itself.
    pub fn spec(&self, service: &str, zone: &str, state: &str) -> Json {
        json!({
            "service": service, "address": self.address.to_string(), "zone": zone, "version": "v1",
            "concurrency": 4, "state": state, "warmupLeftMs": 0, "sequence": 1, "born": 1,
        })
    }
}

fn answer(
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

/// A client with any number of flows.
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
    /// No reply arrived before the read timeout.
    Timeout,
}

/// A flow that its client uses.
#[derive(Clone, Debug)]
pub struct Flow {
    port: u16,
    steering_tag: u32,
    seq: u32,
    ack: u32,
}

impl Client {
    /// Starts a client at `address` that speaks to `service`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn open(address: SocketAddrV4, service: SocketAddrV4) -> Client {
        let socket = UdpSocket::bind(address).expect("the client's address is free");
        let timeout = Some(Duration::from_millis(500));
        socket
            .set_read_timeout(timeout)
            .expect("a time-out can be set");
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
        let opening = Packet {
            flags: flag::SYN,
            seq: 100,
            ..self.packet(port)
        };
        let reply = self.exchange(vm, &opening)?;
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
            ..self.packet(flow.port)
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

    /// Sends a first packet and tells whether it was reset.
    pub fn is_refused(&self, vm: SocketAddr, port: u16) -> bool {
        let opening = Packet {
            flags: flag::SYN,
            ..self.packet(port)
        };
        let reply = self.exchange(vm, &opening);
        reply.is_some_and(|r| r.flags == flag::RST)
    }

    fn packet(&self, port: u16) -> Packet {
        Packet {
            from: Some(SocketAddrV4::new(self.ip, port)),
            to: Some(self.service),
            ..Packet::default()
        }
    }

    fn exchange(&self, vm: SocketAddr, packet: &Packet) -> Option<Packet> {
        self.socket.send_to(&packet.write(), vm).ok()?;
        let mut buf = [0; 2_048];
        loop {
            let len = self.socket.recv(&mut buf).ok()?;
            let reply = Packet::read(&buf[..len]);
            if reply.to == packet.from {
                return Some(reply);
            }
            if let Some(to) = reply.to.filter(|_| reply.flags & flag::RST != 0) {
                lock(&self.unsolicited_resets).push(to.port());
            }
        }
    }
}
