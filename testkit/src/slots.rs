//! Several VMs that share the slots of backend servers, under virtual time.
//!
//! Each VM has a [`Membership`] and a [`Capacity`] or a naive [`Policy`]. What
//! the request machine does is reduced to waiting for a slot, using it once and
//! trying a shed request elsewhere.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    sync::Arc,
};

use dragonflytrack::{
    core::{
        Action,
        Counters,
        Cx,
        PeerMessage,
        capacity::{
            AcquireError,
            Capacity,
            Slot,
            SlotReport,
            SlotResult, //
        },
        configuration::Configuration,
        membership::{
            Membership,
            Seed,
            Vm, //
        },
        message::Envelope,
        names::{
            BackendId,
            Incarnation,
            ServiceId,
            VmId, //
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
    agenda::Agenda,
    cold::{
        ColdBackend,
        LoadReport,
        Reception, //
    },
    links::Links,
};

const EPOCH: WallTime = WallTime(1_800_000_000_000);
const TICK: Millis = Millis(10);

/// How long a request waits for a slot before it is refused.
const PATIENCE: Millis = Millis::from_secs(1);

/// How many backend servers a request tries.
const MAX_TRIES: usize = 3;

/// How the VMs choose backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// As the product does.
    Leases,
    /// Each VM takes the backend servers in turn.
    RoundRobin,
    /// Each VM takes a random backend server.
    Random,
    /// Of two random backend servers, the one whose reported load is less.
    TwoChoices,
}

/// A request that has no final answer.
#[derive(Clone, Debug)]
struct Request {
    service: ServiceId,
    service_time: Millis,
    arrived: Time,
    tried: Vec<BackendId>,
}

#[derive(Debug)]
struct Running {
    request: Request,
    slot: Slot,
    started: Time,
}

/// One VM.
pub struct SlotVm {
    /// The VM.
    pub vm: Vm,
    /// Added to the wall clock that the VM sees, in milliseconds.
    pub skew: i64,
    /// Bytes of messages about slots to other VMs.
    pub slot_bytes: u64,
    /// Messages about slots to other VMs.
    pub slot_messages: u64,
    /// The counts of this run.
    pub counters: Counters,
    membership: Membership,
    capacity: Capacity,
    rng: SmallRng,
    is_alive: bool,
    frozen_until: Option<Time>,
    inbox: Vec<Arrival>,
    waiting: Vec<Request>,
    running: BTreeMap<u64, Running>,
    turn: usize,
}

#[derive(Clone, Debug)]
enum Arrival {
    Message(Envelope),
    Answer(u64, SlotReport),
    Request(Request),
}

#[derive(Debug)]
enum Scheduled {
    AtVm(usize, Incarnation, Arrival),
    AtBackend(usize, Incarnation, u64, BackendId, WallTime, Millis),
}

/// A request that was refused.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// When.
    pub at: Time,
    /// How many requests of the service ran at once, on average over the last
    /// second before.
    pub in_flight: f64,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused.
    pub refused: Vec<Refusal>,
    /// Attempts that a backend server shed.
    pub shed: u64,
    /// Attempts that came after their deadline.
    pub too_late: u64,
    /// How long requests waited for a slot, in all.
    pub waited: Millis,
}

/// Several VMs that share backend servers.
pub struct SlotFleet {
    /// The virtual time.
    pub now: Time,
    /// The configuration in force everywhere.
    pub cfg: Configuration,
    /// The VMs.
    pub vms: Vec<SlotVm>,
    /// How messages between VMs travel.
    pub links: Links,
    /// The backend servers.
    pub backends: BTreeMap<BackendId, ColdBackend>,
    /// How the VMs choose.
    pub policy: Policy,
    /// What backend servers report of their load.
    pub report: LoadReport,
    /// What became of the requests.
    pub tally: Tally,
    /// When each backend server last started a request.
    pub last_start: BTreeMap<BackendId, Time>,
    rng: SmallRng,
    agenda: Agenda<Scheduled>,
    next_tick: Time,
    next_attempt: u64,
    busy_log: VecDeque<Busy>,
}

