//! Steering machines under virtual time, with a fake store, fake links and fake
//! backend servers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
};

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            Incarnation,
            ServiceId,
            VmId, //
        },
        steering::{
            Action, Identity, Steering, TICK,
            decision::Decision,
            failure_detector::ProbeOutcome,
            packet::{
                FlowId,
                Packet,
                Reset,
                Role,
                Verdict, //
            },
            peers::{
                Contact,
                KindQuery,
                PeerMessage,
                SnapshotRequest, //
            },
            store::{
                BackendServer,
                Change,
                Configuration,
                Kind,
                Object,
                Revision,
                Route,
                Service,
                Share,
                StoreAnswer,
                StoreCall,
                Value, //
            },
            store_reader::Step,
            tag::{
                BackendKey,
                Tag, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The time of one step.
const STEP: Millis = Millis(5);

/// How long a store that is away leaves a call unanswered.
const NO_ANSWER_AFTER: Millis = Millis(700);

/// How long a probe of a silent backend server takes.
const PROBE_TIME: Millis = Millis(240);

/// The objects of a kind that one page of a list has.
const PAGE: usize = 3;

/// A store in memory.
#[derive(Debug, Default)]
pub struct FakeStore {
    revision: u64,
    objects: BTreeMap<(Kind, String), Object>,
    history: Vec<(u64, Kind, Change)>,
    /// Changes up to this version are no longer kept.
    forgotten: u64,
    /// Where VMs said that they may be found.
    contacts: Vec<Contact>,
}

impl FakeStore {
    /// Writes an object. Returns its version.
    pub fn put(&mut self, kind: Kind, name: &str, value: Option<Value>) -> Revision {
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: Revision(self.revision),
            value,
        };
        self.objects.insert((kind, name.to_owned()), object.clone());
        self.record(kind, object, false);
        Revision(self.revision)
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind, name.to_owned())) {
            self.revision += 1;
            object.revision = Revision(self.revision);
            self.record(kind, object, true);
        }
    }

    /// Drops the history, as a store may at any time.
    pub fn compact(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    fn record(&mut self, kind: Kind, object: Object, removed: bool) {
        let change = Change { object, removed };
        self.history.push((self.revision, kind, change));
    }

    /// Answers a call, or returns `None` if a watch has to wait.
    fn answer(&self, call: &StoreCall) -> Option<StoreAnswer> {
        let revision = Revision(self.revision);
        match call {
            StoreCall::List { kind, after, .. } => Some(self.page(*kind, after.as_deref())),
            StoreCall::Watch { since, .. } if since.0 < self.forgotten => {
                Some(StoreAnswer::HistoryGone)
            }
            StoreCall::Watch { kind, since, .. } => {
                let changes: Vec<Change> = self
                    .history
                    .iter()
                    .filter(|(at, k, _)| *at > since.0 && k == kind)
                    .map(|(_, _, change)| change.clone())
                    .collect();
                (!changes.is_empty()).then_some(StoreAnswer::Changes { changes, revision })
            }
            StoreCall::Lookup => Some(StoreAnswer::Contacts(self.contacts.clone())),
            StoreCall::Register { .. } => Some(StoreAnswer::Registered),
        }
    }

    fn page(&self, kind: Kind, after: Option<&str>) -> StoreAnswer {
        let all = self
            .objects
            .iter()
            .filter(|((k, name), _)| *k == kind && after.is_none_or(|a| name.as_str() > a))
            .map(|(_, object)| object.clone());
        let mut objects: Vec<Object> = all.collect();
        let more = objects.len() > PAGE;
        objects.truncate(PAGE);
        StoreAnswer::Page {
            objects,
            more,
            revision: Revision(self.revision),
        }
    }
}

struct Calling {
    call: StoreCall,
    sent: Time,
}

/// One VM of the world.
struct Machine {
    steering: Steering,
    calling: BTreeMap<Kind, Calling>,
    paused_until: BTreeMap<Kind, Time>,
}

/// Something on its way.
#[expect(clippy::large_enum_variant, reason = "few are on their way at once")]
enum Delivery {
    Heartbeat {
        from: usize,
        to: usize,
    },
    Message {
        from: usize,
        to: usize,
        msg: PeerMessage,
    },
    Pull {
        from: usize,
        to: usize,
        queries: Vec<KindQuery>,
    },
    Probe {
        vm: usize,
        tag: Tag,
        outcome: ProbeOutcome,
    },
}

/// VMs, a store, and what lies between.
pub struct World {
    /// The time.
    pub now: Time,
    /// The store.
    pub store: FakeStore,
    /// The VMs that the store does not answer.
    pub storeless: BTreeSet<usize>,
    /// Whether the store refuses these at once instead of staying silent.
    pub refuses: bool,
    /// The pairs of VMs that do not reach each other, lower number first.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The backend servers that do not react, for a VM.
    pub silent: BTreeSet<(usize, Tag)>,
    /// The resets that VMs sent.
    pub resets: Vec<(usize, Reset)>,
    /// The calls that VMs made of the store.
    pub calls: usize,
    /// The probes that each VM sent.
    pub probes: BTreeMap<usize, usize>,
    /// What VMs decided.
    pub decisions: Vec<(usize, Decision)>,
    machines: Vec<Option<Machine>>,
    deliveries: Vec<(Time, Delivery)>,
    places: Vec<DataCentreId>,
    seeds: Vec<SocketAddrV4>,
}

