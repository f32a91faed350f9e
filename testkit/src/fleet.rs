//! A simulated fleet of VMs, each with its own engine, under virtual time.

use std::{
    collections::HashMap,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
};

use bytes::Bytes;
use dragonflytrack::{
    core::{
        Action,
        Engine,
        Event,
        configuration::Configuration,
        flow::{
            PacketHeaders,
            PacketSource, //
        },
        intent::{
            AdminReply,
            CONFIGURATION_KEY,
            PlatformCall,
            PlatformCallId,
            PlatformOp,
            PlatformOutcome,
            platform::ANSWER_TIMEOUT, //
        },
        membership::{
            Seed,
            Vm, //
        },
        message::Envelope,
        names::{
            DataCentreId,
            Incarnation,
            VmId, //
        },
        notice::Notice,
        request::{
            Answer,
            Attempt,
            AttemptId,
            AttemptOutcome,
            Call,
            CallId, //
        }, //
    },
    kernel::clock::{
        Millis,
        Time,
        WallTime, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    backend::{
        FakeBackend,
        Reaction, //
    },
    event_queue::EventQueue,
    links::Links,
    platform::{
        FakePlatform,
        PlatformMode, //
    },
};

/// The name of the platform as an endpoint of [`Links`].
pub const PLATFORM: &str = "platform";

/// The interval of [`Event::Tick`].
const TICK_INTERVAL: Millis = Millis(10);

/// The wall-clock time at virtual time zero.
const EPOCH: WallTime = WallTime(1_800_000_000_000);

/// A simulated VM.
pub struct Node {
    /// Its identity and addresses.
    pub vm: Vm,
    /// Its engine. `None` while the process does not run.
    pub engine: Option<Engine>,
    /// When the VM resumes if it is frozen. Until then events are held back.
    pub frozen_until: Option<Time>,
    /// The offset of its wall clock.
    pub clock_offset: Millis,
    held_events: Vec<Event>,
    /// The total size in bytes of messages sent to other VMs.
    pub control_bytes: u64,
    /// The number of messages sent to other VMs.
    pub control_messages: u64,
}

/// A final answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// When the VM answered.
    pub at: Time,
    /// The index of the VM that answered.
    pub vm: usize,
    /// The identifier of the call, unique within that VM.
    pub call: CallId,
    /// The answer.
    pub answer: Answer,
}

/// A packet that reached a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeliveredPacket {
    /// When it arrived.
    pub at: Time,
    /// The index of the backend server.
    pub backend: usize,
    /// The packet.
    pub packet: PacketHeaders,
    /// Whether its flow is open on that backend server, or was opened by it.
    pub known: bool,
}

/// A notice that an engine logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedNotice {
    /// When it was logged.
    pub at: Time,
    /// The index of the VM that logged it.
    pub vm: usize,
    /// The kind of notice.
    pub notice: Notice,
    /// The detail text.
    pub detail: String,
}

enum Arrival {
    Event(usize, Incarnation, Event),
    Packet(SocketAddr, Bytes),
    Request(usize, Incarnation, Attempt),
    Finished(usize, usize, Incarnation, AttemptId, AttemptOutcome),
    Platform(usize, Incarnation, PlatformCall),
    PlatformAnswer(usize, Incarnation, PlatformCallId, PlatformOutcome),
}

/// Simulated VMs with the fakes around them.
pub struct Fleet {
    /// The virtual time.
    pub now: Time,
    /// The VMs.
    pub nodes: Vec<Node>,
    /// The simulated network.
    pub links: Links,
    /// The backend servers.
    pub backends: Vec<FakeBackend>,
    /// The platform.
    pub platform: FakePlatform,
    /// All final answers, in order.
    pub answers: Vec<CallAnswer>,
    /// All packets that reached a running backend server, in order.
    pub delivered: Vec<DeliveredPacket>,
    /// Packets sent back to callers, such as resets.
    pub replies: Vec<(Time, Bytes)>,
    /// All logged notices, in order.
    pub notices: Vec<LoggedNotice>,
    /// All replies to operators with the index of the VM, in order.
    pub admin_replies: Vec<(usize, AdminReply)>,
    /// The number of VMs that a VM gets as seeds when it starts.
    pub seed_count: usize,
    /// The source of random numbers.
    pub rng: SmallRng,
    events: EventQueue<Arrival>,
    next_tick: Time,
    watches: Vec<(usize, Incarnation, PlatformCall, Time)>,
    packet_backends: HashMap<SocketAddr, usize>,
    request_backends: HashMap<SocketAddr, usize>,
}