/// How long requests have run in all, at one moment.
struct Busy {
    at: Time,
    millis: BTreeMap<ServiceId, u64>,
}

impl SlotFleet {
    /// Starts `vms_per_data_centre` VMs in each data centre of `cfg`.
    pub fn new(cfg: &Configuration, vms_per_data_centre: usize, seed: u64) -> SlotFleet {
        let mut fleet = SlotFleet {
            now: Time(0),
            cfg: cfg.clone(),
            vms: Vec::new(),
            links: Links::default(),
            backends: BTreeMap::new(),
            policy: Policy::Leases,
            report: LoadReport::Lagging(Millis::from_secs(10)),
            tally: Tally::default(),
            last_start: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            agenda: Agenda::default(),
            next_tick: Time(0),
            next_attempt: 0,
            busy_log: VecDeque::new(),
        };
        for backend in &cfg.backends {
            let cold = ColdBackend::warm(backend.slots);
            fleet.backends.insert(backend.name.clone(), cold);
        }
        let data_centres = cfg.data_centres.iter();
        let places: Vec<_> = data_centres
            .flat_map(|d| std::iter::repeat_n(d.name.clone(), vms_per_data_centre))
            .collect();
        let vms: Vec<Vm> = places
            .into_iter()
            .enumerate()
            .map(|(at, data_centre)| Vm {
                id: VmId::new(format!("vm{at}")),
                data_centre,
                incarnation: Incarnation(1),
                peer_address: SocketAddr::from(([10, 0, 0, at as u8 + 1], 7_000)),
                relay_address: SocketAddr::from(([10, 0, 0, at as u8 + 1], 7_001)),
            })
            .collect();
        let seeds = seeds(&vms);
        for vm in vms {
            let rng = SmallRng::seed_from_u64(fleet.rng.random());
            fleet.vms.push(SlotVm {
                membership: Membership::new(vm.clone(), seeds.clone(), Time(0)),
                vm,
                skew: 0,
                slot_bytes: 0,
                slot_messages: 0,
                counters: Counters::default(),
                capacity: Capacity::new(),
                rng,
                is_alive: true,
                frozen_until: None,
                inbox: Vec::new(),
                waiting: Vec::new(),
                running: BTreeMap::new(),
                turn: 0,
            });
        }
        fleet
    }

    /// Kills the VM `at`. What it runs goes on at the backend servers.
    pub fn kill(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.is_alive = false;
        vm.inbox.clear();
        vm.waiting.clear();
        vm.running.clear();
        vm.frozen_until = None;
    }

    /// Starts a new run of the VM `at`.
    pub fn start(&mut self, at: usize) {
        let vms: Vec<_> = self.vms.iter().map(|v| v.vm.clone()).collect();
        let seeds = seeds(&vms);
        let now = self.now;
        self.kill(at);
        let vm = &mut self.vms[at];
        vm.vm.incarnation = Incarnation(vm.vm.incarnation.0.max(now.0) + 1);
        vm.membership = Membership::new(vm.vm.clone(), seeds, now);
        vm.capacity = Capacity::new();
        vm.counters = Counters::default();
        vm.is_alive = true;
    }

    /// Freezes the VM `at` for `span`. What it sent within the last moment
    /// leaves it only when it wakes.
    pub fn freeze(&mut self, at: usize, span: Millis) {
        self.vms[at].frozen_until = Some(self.now + span);
        self.agenda.reschedule(|due, what| match what {
            Scheduled::AtBackend(vm, ..) if *vm == at => due + span,
            _ => due,
        });
    }

