//! Stand-ins for the clients, all on one thread. Some open a flow for each request, the
//! others keep a flow open for many requests, with pauses between them.

use std::{
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    router::Router,
};

/// When the copies of the opening packet are sent, and when the attempt ends.
const COPIES_MS: [u64; 3] = [0, 200, 600];
const OPEN_TIMEOUT_MS: u64 = 1_400;

/// When a client gives up a request.
const DEADLINE_MS: u64 = 4_000;

/// Tries of a request in all.
const TRIES: u32 = 3;

/// Pause between two requests of a flow that is kept open.
const PAUSE_MS: u64 = 600;

/// How long such a flow is kept open.
const LONG_FLOW_MS: u64 = 8_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Served,
    /// A reset whose sum is 0: the system's own.
    SystemReset,
    HostReset,
    NotOpened,
    Deadline,
}

/// A flow, as its client saw it.
#[derive(Clone, Debug)]
pub struct FlowRecord {
    pub client: SocketAddrV4,
    pub service: SocketAddrV4,
    /// When the last copy of the opening packet was sent, and through which VM.
    pub sent: Option<(u64, String)>,
    /// When the client had the handshake's answer.
    pub opened: Option<u64>,
    /// The server that answered last.
    pub host: Option<String>,
    pub outcome: Option<(u64, Outcome)>,
}

struct Flow {
    /// Its number in the records.
    number: usize,
    request: u64,
    tries: u32,
    is_long: bool,
    socket: usize,
    first_sent: u64,
    copies: usize,
    isn: u32,
    /// Sequence number of the request that is waiting, or comes next.
    seq: u32,
    /// Next byte expected from the server, once the flow is open.
    next: Option<u32>,
    echo: u32,
    is_waiting: bool,
    request_sent: u64,
    resend_at: u64,
    resend_after: u64,
    next_request_at: u64,
}

#[derive(Clone)]
pub struct Clients {
    pub flows: Arc<Mutex<Vec<FlowRecord>>>,
    pub is_running: Arc<AtomicBool>,
}

/// Clients of one zone.
pub struct ZoneClients {
    pub zone: String,
    pub addresses: Vec<SocketAddrV4>,
}

type FlowId = (SocketAddrV4, SocketAddrV4);

struct Engine {
    record: Record,
    router: Router,
    records: Arc<Mutex<Vec<FlowRecord>>>,
    sockets: Vec<(String, SocketAddrV4, UdpSocket)>,
    flows: HashMap<FlowId, Flow>,
    services: Vec<SocketAddrV4>,
    next_port: u16,
    next_request: u64,
}

impl Clients {
    /// Starts clients that open `per_s` flows a second for a request each, and keep
    /// `long_flows` flows open at each address.
    pub fn spawn(
        record: &Record,
        router: &Router,
        zones: &[ZoneClients],
        services: &[SocketAddrV4],
        per_s: u64,
        long_flows: usize,
    ) -> Clients {
        let mut sockets = Vec::new();
        for zone in zones {
            for address in &zone.addresses {
                let socket = UdpSocket::bind(address).expect("bind a client");
                socket.set_nonblocking(true).unwrap();
                sockets.push((zone.zone.clone(), *address, socket));
            }
        }
        let clients = Clients {
            flows: Arc::default(),
            is_running: Arc::new(AtomicBool::new(true)),
        };
        let mut engine = Engine {
            record: record.clone(),
            router: router.clone(),
            records: Arc::clone(&clients.flows),
            sockets,
            flows: HashMap::new(),
            services: services.to_vec(),
            next_port: 2_000,
            next_request: 0,
        };
        let is_running = Arc::clone(&clients.is_running);
        let interval = 1_000 / per_s;
        thread::spawn(move || {
            for socket in (0..engine.sockets.len())
                .cycle()
                .take(engine.sockets.len() * long_flows)
            {
                engine.new_request(socket, true);
            }
            let mut next_at = engine.record.now();
            loop {
                let now = engine.record.now();
                let is_running = is_running.load(Ordering::Relaxed);
                if now >= next_at && is_running {
                    next_at += interval;
                    let socket = engine.next_request as usize % engine.sockets.len();
                    engine.new_request(socket, false);
                }
                engine.step(now, is_running);
                thread::sleep(Duration::from_micros(500));
            }
        });
        clients
    }
}