impl World {
    /// Gives VMs that start from now on other addresses to find each other.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.to_vec();
    }

    /// Starts `places.len()` VMs, each in the data centre that is named.
    pub fn start(places: &[&str]) -> World {
        let mut world = World {
            now: Time(1_000),
            store: FakeStore::default(),
            storeless: BTreeSet::new(),
            refuses: false,
            cuts: BTreeSet::new(),
            silent: BTreeSet::new(),
            resets: Vec::new(),
            calls: 0,
            probes: BTreeMap::new(),
            decisions: Vec::new(),
            machines: Vec::new(),
            deliveries: Vec::new(),
            seeds: (0..places.len().min(3)).map(address).collect(),
            places: places.iter().map(DataCentreId::new).collect(),
        };
        for at in 0..places.len() {
            world.machines.push(None);
            world.restart(at);
        }
        world
    }

    /// Starts a VM, or starts it again without memory.
    pub fn restart(&mut self, at: usize) {
        let me = Identity {
            vm: VmId::new(format!("vm-{at:03}")),
            incarnation: Incarnation(self.now.0),
            data_centre: self.places[at].clone(),
            address: address(at),
            millicores: 250,
        };
        self.machines[at] = Some(Machine {
            steering: Steering::open(me, &self.seeds, at as u64 + 7, self.now),
            calling: BTreeMap::new(),
            paused_until: BTreeMap::new(),
        });
    }

    /// Ends a VM without notice.
    pub fn kill(&mut self, at: usize) {
        self.machines[at] = None;
    }

    /// The machine of a VM.
    ///
    /// # Panics
    ///
    /// Panics if the VM was killed.
    pub fn vm(&mut self, at: usize) -> &mut Steering {
        let machine = self.machines[at].as_mut();
        &mut machine.expect("the VM runs").steering
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for at in 0..self.machines.len() {
                self.step(at);
            }
        }
    }

    /// Gives a VM a packet and returns its decision.
    pub fn packet(&mut self, at: usize, packet: &Packet) -> Verdict {
        let now = self.now;
        let verdict = self.vm(at).on_packet(packet, now);
        self.act(at);
        verdict
    }

    fn step(&mut self, at: usize) {
        if self.machines[at].is_none() {
            return;
        }
        for kind in Kind::ALL {
            self.read(at, kind);
        }
        if self.now.0.is_multiple_of(TICK.0) {
            let now = self.now;
            self.vm(at).tick(now);
            self.register(at);
        }
        self.act(at);
    }

    fn read(&mut self, at: usize, kind: Kind) {
        let now = self.now;
        let is_storeless = self.storeless.contains(&at);
        let Some(machine) = self.machines[at].as_mut() else {
            return;
        };
        if let Some(Calling { call, sent }) = machine.calling.get(&kind) {
            let waited = now.since(*sent);
            let answer = match is_storeless {
                true if self.refuses => Some(StoreAnswer::Busy),
                true if waited >= call.wait() + NO_ANSWER_AFTER => Some(StoreAnswer::NoAnswer),
                true => None,
                false => self.store.answer(call).or_else(|| {
                    (waited >= call.wait()).then_some(StoreAnswer::Changes {
                        changes: Vec::new(),
                        revision: Revision(self.store.revision),
                    })
                }),
            };
            let (call, sent) = (call.clone(), *sent);
            if let Some(answer) = answer {
                machine.calling.remove(&kind);
                machine.steering.on_answer(&call, answer, sent, now);
            }
            return;
        }
        if machine.paused_until.get(&kind).is_some_and(|t| now < *t) {
            return;
        }
        match machine.steering.next_call(kind, now) {
            Step::Wait(span) => {
                machine.paused_until.insert(kind, now + span);
            }
            Step::Call(call) => {
                self.calls += 1;
                machine.calling.insert(kind, Calling { call, sent: now });
            }
        }
    }

    fn register(&mut self, at: usize) {
        let now = self.now;
        let Some(call) = self.vm(at).next_registration(now) else {
            return;
        };
        self.calls += 1;
        if let StoreCall::Register { contact, .. } = &call {
            self.store.contacts.push(contact.clone());
        }
        if let Some(answer) = self.store.answer(&call) {
            self.vm(at).on_registration(answer, now);
        }
    }

    fn act(&mut self, at: usize) {
        let actions = self.vm(at).take_actions();
        let decisions = self.vm(at).take_decisions();
        self.decisions
            .extend(decisions.into_iter().map(|d| (at, d)));
        for action in actions {
            match action {
                Action::Reset(reset) => self.resets.push((at, reset)),
                Action::Heartbeat { to } => {
                    let to = number(to);
                    self.later(STEP, Delivery::Heartbeat { from: at, to });
                }
                Action::Send { to, msg } => {
                    let (from, to) = (at, number(to));
                    self.later(STEP, Delivery::Message { from, to, msg });
                }
                Action::Pull { from, queries } => {
                    let from = number(from);
                    self.later(
                        STEP,
                        Delivery::Pull {
                            from,
                            to: at,
                            queries,
                        },
                    );
                }
                Action::Probe { tag, .. } => self.probe(at, tag),
            }
        }
    }

    fn probe(&mut self, vm: usize, tag: Tag) {
        *self.probes.entry(vm).or_default() += 1;
        let (after, outcome) = match self.silent.contains(&(vm, tag)) {
            true => (PROBE_TIME, ProbeOutcome::TimedOut),
            false => (STEP, ProbeOutcome::Accepted),
        };
        self.later(after, Delivery::Probe { vm, tag, outcome });
    }

    fn later(&mut self, after: Millis, delivery: Delivery) {
        self.deliveries.push((self.now + after, delivery));
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.deliveries = later;
        let due: Vec<(Time, Delivery)> = due;
        for (_, delivery) in due {
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Heartbeat { from, to } if self.reaches(from, to) => {
                let heartbeat = self.vm(from).heartbeat(address(to), now);
                self.vm(to).on_heartbeat(heartbeat, now);
                self.act(to);
            }
            Delivery::Message { from, to, msg } if self.reaches(from, to) => {
                self.vm(to).on_message(msg, now);
                self.act(to);
            }
            Delivery::Pull { from, to, queries } if self.reaches(from, to) => {
                let request = SnapshotRequest { queries };
                let snapshot = self.vm(from).snapshot(&request, now);
                self.vm(to).on_snapshot(snapshot, now);
                self.act(to);
            }
            Delivery::Probe { vm, tag, outcome } if self.machines[vm].is_some() => {
                self.vm(vm).on_probe(tag, outcome, now);
                self.act(vm);
            }
            _ => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let runs = |at: usize| self.machines.get(at).is_some_and(Option::is_some);
        runs(from) && runs(to) && !self.is_cut(from, to)
    }

    /// Writes a backend server to the store.
    pub fn put_backend(&mut self, server: &BackendServer) -> Tag {
        let value = Value::BackendServer(server.clone());
        let name = name_of(server.key);
        self.store.put(Kind::BackendServers, &name, Some(value));
        Tag::of(server.key)
    }

    /// Removes a backend server from the store.
    pub fn remove_backend(&mut self, server: &BackendServer) {
        let name = name_of(server.key);
        self.store.remove(Kind::BackendServers, &name);
    }

    /// Writes a configuration with one route to each of `shares`, which are
    /// services with weights.
    pub fn configure(&mut self, version: u64, shares: &[(&str, u32)]) -> Revision {
        let value = Value::Configuration(configuration(version, shares));
        self.store.put(Kind::Configuration, "main", Some(value))
    }
}