impl Fleet {
    /// Starts `vms_per_data_centre` VMs in each data centre of `cfg`, which is
    /// also stored on the platform.
    pub fn open(cfg: &Configuration, vms_per_data_centre: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Time(0),
            nodes: Vec::new(),
            links: Links::default(),
            backends: Vec::new(),
            platform: FakePlatform::default(),
            answers: Vec::new(),
            delivered: Vec::new(),
            replies: Vec::new(),
            notices: Vec::new(),
            admin_replies: Vec::new(),
            seed_count: usize::MAX,
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::default(),
            next_tick: Time(0),
            watches: Vec::new(),
            packet_backends: HashMap::new(),
            request_backends: HashMap::new(),
        };
        let value = serde_json::to_value(cfg).unwrap_or_default();
        fleet.platform.overwrite(CONFIGURATION_KEY, value);
        for backend in &cfg.backends {
            fleet.add_backend(backend);
        }
        for data_centre in &cfg.data_centres {
            for _ in 0..vms_per_data_centre {
                fleet.add_vm(&data_centre.name);
            }
        }
        for at in 0..fleet.nodes.len() {
            fleet.start(at);
        }
        fleet
    }

    /// Adds a running and warm backend server.
    pub fn add_backend(&mut self, backend: &dragonflytrack::core::configuration::Backend) {
        let at = self.backends.len();
        self.packet_backends.insert(backend.packets, at);
        self.request_backends.insert(backend.requests, at);
        self.backends.push(FakeBackend::warm(backend));
    }

    fn add_vm(&mut self, data_centre: &DataCentreId) {
        const PEERS_PORT: u16 = 7_000;
        const RELAY_PORT: u16 = 7_001;
        let at = self.nodes.len();
        let host = Ipv4Addr::new(10, 0, 0, at as u8 + 1);
        self.nodes.push(Node {
            vm: Vm {
                id: VmId::new(format!("vm{at}")),
                data_centre: data_centre.clone(),
                incarnation: Incarnation(0),
                peer_address: SocketAddr::from((host, PEERS_PORT)),
                relay_address: SocketAddr::from((host, RELAY_PORT)),
            },
            engine: None,
            frozen_until: None,
            clock_offset: Millis(0),
            held_events: Vec::new(),
            control_bytes: 0,
            control_messages: 0,
        });
    }

    /// Starts the VM `at` with empty state and a higher incarnation.
    pub fn start(&mut self, at: usize) {
        let last = self.nodes[at].vm.incarnation;
        self.start_as(at, Incarnation(self.now.0.max(last.0) + 1));
    }

    /// Starts the VM `at` with empty state and `incarnation`. To simulate a wall
    /// clock that was set back, pass a lower incarnation than that of the last
    /// run.
    pub fn start_as(&mut self, at: usize, incarnation: Incarnation) {
        let seeds = self
            .nodes
            .iter()
            .take(self.seed_count)
            .map(|n| Seed {
                id: n.vm.id.clone(),
                peer_address: n.vm.peer_address,
            })
            .collect();
        let seed = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[at];
        node.vm.incarnation = incarnation;
        node.frozen_until = None;
        node.held_events.clear();
        node.engine = Some(Engine::open(node.vm.clone(), seeds, seed, now));
    }

    /// Kills the VM `at`, which loses all its state.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].engine = None;
        self.nodes[at].held_events.clear();
    }

    /// Freezes the VM `at` for `span`. Events that arrive meanwhile are held
    /// back, except ticks, which are dropped.
    pub fn freeze(&mut self, at: usize, span: Millis) {
        self.nodes[at].frozen_until = Some(self.now + span);
    }

    /// Returns whether the VM `at` is frozen.
    pub fn is_frozen(&self, at: usize) -> bool {
        let until = self.nodes[at].frozen_until;
        until.is_some_and(|until| self.now < until)
    }

    /// Begins a graceful shutdown of the VM `at`.
    pub fn stop(&mut self, at: usize) {
        self.event(at, Event::Stop);
    }

    /// Passes a packet from the fabric to the VM `at`.
    pub fn packet(&mut self, at: usize, packet: Bytes) {
        self.event(
            at,
            Event::Packet {
                source: PacketSource::Fabric,
                packet,
            },
        );
    }

    /// Passes a caller's request to the VM `at`.
    pub fn call(&mut self, at: usize, call: Call) {
        self.event(at, Event::Call(call));
    }

    /// Passes `event` to the VM `at` and performs the resulting actions.
    pub fn event(&mut self, at: usize, event: Event) {
        let now = self.now;
        let wall = EPOCH + Millis(now.0);
        let node = &mut self.nodes[at];
        if node.frozen_until.is_some() {
            if !matches!(event, Event::Tick) {
                node.held_events.push(event);
            }
            return;
        }
        let wall = wall + node.clock_offset;
        let Some(engine) = &mut node.engine else {
            return;
        };
        for action in engine.handle(now, wall, event) {
            self.perform(at, action);
        }
    }

    /// Advances virtual time by `span`.
    pub fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let next = self.events.next_time().unwrap_or(end);
            let due = next.min(self.next_tick);
            if due > end {
                break;
            }
            self.now = due;
            if self.next_tick <= due {
                self.tick();
                continue;
            }
            let Some(arrival) = self.events.pop() else {
                break;
            };
            self.handle_arrival(arrival);
        }
        self.now = end;
    }

    fn tick(&mut self) {
        self.next_tick = self.now + TICK_INTERVAL;
        self.expire_watches();
        for at in 0..self.nodes.len() {
            self.unfreeze(at);
            self.event(at, Event::Tick);
        }
    }

    fn unfreeze(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.frozen_until.is_none_or(|until| until > now) {
            return;
        }
        node.frozen_until = None;
        for event in std::mem::take(&mut node.held_events) {
            self.event(at, event);
        }
    }

    fn schedule(&mut self, delay: Millis, arrival: Arrival) {
        self.events.push(self.now + delay, arrival);
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Event(at, run, event) => self.event_for_run(at, run, event),
            Arrival::Packet(to, packet) => self.packet_at_backend(to, &packet),
            Arrival::Request(at, run, attempt) => self.request_at_backend(at, run, &attempt),
            Arrival::Finished(backend, at, run, id, outcome) => {
                if let Some(seen) = self.backends[backend].finish(outcome) {
                    self.answer_attempt(backend, at, run, id, seen);
                }
            }
            Arrival::Platform(at, run, call) => self.call_at_platform(at, run, call),
            Arrival::PlatformAnswer(at, run, id, outcome) => {
                self.event_for_run(at, run, Event::PlatformDone(id, outcome));
            }
        }
    }

    fn event_for_run(&mut self, at: usize, run: Incarnation, event: Event) {
        if self.nodes[at].vm.incarnation == run {
            self.event(at, event);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let run = self.nodes[at].vm.incarnation;
        match action {
            Action::Forward { to, packet } => {
                let name = self.backend_name(self.packet_backends.get(&to).copied());
                for delay in self.delivery_delays(at, &name) {
                    self.schedule(delay, Arrival::Packet(to, packet.clone()));
                }
            }
            Action::Relay { to, packet } => {
                let event = Event::Packet {
                    source: PacketSource::Peer,
                    packet,
                };
                self.deliver(at, &to, &event);
            }
            Action::Reply { packet } => self.replies.push((self.now, packet)),
            Action::Peer { to, msg } => {
                let node = &mut self.nodes[at];
                let Some(engine) = &node.engine else {
                    return;
                };
                let known = engine.view().member(&to);
                let envelope = Envelope {
                    from: node.vm.id.clone(),
                    incarnation: engine.view().me.incarnation,
                    to_incarnation: known.map(|m| m.vm.incarnation).unwrap_or_default(),
                    msg,
                };
                node.control_messages += 1;
                node.control_bytes += envelope.encoded_len() as u64;
                self.deliver(at, &to, &Event::Peer(envelope));
            }
            Action::Attempt(attempt) => self.send_attempt(at, run, attempt),
            Action::CancelAttempt(_) => {}
            Action::Answer { call, answer } => self.answers.push(CallAnswer {
                at: self.now,
                vm: at,
                call,
                answer,
            }),
            Action::Platform(call) => self.send_platform(at, run, call),
            Action::Admin(reply) => self.admin_replies.push((at, reply)),
            Action::Note { notice, detail } => self.notices.push(LoggedNotice {
                at: self.now,
                vm: at,
                notice,
                detail,
            }),
        }
    }

    fn delivery_delays(&mut self, from: usize, to: &str) -> Vec<Millis> {
        let from = self.nodes[from].vm.id.clone();
        self.links.delivery_delays(&mut self.rng, from.as_str(), to)
    }

    fn backend_name(&self, backend: Option<usize>) -> String {
        backend.map_or_else(String::new, |b| self.backends[b].name.to_string())
    }

    fn deliver(&mut self, from: usize, to: &VmId, event: &Event) {
        let Some(at) = self.nodes.iter().position(|n| n.vm.id == *to) else {
            return;
        };
        let run = self.nodes[at].vm.incarnation;
        for delay in self.delivery_delays(from, to.as_str()) {
            self.schedule(delay, Arrival::Event(at, run, event.clone()));
        }
    }

    fn packet_at_backend(&mut self, to: SocketAddr, packet: &Bytes) {
        let Some(at) = self.packet_backends.get(&to).copied() else {
            return;
        };
        let Some(packet) = PacketHeaders::parse(packet) else {
            return;
        };
        if !self.backends[at].alive {
            return;
        }
        let known = self.backends[at].on_packet(packet.source, packet.opens_flow());
        self.delivered.push(DeliveredPacket {
            at: self.now,
            backend: at,
            packet,
            known,
        });
    }

    fn send_attempt(&mut self, at: usize, run: Incarnation, attempt: Attempt) {
        let name = self.backend_name(self.request_backends.get(&attempt.to).copied());
        let timeout =
            AttemptOutcome::Unknown(dragonflytrack::core::request::UnknownReason::Timeout);
        let done = Event::AttemptDone(attempt.id, timeout);
        self.schedule(attempt.timeout, Arrival::Event(at, run, done));
        // HTTP over TCP does not duplicate a request, so only one copy is sent. A
        // lost one ends with the timeout scheduled above.
        if let Some(delay) = self.delivery_delays(at, &name).first().copied() {
            self.schedule(delay, Arrival::Request(at, run, attempt));
        }
    }

    fn request_at_backend(&mut self, at: usize, run: Incarnation, attempt: &Attempt) {
        let Some(backend) = self.request_backends.get(&attempt.to).copied() else {
            return;
        };
        let wall = EPOCH + Millis(self.now.0);
        let id = attempt.id;
        match self.backends[backend].on_request(self.now, wall, attempt) {
            Reaction::Immediate(outcome) => self.answer_attempt(backend, at, run, id, outcome),
            Reaction::Delayed(span, outcome) => {
                self.schedule(span, Arrival::Finished(backend, at, run, id, outcome));
            }
        }
    }

    fn answer_attempt(
        &mut self,
        backend: usize,
        at: usize,
        run: Incarnation,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let from = self.backends[backend].name.to_string();
        let to = self.nodes[at].vm.id.to_string();
        let delays = self.links.delivery_delays(&mut self.rng, &from, &to);
        if let Some(delay) = delays.first().copied() {
            let event = Event::AttemptDone(id, outcome);
            self.schedule(delay, Arrival::Event(at, run, event));
        }
    }

    fn send_platform(&mut self, at: usize, run: Incarnation, call: PlatformCall) {
        let watch_time = match &call.op {
            PlatformOp::Watch { timeout, .. } => *timeout,
            _ => Millis(0),
        };
        let no_answer = Arrival::PlatformAnswer(at, run, call.id, PlatformOutcome::NoAnswer);
        self.schedule(Millis(watch_time.0 + ANSWER_TIMEOUT.0), no_answer);
        if let Some(delay) = self.delivery_delays(at, PLATFORM).first().copied() {
            self.schedule(delay, Arrival::Platform(at, run, call));
        }
    }

    fn call_at_platform(&mut self, at: usize, run: Incarnation, call: PlatformCall) {
        self.platform.calls += 1;
        if self.platform.mode == PlatformMode::Down {
            return;
        }
        match self.platform.execute(&call.op) {
            Some(outcome) => {
                if !self.platform.loses_answer(&call.op) {
                    self.answer_platform(at, run, call.id, outcome);
                }
                self.answer_watches();
            }
            None => {
                let PlatformOp::Watch { timeout, .. } = &call.op else {
                    return;
                };
                let until = self.now + *timeout;
                self.watches.push((at, run, call, until));
            }
        }
    }

    fn answer_platform(
        &mut self,
        at: usize,
        run: Incarnation,
        id: PlatformCallId,
        outcome: PlatformOutcome,
    ) {
        let extra_delay = match self.platform.mode {
            PlatformMode::Slow(span) => span,
            PlatformMode::AnswersLost | PlatformMode::Down => return,
            PlatformMode::Normal | PlatformMode::DownAfterWrite => Millis(0),
        };
        let to = self.nodes[at].vm.id.to_string();
        let delays = self.links.delivery_delays(&mut self.rng, PLATFORM, &to);
        if let Some(delay) = delays.first().copied() {
            let answer = Arrival::PlatformAnswer(at, run, id, outcome);
            self.schedule(Millis(delay.0 + extra_delay.0), answer);
        }
    }

    /// Answers the pending watches whose objects have changed.
    pub fn answer_watches(&mut self) {
        for (at, run, call, until) in std::mem::take(&mut self.watches) {
            match self.platform.execute(&call.op) {
                Some(outcome) => self.answer_platform(at, run, call.id, outcome),
                None => self.watches.push((at, run, call, until)),
            }
        }
    }

    fn expire_watches(&mut self) {
        let now = self.now;
        let (expired, open) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(_, _, _, until)| *until <= now);
        self.watches = open;
        let expired: Vec<_> = expired;
        for (at, run, call, _) in expired {
            self.answer_platform(at, run, call.id, PlatformOutcome::Unchanged);
        }
    }
}