impl Engine {
    fn new_request(&mut self, socket: usize, is_long: bool) {
        self.next_request += 1;
        let turn = self.next_request as usize / self.sockets.len();
        let service = self.services[turn % self.services.len()];
        self.open(self.next_request, 1, socket, service, is_long);
    }

    fn open(
        &mut self,
        request: u64,
        tries: u32,
        socket: usize,
        service: SocketAddrV4,
        is_long: bool,
    ) {
        self.next_port = if self.next_port >= 60_000 {
            2_000
        } else {
            self.next_port + 1
        };
        let client = SocketAddrV4::new(*self.sockets[socket].1.ip(), self.next_port);
        let now = self.record.now();
        let number = {
            let mut records = self.records.lock().unwrap();
            records.push(FlowRecord {
                client,
                service,
                sent: None,
                opened: None,
                host: None,
                outcome: None,
            });
            records.len() - 1
        };
        let isn = 1_000 + u32::from(self.next_port);
        let flow = Flow {
            number,
            request,
            tries,
            is_long,
            socket,
            first_sent: now,
            copies: 0,
            isn,
            seq: isn.wrapping_add(1),
            next: None,
            echo: 0,
            is_waiting: false,
            request_sent: 0,
            resend_at: 0,
            resend_after: 0,
            next_request_at: 0,
        };
        self.flows.insert((client, service), flow);
    }

    fn step(&mut self, now: u64, is_running: bool) {
        for at in 0..self.sockets.len() {
            let mut buf = [0; 2_048];
            while let Ok(len) = self.sockets[at].2.recv(&mut buf) {
                if let Some(packet) = Packet::decode(&buf[..len]) {
                    self.on_packet(&packet, now);
                }
            }
        }
        let ids: Vec<FlowId> = self.flows.keys().copied().collect();
        for id in ids {
            self.on_time(id, now, is_running);
        }
    }

    /// Sends a packet through the VM that the router chooses now. Returns its name.
    fn send(&self, socket: usize, packet: &Packet) -> String {
        let (zone, _, socket) = &self.sockets[socket];
        let Some((vm, to)) = self.router.choose(zone, packet.src, packet.dst) else {
            return "none".to_owned();
        };
        let _ = socket.send_to(&packet.encode(), SocketAddr::V4(to));
        vm
    }

    fn on_time(&mut self, id: FlowId, now: u64, is_running: bool) {
        let flow = &self.flows[&id];
        if flow.next.is_none() {
            self.continue_opening(id, now);
        } else if flow.is_waiting && now >= flow.request_sent + DEADLINE_MS {
            self.end(id, Outcome::Deadline, now);
        } else if flow.is_waiting && now >= flow.resend_at {
            self.send(flow.socket, &self.request_packet(id));
            let flow = self.flows.get_mut(&id).unwrap();
            flow.resend_after = (flow.resend_after * 2).min(1_600);
            flow.resend_at = now + flow.resend_after;
        } else if !flow.is_waiting && now >= flow.next_request_at {
            match now < flow.first_sent + LONG_FLOW_MS && is_running {
                true => self.send_request(id, now),
                false => self.close(id, now),
            }
        }
    }

    fn continue_opening(&mut self, id: FlowId, now: u64) {
        let flow = &self.flows[&id];
        let copy = flow.copies;
        if copy < COPIES_MS.len() && now >= flow.first_sent + COPIES_MS[copy] {
            let mut syn = Packet::new(SYN, id.0, id.1);
            syn.seq = flow.isn;
            syn.ack = copy as u32;
            let vm = self.send(flow.socket, &syn);
            self.record.add(&format!(
                "request {}: opening packet {copy} of {} through {vm}",
                flow.request, id.0
            ));
            self.records.lock().unwrap()[flow.number].sent = Some((now, vm));
            self.flows.get_mut(&id).unwrap().copies += 1;
        } else if now >= flow.first_sent + OPEN_TIMEOUT_MS {
            self.end(id, Outcome::NotOpened, now);
        }
    }

