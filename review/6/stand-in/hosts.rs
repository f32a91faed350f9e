//! Stand-ins for the servers ("hosts" on the pages), all on one thread.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    store::Store,
};

/// Time that a request takes.
const WORK_MS: u64 = 15;

/// Interval of the writes of a server to the store.
pub const HEARTBEAT_MS: u64 = 770;

struct Flow {
    /// Own sequence number of the SYN+ACK.
    seq: u32,
    is_open: bool,
    /// When the opening packet arrived.
    arrived: u64,
    echo: u32,
    /// Next byte expected from the client.
    next: u32,
    /// Next byte to send.
    to_send: u32,
    answer: Option<Packet>,
    answer_at: Option<u64>,
}

/// An opening packet that a server took.
#[derive(Clone, Debug)]
pub struct Taken {
    pub arrived: u64,
    pub zone: String,
}

struct Host {
    name: String,
    id: u64,
    zone: String,
    service: String,
    address: SocketAddrV4,
    is_draining: bool,
    born_ms: u64,
    sequence: u64,
    next_beat: u64,
    /// Whether its path to the store is cut.
    is_cut_off: bool,
    socket: UdpSocket,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
}

#[derive(Default)]
pub struct Inner {
    hosts: Vec<Host>,
    pub taken: Vec<Taken>,
    /// Request ids that ran, with the server.
    pub ran: Vec<(String, String)>,
}

#[derive(Clone)]
pub struct Hosts {
    pub inner: Arc<Mutex<Inner>>,
    record: Record,
    store: Store,
    /// Port of all clients.
    client_port: u16,
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Hosts {
    pub fn spawn(record: &Record, store: &Store, client_port: u16) -> Hosts {
        let hosts = Hosts {
            inner: Arc::default(),
            record: record.clone(),
            store: store.clone(),
            client_port,
        };
        let engine = hosts.clone();
        thread::spawn(move || {
            loop {
                engine.step();
                thread::sleep(Duration::from_micros(500));
            }
        });
        hosts
    }

    /// Starts a server, which writes its entry at once.
    pub fn start(&self, name: &str, zone: &str, service: &str, address: SocketAddrV4) {
        let socket = UdpSocket::bind(address).expect("bind a server");
        socket.set_nonblocking(true).unwrap();
        serve_health(address);
        let digits = name.rsplit('-').next().unwrap();
        let host = Host {
            name: name.to_owned(),
            id: u64::from_str_radix(digits, 16).expect("the id of a server is hexadecimal"),
            zone: zone.to_owned(),
            service: service.to_owned(),
            address,
            is_draining: false,
            born_ms: unix_ms(),
            sequence: 0,
            next_beat: 0,
            is_cut_off: false,
            socket,
            flows: HashMap::new(),
        };
        self.inner.lock().unwrap().hosts.push(host);
    }

    /// Cuts the path of a server to the store, or heals it.
    pub fn set_cut_off(&self, name: &str, is_cut_off: bool) {
        let mut inner = self.inner.lock().unwrap();
        for host in inner.hosts.iter_mut().filter(|h| h.name == name) {
            host.is_cut_off = is_cut_off;
        }
    }

    fn step(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = self.record.now();
        let Inner { hosts, taken, ran } = &mut *inner;
        for host in hosts {
            host.beat(&self.store, now);
            let mut buf = [0; 2_048];
            while let Ok(len) = host.socket.recv(&mut buf) {
                let Some(key) = buf[..len]
                    .first_chunk::<8>()
                    .map(|k| u64::from_be_bytes(*k))
                else {
                    continue;
                };
                if key != 0 && key != host.id {
                    continue;
                }
                if let Some(packet) = Packet::decode(&buf[8..len]) {
                    if packet.sum != packet.expected_sum() {
                        self.record
                            .add(&format!("{} got a changed packet {packet:?}", host.name));
                    }
                    for answer in host.on_packet(&packet, now, taken, ran, &self.record) {
                        host.send(&answer, self.client_port);
                    }
                }
            }
            host.answer_due(now, self.client_port);
        }
    }
}

impl Host {
    fn beat(&mut self, store: &Store, now: u64) {
        if now < self.next_beat || self.is_cut_off {
            return;
        }
        self.next_beat = now + HEARTBEAT_MS;
        self.sequence += 1;
        let state = if self.is_draining {
            "draining"
        } else {
            "ready"
        };
        let fixed = format!(
            "\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrency\":4,\"state\":\"{state}\",\"warmupLeftMs\":0,\"born\":{}",
            self.service, self.address, self.zone, self.born_ms
        );
        let spec = format!("{{{fixed},\"sequence\":{}}}", self.sequence);
        store.beat(&self.name, &spec, &fixed);
    }