    /// Begins a planned stop of the VM `at`.
    pub fn stop(&mut self, at: usize) {
        self.with_cx(at, |vm, cx| {
            vm.capacity.stop(cx);
            vm.membership.leave(cx);
        });
    }

    /// Puts `cfg` in force on all VMs.
    pub fn configure(&mut self, cfg: Configuration) {
        self.cfg = cfg;
        for at in 0..self.vms.len() {
            self.with_cx(at, |vm, cx| vm.capacity.on_configuration(cx));
        }
    }

    /// Tells whether the VM `at` takes requests.
    pub fn is_serving(&self, at: usize) -> bool {
        self.vms[at].is_alive && self.vms[at].frozen_until.is_none()
    }

    /// Returns the VMs that own `backend` now.
    pub fn owners(&self, backend: &BackendId) -> Vec<usize> {
        let owns = |vm: &SlotVm| vm.is_alive && vm.capacity.owned().any(|b| b == backend);
        (0..self.vms.len())
            .filter(|at| owns(&self.vms[*at]))
            .collect()
    }

    /// Hands a request to the VM `at`.
    pub fn request(&mut self, at: usize, service: &ServiceId, service_time: Millis) {
        let request = Request {
            service: service.clone(),
            service_time,
            arrived: self.now,
            tried: Vec::new(),
        };
        if self.vms[at].is_alive {
            self.deliver(at, Arrival::Request(request));
        }
    }

    /// Hands requests for `service` to random live VMs for `span`: on average
    /// `concurrency` of them would run at once, each for `service_time`.
    pub fn load(
        &mut self,
        service: &ServiceId,
        concurrency: f64,
        service_time: Millis,
        span: Millis,
    ) {
        let end = self.now + span;
        let gap = service_time.0 as f64 / concurrency;
        let mut next = self.now.0 as f64;
        loop {
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            next -= uniform.ln() * gap;
            if next >= end.0 as f64 {
                break;
            }
            self.run_until(Time(next as u64));
            let live: Vec<_> = (0..self.vms.len())
                .filter(|at| self.is_serving(*at))
                .collect();
            if live.is_empty() {
                continue;
            }
            let at = live[self.rng.random_range(0..live.len())];
            let jitter = self.rng.random_range(0.5..1.5);
            let service_time = Millis((service_time.0 as f64 * jitter) as u64);
            self.request(at, service, service_time);
        }
        self.run_until(end);
    }

    /// Lets `span` of virtual time pass.
    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    fn run_until(&mut self, end: Time) {
        loop {
            let next = self.agenda.next_at().unwrap_or(end);
            let due = next.min(self.next_tick);
            if due > end {
                break;
            }
            self.now = self.now.max(due);
            if self.next_tick <= due {
                self.tick();
                continue;
            }
            let Some(what) = self.agenda.pop() else {
                break;
            };
            self.arrive(what);
        }
        self.now = self.now.max(end);
    }

    /// Returns how many requests ran at once on the backend servers of
    /// `service`, on average over the last second.
    pub fn recent_in_flight(&mut self, service: &ServiceId) -> f64 {
        let busy = self.busy_millis(service);
        let Some((at, before)) = self
            .busy_log
            .front()
            .and_then(|b| Some((b.at, *b.millis.get(service)?)))
        else {
            return 0.0;
        };
        (busy - before) as f64 / self.now.since(at).0.max(1) as f64
    }

    fn busy_millis(&mut self, service: &ServiceId) -> u64 {
        let now = self.now;
        let mut millis = 0;
        for backend in self.cfg.backends_of(service) {
            if let Some(cold) = self.backends.get_mut(&backend.name) {
                cold.pass_time(now);
                millis += cold.busy_millis;
            }
        }
        millis
    }