/// The address of a VM.
fn address(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(10, 0, (at / 250) as u8, (at % 250) as u8 + 1),
        7_000,
    )
}

fn number(address: SocketAddrV4) -> usize {
    let octets = address.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1
}

fn name_of(key: BackendKey) -> String {
    format!("b-{:08x}", key.0)
}

/// The address of the one route of [`configuration`].
pub fn route_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// A configuration with one route.
pub fn configuration(version: u64, shares: &[(&str, u32)]) -> Configuration {
    let share = |(name, weight): &(&str, u32)| Share {
        service: ServiceId::new(name),
        weight: *weight,
    };
    let service = |(name, _): &(&str, u32)| Service {
        name: ServiceId::new(name),
        cold_start: Millis(2_000),
        cold_flows_per_second: 0.0,
    };
    Configuration {
        version,
        routes: vec![Route {
            address: route_address(),
            shares: shares.iter().map(share).collect(),
        }],
        services: shares.iter().map(service).collect(),
        idle_timeout: Millis(15_000),
    }
}

/// A warm backend server of the service `web`.
pub fn backend(key: u64, place: &str) -> BackendServer {
    BackendServer {
        key: BackendKey(key),
        service: ServiceId::new("web"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, (key % 250) as u8 + 1), 8_080),
        data_centre: DataCentreId::new(place),
        slots: 4,
        draining: false,
        cold_for: Millis(0),
        started: 1_000,
    }
}

/// The flow of a client with the given port.
pub fn flow(port: u16) -> FlowId {
    FlowId {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: route_address(),
    }
}

/// A packet that opens a flow.
pub fn opening(port: u16, copy: u32) -> Packet {
    Packet {
        flow: flow(port),
        tag: None,
        role: Role::Open { copy },
        seq: 100,
        ack: copy,
        len: 0,
    }
}

/// A packet with data of an open flow.
pub fn data(port: u16, tag: Tag, seq: u32, ack: u32) -> Packet {
    Packet {
        flow: flow(port),
        tag: Some(tag),
        role: Role::Continue {
            closes: false,
            rejects: false,
        },
        seq,
        ack,
        len: 100,
    }
}

/// A packet without data of an open flow.
pub fn acknowledgement(port: u16, tag: Tag, seq: u32, ack: u32) -> Packet {
    Packet {
        len: 0,
        ..data(port, tag, seq, ack)
    }
}
