//! A randomized soak: real VMs as processes, faults from outside, promises
//! checked while it runs.
//!
//! `SOAK_SEEDS=N` plays N fresh seeds instead of the fixed ones, `SOAK_SEED=S`
//! the one seed S.

use std::{
    collections::BTreeSet,
    env,
    path::Path,
    thread,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use dragonflytrack_testkit::process::{
    Signal,
    proxy::LinkState,
    steering::{
        SteeringSystem, //
        WAIT_TIMEOUT,
    },
    users_platform::{
        Flow,
        Reply, //
    },
    wait_until,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// Played in each run. A seed that ever failed is added with its cause.
const FIXED_SEEDS: [u64; 2] = [1, 2];

const VMS: u8 = 3;
const BACKENDS: u32 = 4;
const FLOWS: u16 = 24;
const ROUNDS: usize = 30;

/// How long a change may take to be in force, on a busy machine.
const IN_FORCE: Duration = Duration::from_secs(5);

/// New flows in a row that show where flows go.
const NEW_FLOWS: usize = 40;

/// The tries of a client with one piece of data, through any VM that runs.
const TRIES: usize = 12;

struct Soak {
    system: SteeringSystem,
    rng: SmallRng,
    /// Since when all links are as they should be.
    healthy_since: Instant,
    /// Invariant: each flow with the name of its backend server.
    flows: Vec<(Flow, String)>,
    /// The VMs that a signal has stopped.
    frozen: BTreeSet<usize>,
    draining: Option<(usize, Instant)>,
    version: u64,
    port: u16,
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let system = SteeringSystem::start(BINARY, &dir, VMS, BACKENDS);
        Soak {
            flows: system.open_flows(1_000, FLOWS),
            system,
            rng: SmallRng::seed_from_u64(seed),
            frozen: BTreeSet::new(),
            healthy_since: Instant::now(),
            draining: None,
            version: 1,
            port: 2_000,
        }
    }

    fn vms(&self) -> usize {
        self.system.vms.len()
    }

    fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.system.vms[at].process {
            child.signal(signal);
        }
    }

    /// One fault or change.
    fn disturb(&mut self) {
        let at = self.rng.random_range(0..self.vms());
        match self.rng.random_range(0..16) {
            0 => self.kill(at),
            1 => self.stop(at),
            2 | 3 if self.frozen.is_empty() => {
                self.signal(at, Signal::Stop);
                self.frozen.insert(at);
            }
            4 => self.thaw(),
            5 => self.system.store.set_down(true),
            6 => self.system.store.set_down(false),
            7 => self.drain(),
            8 | 9 => self.harm_store_link(at),
            10 | 11 => self.harm_peers_link(at),
            12 => self.heal(),
            13 => self.system.vms[at].store_proxy.reset_connections(),
            14 => self.system.vms[at].peer_proxy.reset_connections(),
            _ => {
                self.version += self.rng.random_range(1..5_u64);
                self.system.put_configuration(self.version, true);
            }
        }
    }

    fn harm_store_link(&mut self, at: usize) {
        let link = self.any_harm();
        self.system.vms[at].store_proxy.set_link_state(link);
        self.note_health();
    }

    fn harm_peers_link(&mut self, at: usize) {
        let link = self.any_harm();
        self.system.vms[at].peer_proxy.set_link_state(link);
        self.note_health();
    }

    fn any_harm(&mut self) -> LinkState {
        let late = Duration::from_millis(self.rng.random_range(1..400));
        let links = [
            LinkState::Delayed(late),
            LinkState::DropsRequests,
            LinkState::DropsResponses,
            LinkState::Refused,
        ];
        links[self.rng.random_range(0..links.len())]
    }

    fn heal(&mut self) {
        for vm in &self.system.vms {
            vm.store_proxy.set_link_state(LinkState::Healthy);
            vm.peer_proxy.set_link_state(LinkState::Healthy);
        }
        self.note_health();
    }

    fn note_health(&mut self) {
        self.healthy_since = Instant::now();
    }

    fn is_healthy(&self) -> bool {
        let links = self.system.vms.iter();
        let mut links =
            links.flat_map(|vm| [vm.store_proxy.link_state(), vm.peer_proxy.link_state()]);
        self.frozen.is_empty() && links.all(|link| link == LinkState::Healthy)
    }

    fn thaw(&mut self) {
        for at in std::mem::take(&mut self.frozen) {
            self.signal(at, Signal::Continue);
            self.note_health();
        }
    }

    /// A VM that starts has to reach someone who knows.
    fn prepare_start(&mut self) {
        self.thaw();
        for vm in &self.system.vms {
            vm.peer_proxy.set_link_state(LinkState::Healthy);
        }
    }

    fn kill(&mut self, at: usize) {
        self.prepare_start();
        self.signal(at, Signal::Kill);
        self.system.start_vm(at);
    }

    fn stop(&mut self, at: usize) {
        self.prepare_start();
        self.signal(at, Signal::Terminate);
        self.ask_all();
        if let Some(mut child) = self.system.vms[at].process.take() {
            let status = child
                .wait_timeout(WAIT_TIMEOUT)
                .expect("a planned stop ends");
            assert!(status.success(), "{status}");
        }
        self.system.start_vm(at);
    }

    /// Drains a backend server, or takes the last drain back.
    fn drain(&mut self) {
        if let Some((at, _)) = self.draining.take() {
            self.system.register_backend(at, "ready");
            return;
        }
        let at = self.rng.random_range(0..self.system.backends.len());
        self.system.store.set_down(false);
        self.system.register_backend(at, "draining");
        self.draining = Some((at, Instant::now()));
    }

    /// Sends data on every flow. Each must reach its own backend server.
    fn ask_all(&mut self) {
        let mut flows = std::mem::take(&mut self.flows);
        for (flow, name) in &mut flows {
            self.ask(flow, name);
        }
        self.flows = flows;
        // All backend servers live.
        assert_eq!(self.system.client.take_unsolicited_resets(), [0; 0]);
    }

    fn ask(&mut self, flow: &mut Flow, name: &str) {
        for _ in 0..TRIES {
            let at = self.rng.random_range(0..self.vms());
            if self.frozen.contains(&at) {
                continue;
            }
            match self
                .system
                .client
                .send_data(self.system.packet_address(at), flow)
            {
                Reply::Data(from) => {
                    assert_eq!(from, name, "a flow went to another backend server");
                    return;
                }
                Reply::Reset => panic!("a flow of a live backend server was reset"),
                Reply::Timeout => {}
            }
        }
        panic!("a flow got no answer in {TRIES} tries");
    }

    /// Opens a flow. A drain that is in force keeps it off its backend server.
    fn open(&mut self) {
        self.port += 1;
        let at = self.rng.random_range(0..self.vms());
        if self.frozen.contains(&at) {
            return;
        }
        let vm = self.system.packet_address(at);
        let Some(mut flow) = self.system.client.open_flow(vm, self.port) else {
            return;
        };
        let Reply::Data(name) = self.system.client.send_data(vm, &mut flow) else {
            return;
        };
        if let Some((drained, since)) = self.draining {
            let left = &self.system.backends[drained].name;
            let since = self.healthy_since.max(since);
            let is_in_force = since.elapsed() > IN_FORCE && self.is_healthy();
            assert!(
                !is_in_force || name != *left,
                "a drained backend server got a flow"
            );
        }
        self.flows.push((flow, name));
        self.flows.remove(0);
    }

    /// Drains a backend server and waits until no VM sends it a new flow.
    fn expect_a_drain_in_force(&mut self) {
        if self.draining.is_none() {
            self.drain();
        }
        let Some((drained, _)) = self.draining else {
            return;
        };
        let drained = self.system.backends[drained].name.clone();
        wait_until("the drain is in force", IN_FORCE, || {
            let takes_none = |_| self.open_one().is_none_or(|name| name != drained);
            (0..NEW_FLOWS).all(takes_none)
        });
    }

    /// Opens a flow through any VM and returns its backend server.
    fn open_one(&mut self) -> Option<String> {
        self.port += 1;
        let at = self.rng.random_range(0..self.vms());
        let vm = self.system.packet_address(at);
        let mut flow = self.system.client.open_flow(vm, self.port)?;
        match self.system.client.send_data(vm, &mut flow) {
            Reply::Data(name) => Some(name),
            Reply::Reset | Reply::Timeout => None,
        }
    }

    fn play(mut self) {
        for _ in 0..ROUNDS {
            self.disturb();
            let pause = self.rng.random_range(0..500);
            thread::sleep(Duration::from_millis(pause));
            self.ask_all();
            self.open();
        }
        self.thaw();
        self.heal();
        self.system.store.set_down(false);
        self.ask_all();
        self.expect_a_drain_in_force();
        self.ask_all();
    }
}

fn seeds() -> Vec<u64> {
    let number = |name: &str| {
        env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    if let Some(seed) = number("SOAK_SEED") {
        return vec![seed];
    }
    let Some(n) = number("SOAK_SEEDS") else {
        return FIXED_SEEDS.to_vec();
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first = now.unwrap_or_default().as_secs();
    (first..first + n).collect()
}

#[test]
fn flows_outlast_whatever_happens_to_vms_and_store() {
    for seed in seeds() {
        println!("seed {seed}");
        Soak::start(seed).play();
    }
}