    fn log_busy(&mut self) {
        const WINDOW: Millis = Millis::from_secs(1);
        let services: Vec<_> = self.cfg.services.iter().map(|s| s.name.clone()).collect();
        let busy = |name: ServiceId| {
            let millis = self.busy_millis(&name);
            (name, millis)
        };
        let millis = services.into_iter().map(busy).collect();
        self.busy_log.push_back(Busy {
            at: self.now,
            millis,
        });
        let now = self.now;
        while self
            .busy_log
            .front()
            .is_some_and(|b| now.since(b.at) > WINDOW)
        {
            self.busy_log.pop_front();
        }
    }

    /// Returns how many requests run now on the backend servers of `service`.
    pub fn in_flight(&mut self, service: &ServiceId) -> usize {
        let now = self.now;
        let mut running = 0;
        for backend in self.cfg.backends_of(service) {
            if let Some(cold) = self.backends.get_mut(&backend.name) {
                cold.pass_time(now);
                running += cold.running.len();
            }
        }
        running
    }

    /// Starts a new measurement of [`SlotFleet::imbalance`].
    pub fn reset_imbalance(&mut self) {
        let now = self.now;
        for backend in self.backends.values_mut() {
            backend.pass_time(now);
            backend.busy_millis = 0;
        }
        self.busy_log.clear();
    }

    /// Returns the largest over the mean of the requests in flight per backend
    /// server of `service`, each averaged since the last reset.
    pub fn imbalance(&mut self, service: &ServiceId) -> f64 {
        let now = self.now;
        for backend in self.backends.values_mut() {
            backend.pass_time(now);
        }
        let busy: Vec<_> = self
            .cfg
            .backends_of(service)
            .map(|b| self.backends[&b.name].busy_millis)
            .collect();
        let largest = busy.iter().copied().max().unwrap_or(0) as f64;
        largest * busy.len() as f64 / busy.iter().sum::<u64>().max(1) as f64
    }

    /// Returns the sum of `of` over all backend servers.
    pub fn sum(&self, of: impl Fn(&ColdBackend) -> u64) -> u64 {
        self.backends.values().map(of).sum()
    }

    fn tick(&mut self) {
        self.next_tick = self.now + TICK;
        for at in 0..self.vms.len() {
            self.thaw(at);
            if self.vms[at].frozen_until.is_some() {
                continue;
            }
            self.with_cx(at, |vm, cx| {
                vm.membership.tick(cx);
                vm.capacity.tick(cx);
            });
            self.retry_waiting(at);
        }
        self.log_busy();
    }

    fn thaw(&mut self, at: usize) {
        let now = self.now;
        let vm = &mut self.vms[at];
        if vm.frozen_until.is_none_or(|until| until > now) {
            return;
        }
        vm.frozen_until = None;
        for arrival in std::mem::take(&mut vm.inbox) {
            self.deliver(at, arrival);
        }
    }

    fn arrive(&mut self, what: Scheduled) {
        match what {
            Scheduled::AtVm(at, run, arrival) => {
                if self.vms[at].is_alive && self.vms[at].vm.incarnation == run {
                    self.deliver(at, arrival);
                }
            }
            Scheduled::AtBackend(at, run, attempt, backend, deadline, service_time) => {
                self.at_backend(at, run, attempt, &backend, deadline, service_time);
            }
        }
    }

    fn deliver(&mut self, at: usize, arrival: Arrival) {
        let vm = &mut self.vms[at];
        if vm.frozen_until.is_some() {
            vm.inbox.push(arrival);
            return;
        }
        match arrival {
            Arrival::Message(envelope) => self.on_message(at, envelope),
            Arrival::Answer(attempt, report) => self.on_answer(at, attempt, report),
            Arrival::Request(request) => {
                vm.waiting.push(request);
                self.retry_last(at);
            }
        }
    }

    fn on_message(&mut self, at: usize, envelope: Envelope) {
        let from = envelope.from;
        let is_about_slots = self.with_cx(at, |vm, cx| match envelope.msg {
            PeerMessage::Membership(msg) => {
                vm.membership.on_message(cx, &from, msg);
                false
            }
            PeerMessage::Capacity(msg) => {
                vm.capacity.on_message(cx, &from, msg);
                true
            }
            _ => false,
        });
        if is_about_slots == Some(true) {
            self.retry_waiting(at);
        }
    }