    fn send(&self, packet: &Packet, client_port: u16) {
        let to = SocketAddrV4::new(*packet.dst.ip(), client_port);
        let _ = self.socket.send_to(&packet.encode(), SocketAddr::V4(to));
    }

    fn on_packet(
        &mut self,
        packet: &Packet,
        now: u64,
        taken: &mut Vec<Taken>,
        ran: &mut Vec<(String, String)>,
        record: &Record,
    ) -> Vec<Packet> {
        let key = (packet.src, packet.dst);
        let mut answer = Packet::new(ACK, packet.dst, packet.src);
        answer.echo = packet.echo;
        if packet.flags & SYN != 0 {
            let seq = (self.id as u32).wrapping_mul(31) ^ packet.seq;
            let flow = self.flows.entry(key).or_insert(Flow {
                seq,
                is_open: false,
                arrived: now,
                echo: packet.echo,
                next: packet.seq.wrapping_add(1),
                to_send: seq.wrapping_add(1),
                answer: None,
                answer_at: None,
            });
            answer.flags = SYN | ACK;
            answer.seq = flow.seq;
            answer.ack = packet.seq.wrapping_add(1);
            return vec![answer];
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            if packet.flags & RST != 0 {
                return Vec::new();
            }
            answer.flags = RST;
            answer.seq = packet.ack;
            return vec![answer];
        };
        flow.echo = packet.echo;
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            return Vec::new();
        }
        if !flow.is_open {
            if packet.ack != flow.seq.wrapping_add(1) {
                return Vec::new();
            }
            flow.is_open = true;
            taken.push(Taken {
                arrived: flow.arrived,
                zone: self.zone.clone(),
            });
            record.add(&format!(
                "{} took the flow of {} whose opening packet arrived at {}",
                self.name, packet.src, flow.arrived
            ));
        }
        if !packet.data.is_empty() && packet.seq == flow.next {
            flow.next = packet.seq.wrapping_add(packet.data.len() as u32);
            let id = String::from_utf8_lossy(&packet.data).into_owned();
            ran.push((id.clone(), self.name.clone()));
            record.add(&format!("{} ran {id}", self.name));
            let mut body = Packet::new(ACK, packet.dst, packet.src);
            body.seq = flow.to_send;
            body.ack = flow.next;
            body.data = format!("200 {id} {}", self.name).into_bytes();
            flow.to_send = flow.to_send.wrapping_add(body.data.len() as u32);
            flow.answer = Some(body);
            flow.answer_at = Some(now + WORK_MS);
            return Vec::new();
        }
        if packet.flags & FIN != 0 {
            answer.ack = packet.seq.wrapping_add(1);
            answer.seq = packet.ack;
            answer.flags = ACK | FIN;
            self.flows.remove(&key);
            return vec![answer];
        }
        if !packet.data.is_empty() && flow.answer_at.is_none() {
            // A retransmission of the request: the answer was lost.
            flow.answer_at = Some(now);
        }
        Vec::new()
    }

    fn answer_due(&mut self, now: u64, client_port: u16) {
        let mut due = Vec::new();
        for flow in self.flows.values_mut() {
            if flow.answer_at.is_some_and(|at| now >= at) {
                flow.answer_at = None;
                if let Some(answer) = &mut flow.answer {
                    answer.echo = flow.echo;
                    due.push(answer.clone());
                }
            }
        }
        for answer in due {
            self.send(&answer, client_port);
        }
    }
}

/// Serves the health check of a server: 200 to every request.
fn serve_health(address: SocketAddrV4) {
    let listener = TcpListener::bind(address).expect("bind a health check");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let mut buf = [0; 1_024];
                if matches!(stream.read(&mut buf), Ok(len) if len > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
}

/// Returns a loopback address.
pub fn loopback(a: u8, b: u8, c: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, c)
}
