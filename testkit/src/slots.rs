//! A simulation of several VMs that share the slots of backend servers, in
//! virtual time.
//!
//! Each VM runs the state machines [`Membership`] and [`Capacity`], or selects
//! backend servers by a simpler [`Policy`]. A request waits for a slot, uses it
//! once and is retried on another backend server if it fails.

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
    cold::{
        Admission, //
        ColdBackend,
        LoadReport,
    },
    event_queue::EventQueue,
    links::Links,
};

const EPOCH: WallTime = WallTime(1_800_000_000_000);
const TICK: Millis = Millis(10);

/// How long a request may wait for a slot before it is refused.
const QUEUE_TIMEOUT: Millis = Millis::from_secs(1);

/// How many backend servers a request is tried on.
const MAX_TRIES: usize = 3;

/// How the VMs select backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By the leases of [`Capacity`], as in production.
    Leases,
    /// Each VM cycles through the backend servers.
    RoundRobin,
    /// Uniformly at random.
    Random,
    /// The one of two random backend servers with the lower reported load.
    TwoChoices,
}

/// A request without a final result.
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

/// One simulated VM.
pub struct SlotVm {
    /// Its identity, addresses and run.
    pub vm: Vm,
    /// The offset of its wall clock in milliseconds.
    pub skew: i64,
    /// Bytes of capacity messages sent to other VMs.
    pub slot_bytes: u64,
    /// Number of capacity messages sent to other VMs.
    pub slot_messages: u64,
    /// The counters of the current run.
    pub counters: Counters,
    membership: Membership,
    capacity: Capacity,
    rng: SmallRng,
    is_alive: bool,
    frozen_until: Option<Time>,
    inbox: Vec<Arrival>,
    waiting: Vec<Request>,
    running: BTreeMap<u64, Running>,
    round_robin: usize,
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
    /// When it was refused.
    pub at: Time,
    /// The mean number of concurrent requests of the service during the second
    /// before.
    pub in_flight: f64,
}

/// The results of all requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused.
    pub refused: Vec<Refusal>,
    /// Attempts that a backend server rejected because of its load.
    pub shed: u64,
    /// Attempts that reached a backend server after their deadline.
    pub too_late: u64,
    /// The total time that requests waited for a slot.
    pub waited: Millis,
}

/// Several simulated VMs that share backend servers.
pub struct SlotFleet {
    /// The current virtual time.
    pub now: Time,
    /// The configuration in force on all VMs.
    pub cfg: Configuration,
    /// The VMs, in the order of their indices.
    pub vms: Vec<SlotVm>,
    /// The network between the VMs.
    pub links: Links,
    /// The backend servers by name.
    pub backends: BTreeMap<BackendId, ColdBackend>,
    /// How the VMs select backend servers.
    pub policy: Policy,
    /// How backend servers misreport their load, for [`Policy::TwoChoices`].
    pub report: LoadReport,
    /// The results of all requests since the last reset.
    pub tally: Tally,
    /// When a request last started on each backend server.
    pub last_start: BTreeMap<BackendId, Time>,
    rng: SmallRng,
    events: EventQueue<Scheduled>,
    next_tick: Time,
    next_attempt: u64,
    busy_samples: VecDeque<BusySample>,
}

/// The total run time of the requests of each service up to one point in time.
struct BusySample {
    at: Time,
    millis: BTreeMap<ServiceId, u64>,
}