    fn on_answer(&mut self, at: usize, attempt: u64, report: SlotReport) {
        let Some(running) = self.vms[at].running.remove(&attempt) else {
            return;
        };
        let report = SlotReport {
            elapsed: self.now.since(running.started),
            ..report
        };
        if self.policy == Policy::Leases {
            self.with_cx(at, |vm, cx| vm.capacity.release(cx, &running.slot, report));
        }
        if report.result == SlotResult::Answered {
            self.tally.answered += 1;
            self.retry_waiting(at);
            return;
        }
        let mut request = running.request;
        request.tried.push(running.slot.backend);
        if request.tried.len() >= MAX_TRIES {
            self.refuse(&request);
            return;
        }
        self.vms[at].waiting.push(request);
        self.retry_waiting(at);
    }

    fn retry_last(&mut self, at: usize) {
        if let Some(request) = self.vms[at].waiting.pop() {
            self.try_request(at, request);
        }
    }

    fn retry_waiting(&mut self, at: usize) {
        for request in std::mem::take(&mut self.vms[at].waiting) {
            self.try_request(at, request);
        }
    }

    fn try_request(&mut self, at: usize, request: Request) {
        match self.acquire(at, &request) {
            Ok(slot) => self.dispatch(at, request, slot),
            Err(AcquireError::Pending) if self.now.since(request.arrived) < PATIENCE => {
                self.vms[at].waiting.push(request);
            }
            Err(_) => self.refuse(&request),
        }
    }

    fn refuse(&mut self, request: &Request) {
        let in_flight = self.recent_in_flight(&request.service);
        self.tally.refused.push(Refusal {
            at: self.now,
            in_flight,
        });
    }

    fn acquire(&mut self, at: usize, request: &Request) -> Result<Slot, AcquireError> {
        if self.policy != Policy::Leases {
            return Ok(self.choose_naively(at, request));
        }
        self.with_cx(at, |vm, cx| {
            vm.capacity.acquire(cx, &request.service, &request.tried)
        })
        .unwrap_or(Err(AcquireError::Busy))
    }