    fn request_packet(&self, id: FlowId) -> Packet {
        let flow = &self.flows[&id];
        let mut packet = Packet::new(ACK, id.0, id.1);
        packet.seq = flow.seq;
        packet.ack = flow.next.unwrap();
        packet.echo = flow.echo;
        packet.data = format!("request-{}-try-{}", flow.request, flow.tries).into_bytes();
        packet
    }

    fn send_request(&mut self, id: FlowId, now: u64) {
        let vm = self.send(self.flows[&id].socket, &self.request_packet(id));
        let flow = self.flows.get_mut(&id).unwrap();
        flow.is_waiting = true;
        flow.request_sent = now;
        flow.resend_after = 200;
        flow.resend_at = now + 200;
        if flow.is_long {
            self.record.add(&format!(
                "request {} on {} through {vm}",
                flow.request, id.0
            ));
        }
    }

    fn on_packet(&mut self, packet: &Packet, now: u64) {
        let id = (packet.dst, packet.src);
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if packet.flags & RST != 0 {
            let outcome = match packet.sum {
                0 => Outcome::SystemReset,
                _ => Outcome::HostReset,
            };
            self.end(id, outcome, now);
            return;
        }
        if packet.flags & SYN != 0 {
            if flow.next.is_some() {
                // Of a server that was not chosen, or a copy.
                return;
            }
            flow.next = Some(packet.seq.wrapping_add(1));
            flow.echo = packet.echo;
            self.records.lock().unwrap()[flow.number].opened = Some(now);
            self.send_request(id, now);
            return;
        }
        flow.echo = packet.echo;
        if !packet.data.is_empty() && flow.is_waiting && flow.next == Some(packet.seq) {
            flow.is_waiting = false;
            flow.next = Some(packet.seq.wrapping_add(packet.data.len() as u32));
            flow.seq = packet.ack;
            flow.next_request_at = now + PAUSE_MS;
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let host = text.rsplit(' ').next().map(str::to_owned);
            self.records.lock().unwrap()[flow.number].host = host;
            if !flow.is_long {
                self.close(id, now);
                return;
            }
            let (request, socket) = (flow.request, flow.socket);
            self.record.add(&format!(
                "request {request} on {} is answered: {text}",
                id.0
            ));
            self.next_request += 1;
            let next = self.next_request;
            let mut ack = Packet::new(ACK, id.0, id.1);
            let flow = self.flows.get_mut(&id).unwrap();
            flow.request = next;
            flow.tries = 1;
            ack.seq = flow.seq;
            ack.ack = flow.next.unwrap();
            ack.echo = flow.echo;
            self.send(socket, &ack);
        }
    }

    /// Closes a flow whose requests are answered.
    fn close(&mut self, id: FlowId, now: u64) {
        let flow = &self.flows[&id];
        let mut fin = Packet::new(ACK | FIN, id.0, id.1);
        fin.seq = flow.seq;
        fin.ack = flow.next.unwrap();
        fin.echo = flow.echo;
        self.send(flow.socket, &fin);
        self.end(id, Outcome::Served, now);
    }

    fn end(&mut self, id: FlowId, outcome: Outcome, now: u64) {
        let Some(flow) = self.flows.remove(&id) else {
            return;
        };
        self.records.lock().unwrap()[flow.number].outcome = Some((now, outcome));
        let text = format!(
            "request {}: try {} of {} ends: {outcome:?}",
            flow.request, flow.tries, id.0
        );
        self.record.add(&text);
        if flow.is_long && (outcome == Outcome::Served || flow.tries >= TRIES) {
            self.new_request(flow.socket, true);
        } else if outcome != Outcome::Served && flow.tries < TRIES {
            self.open(
                flow.request,
                flow.tries + 1,
                flow.socket,
                id.1,
                flow.is_long,
            );
        }
    }
}