impl SlotFleet {
    /// Starts `vms_per_data_centre` VMs in each data centre of `cfg`.
    pub fn open(cfg: &Configuration, vms_per_data_centre: usize, seed: u64) -> SlotFleet {
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
            events: EventQueue::default(),
            next_tick: Time(0),
            next_attempt: 0,
            busy_samples: VecDeque::new(),
        };
        for backend in &cfg.backends {
            let cold = ColdBackend::warm(backend.slots);
            fleet.backends.insert(backend.name.clone(), cold);
        }
        let data_centres = cfg.data_centres.iter();
        let placement: Vec<_> = data_centres
            .flat_map(|d| std::iter::repeat_n(d.name.clone(), vms_per_data_centre))
            .collect();
        let vms: Vec<Vm> = placement
            .into_iter()
            .enumerate()
            .map(|(index, data_centre)| Vm {
                id: VmId::new(format!("vm{index}")),
                data_centre,
                incarnation: Incarnation(1),
                peer_address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_000)),
                relay_address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_001)),
            })
            .collect();
        let seeds = seeds(&vms);
        for vm in vms {
            let rng = SmallRng::seed_from_u64(fleet.rng.random());
            fleet.vms.push(SlotVm {
                membership: Membership::open(vm.clone(), seeds.clone(), Time(0)),
                vm,
                skew: 0,
                slot_bytes: 0,
                slot_messages: 0,
                counters: Counters::default(),
                capacity: Capacity::open(),
                rng,
                is_alive: true,
                frozen_until: None,
                inbox: Vec::new(),
                waiting: Vec::new(),
                running: BTreeMap::new(),
                round_robin: 0,
            });
        }
        fleet
    }

    /// Kills the VM `index`. Its requests keep running on the backend servers.
    pub fn kill(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.is_alive = false;
        vm.inbox.clear();
        vm.waiting.clear();
        vm.running.clear();
        vm.frozen_until = None;
    }

    /// Starts a new run of the VM `index`, killing the current one.
    pub fn start(&mut self, index: usize) {
        let vms: Vec<_> = self.vms.iter().map(|v| v.vm.clone()).collect();
        let seeds = seeds(&vms);
        let now = self.now;
        self.kill(index);
        let vm = &mut self.vms[index];
        vm.vm.incarnation = Incarnation(vm.vm.incarnation.0.max(now.0) + 1);
        vm.membership = Membership::open(vm.vm.clone(), seeds, now);
        vm.capacity = Capacity::open();
        vm.counters = Counters::default();
        vm.is_alive = true;
    }

    /// Freezes the VM `index` for `span`. Requests that it is just sending to
    /// backend servers are delayed by as much.
    pub fn freeze(&mut self, index: usize, span: Millis) {
        self.vms[index].frozen_until = Some(self.now + span);
        self.events.reschedule(|due, event| match event {
            Scheduled::AtBackend(vm, ..) if *vm == index => due + span,
            _ => due,
        });
    }

    /// Begins a graceful shutdown of the VM `index`.
    pub fn stop(&mut self, index: usize) {
        self.with_cx(index, |vm, cx| {
            vm.capacity.stop(cx);
            vm.membership.leave(cx);
        });
    }

    /// Applies `cfg` to all VMs.
    pub fn configure(&mut self, cfg: Configuration) {
        self.cfg = cfg;
        for index in 0..self.vms.len() {
            self.with_cx(index, |vm, cx| vm.capacity.on_configuration(cx));
        }
    }

    /// Returns whether the VM `index` is alive and not frozen.
    pub fn is_serving(&self, index: usize) -> bool {
        self.vms[index].is_alive && self.vms[index].frozen_until.is_none()
    }

    /// Returns the indices of the VMs that currently own `backend`.
    pub fn owners(&self, backend: &BackendId) -> Vec<usize> {
        let owns = |vm: &SlotVm| vm.is_alive && vm.capacity.owned().any(|b| b == backend);
        (0..self.vms.len())
            .filter(|index| owns(&self.vms[*index]))
            .collect()
    }

    /// Sends a request to the VM `index`.
    pub fn request(&mut self, index: usize, service: &ServiceId, service_time: Millis) {
        let request = Request {
            service: service.clone(),
            service_time,
            arrived: self.now,
            tried: Vec::new(),
        };
        if self.vms[index].is_alive {
            self.deliver(index, Arrival::Request(request));
        }
    }

    /// Generates requests for `service` to random serving VMs for `span`, as a
    /// Poisson process. On average `concurrency` of them are in flight if each
    /// takes `service_time` without waiting.
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
                .filter(|index| self.is_serving(*index))
                .collect();
            if live.is_empty() {
                continue;
            }
            let index = live[self.rng.random_range(0..live.len())];
            let jitter = self.rng.random_range(0.5..1.5);
            let service_time = Millis((service_time.0 as f64 * jitter) as u64);
            self.request(index, service, service_time);
        }
        self.run_until(end);
    }

    /// Advances the simulation by `span`.
    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    fn run_until(&mut self, end: Time) {
        loop {
            let next = self.events.next_time().unwrap_or(end);
            let due = next.min(self.next_tick);
            if due > end {
                break;
            }
            self.now = self.now.max(due);
            if self.next_tick <= due {
                self.tick();
                continue;
            }
            let Some(event) = self.events.pop() else {
                break;
            };
            self.handle(event);
        }
        self.now = self.now.max(end);
    }

    /// Returns the mean number of concurrent requests on the backend servers of
    /// `service` over the last second.
    pub fn recent_in_flight(&mut self, service: &ServiceId) -> f64 {
        let busy = self.busy_millis(service);
        let Some((at, before)) = self
            .busy_samples
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
                cold.advance(now);
                millis += cold.busy_millis;
            }
        }
        millis
    }

    fn sample_busy_time(&mut self) {
        const WINDOW: Millis = Millis::from_secs(1);
        let services: Vec<_> = self.cfg.services.iter().map(|s| s.name.clone()).collect();
        let busy = |name: ServiceId| {
            let millis = self.busy_millis(&name);
            (name, millis)
        };
        let millis = services.into_iter().map(busy).collect();
        self.busy_samples.push_back(BusySample {
            at: self.now,
            millis,
        });
        let now = self.now;
        while self
            .busy_samples
            .front()
            .is_some_and(|b| now.since(b.at) > WINDOW)
        {
            self.busy_samples.pop_front();
        }
    }

    /// Returns the number of requests running on the backend servers of
    /// `service`.
    pub fn in_flight(&mut self, service: &ServiceId) -> usize {
        let now = self.now;
        let mut running = 0;
        for backend in self.cfg.backends_of(service) {
            if let Some(cold) = self.backends.get_mut(&backend.name) {
                cold.advance(now);
                running += cold.running.len();
            }
        }
        running
    }

    /// Restarts the measurement of [`SlotFleet::imbalance`].
    pub fn reset_imbalance(&mut self) {
        let now = self.now;
        for backend in self.backends.values_mut() {
            backend.advance(now);
            backend.busy_millis = 0;
        }
        self.busy_samples.clear();
    }

    /// Returns the ratio of the largest to the mean number of requests in
    /// flight per backend server of `service`, averaged since the last reset.
    pub fn imbalance(&mut self, service: &ServiceId) -> f64 {
        let now = self.now;
        for backend in self.backends.values_mut() {
            backend.advance(now);
        }
        let busy: Vec<_> = self
            .cfg
            .backends_of(service)
            .map(|b| self.backends[&b.name].busy_millis)
            .collect();
        let largest = busy.iter().copied().max().unwrap_or(0) as f64;
        largest * busy.len() as f64 / busy.iter().sum::<u64>().max(1) as f64
    }

    /// Returns the sum of `value` over all backend servers.
    pub fn sum(&self, value: impl Fn(&ColdBackend) -> u64) -> u64 {
        self.backends.values().map(value).sum()
    }

    fn tick(&mut self) {
        self.next_tick = self.now + TICK;
        for index in 0..self.vms.len() {
            self.unfreeze(index);
            if self.vms[index].frozen_until.is_some() {
                continue;
            }
            self.with_cx(index, |vm, cx| {
                vm.membership.tick(cx);
                vm.capacity.tick(cx);
            });
            self.retry_waiting(index);
        }
        self.sample_busy_time();
    }

    fn unfreeze(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        if vm.frozen_until.is_none_or(|until| until > now) {
            return;
        }
        vm.frozen_until = None;
        for arrival in std::mem::take(&mut vm.inbox) {
            self.deliver(index, arrival);
        }
    }

    fn handle(&mut self, event: Scheduled) {
        match event {
            Scheduled::AtVm(index, run, arrival) => {
                if self.vms[index].is_alive && self.vms[index].vm.incarnation == run {
                    self.deliver(index, arrival);
                }
            }
            Scheduled::AtBackend(index, run, attempt, backend, deadline, service_time) => {
                self.at_backend(index, run, attempt, &backend, deadline, service_time);
            }
        }
    }

    fn deliver(&mut self, index: usize, arrival: Arrival) {
        let vm = &mut self.vms[index];
        if vm.frozen_until.is_some() {
            vm.inbox.push(arrival);
            return;
        }
        match arrival {
            Arrival::Message(envelope) => self.on_message(index, envelope),
            Arrival::Answer(attempt, report) => self.on_answer(index, attempt, report),
            Arrival::Request(request) => {
                vm.waiting.push(request);
                self.retry_last(index);
            }
        }
    }

    fn on_message(&mut self, index: usize, envelope: Envelope) {
        let from = envelope.from;
        let is_about_slots = self.with_cx(index, |vm, cx| match envelope.msg {
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
            self.retry_waiting(index);
        }
    }

    fn on_answer(&mut self, index: usize, attempt: u64, report: SlotReport) {
        let Some(running) = self.vms[index].running.remove(&attempt) else {
            return;
        };
        let report = SlotReport {
            elapsed: self.now.since(running.started),
            ..report
        };
        if self.policy == Policy::Leases {
            self.with_cx(index, |vm, cx| {
                vm.capacity.release(cx, &running.slot, report)
            });
        }
        if report.result == SlotResult::Answered {
            self.tally.answered += 1;
            self.retry_waiting(index);
            return;
        }
        let mut request = running.request;
        request.tried.push(running.slot.backend);
        if request.tried.len() >= MAX_TRIES {
            self.refuse(&request);
            return;
        }
        self.vms[index].waiting.push(request);
        self.retry_waiting(index);
    }

    fn retry_last(&mut self, index: usize) {
        if let Some(request) = self.vms[index].waiting.pop() {
            self.try_request(index, request);
        }
    }

    fn retry_waiting(&mut self, index: usize) {
        for request in std::mem::take(&mut self.vms[index].waiting) {
            self.try_request(index, request);
        }
    }

    fn try_request(&mut self, index: usize, request: Request) {
        match self.acquire(index, &request) {
            Ok(slot) => self.dispatch(index, request, slot),
            Err(AcquireError::Pending) if self.now.since(request.arrived) < QUEUE_TIMEOUT => {
                self.vms[index].waiting.push(request);
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

    fn acquire(&mut self, index: usize, request: &Request) -> Result<Slot, AcquireError> {
        if self.policy != Policy::Leases {
            return Ok(self.choose_without_leases(index, request));
        }
        self.with_cx(index, |vm, cx| {
            vm.capacity.acquire(cx, &request.service, &request.tried)
        })
        .unwrap_or(Err(AcquireError::Busy))
    }

    fn choose_without_leases(&mut self, index: usize, request: &Request) -> Slot {
        let names: Vec<_> = self
            .cfg
            .backends_of(&request.service)
            .filter(|b| self.cfg.new_work_share(b) > 0)
            .map(|b| b.name.clone())
            .collect();
        let mut random = || self.rng.random_range(0..names.len());
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.vms[index].round_robin += 1;
                self.vms[index].round_robin % names.len()
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

    fn dispatch(&mut self, index: usize, request: Request, slot: Slot) {
        self.tally.waited.0 += self.now.since(request.arrived).0;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let run = self.vms[index].vm.incarnation;
        let event = Scheduled::AtBackend(
            index,
            run,
            attempt,
            slot.backend.clone(),
            slot.until,
            request.service_time,
        );
        self.schedule(Millis(1), event);
        let running = Running {
            request,
            slot,
            started: self.now,
        };
        self.vms[index].running.insert(attempt, running);
    }

    fn at_backend(
        &mut self,
        index: usize,
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
        let admission = backend.receive(now, wall, deadline, service_time);
        let backend_run = backend.reports_run.then_some(backend.run);
        let (delay, result) = match admission {
            Admission::Runs(span) => (span, SlotResult::Answered),
            Admission::Sheds => (Millis(0), SlotResult::Shed),
            Admission::TooLate => (Millis(0), SlotResult::Unused),
            Admission::Unreachable => (Millis(0), SlotResult::Unreachable),
        };
        match admission {
            Admission::Sheds => self.tally.shed += 1,
            Admission::TooLate => self.tally.too_late += 1,
            _ => {
                self.last_start.insert(name.clone(), now);
            }
        }
        let report = SlotReport {
            result,
            elapsed: Millis(0),
            backend_run,
        };
        let answer = Scheduled::AtVm(index, run, Arrival::Answer(attempt, report));
        self.schedule(Millis(delay.0 + 1), answer);
    }

    fn schedule(&mut self, delay: Millis, event: Scheduled) {
        self.events.push(self.now + delay, event);
    }

    /// Runs `f` on the VM `index` unless it is dead or frozen, and sends the
    /// messages that it produces.
    fn with_cx<T>(
        &mut self,
        index: usize,
        f: impl FnOnce(&mut SlotVm, &mut Cx<'_>) -> T,
    ) -> Option<T> {
        let vm = &mut self.vms[index];
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
                self.send(index, &to, msg);
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