    fn choose_naively(&mut self, at: usize, request: &Request) -> Slot {
        let names: Vec<_> = self
            .cfg
            .backends_of(&request.service)
            .filter(|b| self.cfg.new_work_share(b) > 0)
            .map(|b| b.name.clone())
            .collect();
        let mut random = || self.rng.random_range(0..names.len());
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.vms[at].turn += 1;
                self.vms[at].turn % names.len()
            }
            Policy::TwoChoices => {
                let (a, b) = (random(), random());
                let load = |n: usize| self.backends[&names[n]].reported_load(self.now, self.report);
                if load(a) <= load(b) { a } else { b }
            }
            Policy::Random | Policy::Leases => random(),
        };
        Slot {
            id: dragonflytrack::core::capacity::SlotId(0),
            backend: names[chosen].clone(),
            until: EPOCH + Millis(self.now.0) + Millis::from_secs(10),
        }
    }

    fn dispatch(&mut self, at: usize, request: Request, slot: Slot) {
        self.tally.waited.0 += self.now.since(request.arrived).0;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let run = self.vms[at].vm.incarnation;
        let what = Scheduled::AtBackend(
            at,
            run,
            attempt,
            slot.backend.clone(),
            slot.until,
            request.service_time,
        );
        self.schedule(Millis(1), what);
        let running = Running {
            request,
            slot,
            started: self.now,
        };
        self.vms[at].running.insert(attempt, running);
    }

    fn at_backend(
        &mut self,
        at: usize,
        run: Incarnation,
        attempt: u64,
        name: &BackendId,
        deadline: WallTime,
        service_time: Millis,
    ) {
        let wall = EPOCH + Millis(self.now.0);
        let now = self.now;
        let Some(backend) = self.backends.get_mut(name) else {
            return;
        };
        let reception = backend.offer(now, wall, deadline, service_time);
        let run_name = backend.names_run.then_some(backend.run);
        let (delay, result) = match reception {
            Reception::Runs(span) => (span, SlotResult::Answered),
            Reception::Sheds => (Millis(0), SlotResult::Shed),
            Reception::TooLate => (Millis(0), SlotResult::Unused),
            Reception::Unreachable => (Millis(0), SlotResult::Unreachable),
        };
        match reception {
            Reception::Sheds => self.tally.shed += 1,
            Reception::TooLate => self.tally.too_late += 1,
            _ => {
                self.last_start.insert(name.clone(), now);
            }
        }
        let report = SlotReport {
            result,
            elapsed: Millis(0),
            backend_run: run_name,
        };
        let answer = Scheduled::AtVm(at, run, Arrival::Answer(attempt, report));
        self.schedule(Millis(delay.0 + 1), answer);
    }

    fn schedule(&mut self, delay: Millis, what: Scheduled) {
        self.agenda.add(self.now + delay, what);
    }

    /// Runs `f` on the VM `at` unless it is dead or frozen, and carries out
    /// what it decides.
    fn with_cx<T>(
        &mut self,
        at: usize,
        f: impl FnOnce(&mut SlotVm, &mut Cx<'_>) -> T,
    ) -> Option<T> {
        let vm = &mut self.vms[at];
        if !vm.is_alive || vm.frozen_until.is_some() {
            return None;
        }
        let mut out = Vec::new();
        vm.membership.detect_pause(self.now);
        let view = Arc::clone(vm.membership.view());
        let mut rng = vm.rng.clone();
        let mut counters = std::mem::take(&mut vm.counters);
        let wall = WallTime((EPOCH.0 + self.now.0).saturating_add_signed(vm.skew));
        let mut cx = Cx {
            now: self.now,
            wall,
            view: &view,
            cfg: &self.cfg,
            rng: &mut rng,
            counters: &mut counters,
            out: &mut out,
        };
        let result = f(vm, &mut cx);
        let new_view = Arc::clone(vm.membership.view());
        if new_view.version != view.version {
            cx.view = &new_view;
            vm.capacity.on_view(&mut cx);
        }
        vm.rng = rng;
        vm.counters = counters;
        for action in out {
            if let Action::Peer { to, msg } = action {
                self.send(at, &to, msg);
            }
        }
        Some(result)
    }

    fn send(&mut self, from: usize, to: &VmId, msg: PeerMessage) {
        let Some(to) = self.vms.iter().position(|v| v.vm.id == *to) else {
            return;
        };
        let run = self.vms[to].vm.incarnation;
        let vm = &mut self.vms[from];
        let is_about_slots = matches!(msg, PeerMessage::Capacity(_));
        let envelope = Envelope {
            from: vm.vm.id.clone(),
            incarnation: vm.vm.incarnation,
            to_incarnation: run,
            msg,
        };
        if is_about_slots {
            vm.slot_messages += 1;
            vm.slot_bytes += envelope.encoded_len() as u64;
        }
        let from_name = self.vms[from].vm.id.to_string();
        let to_name = self.vms[to].vm.id.to_string();
        for delay in self
            .links
            .delivery_delays(&mut self.rng, &from_name, &to_name)
        {
            let arrival = Arrival::Message(envelope.clone());
            self.schedule(delay, Scheduled::AtVm(to, run, arrival));
        }
    }
}

fn seeds(vms: &[Vm]) -> Vec<Seed> {
    vms.iter()
        .map(|vm| Seed {
            id: vm.id.clone(),
            peer_address: vm.peer_address,
        })
        .collect()
}
