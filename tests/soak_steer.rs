//! Randomized soak test of `dragonflytrack steer`: runs VMs as processes,
//! injects faults and checks invariants of flows and drains during the run.
//!
//! `SOAK_SEEDS=N` runs N new seeds, taken from the clock, instead of the default
//! ones. `SOAK_SEED=S` runs only the seed S.

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
        Reply,
        StoreState, //
    },
    wait_until,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// The seeds of each run. Add any seed that fails, with the cause.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];

const VMS: u8 = 3;
const BACKENDS: u32 = 4;
const FLOWS: u16 = 24;
const ROUNDS: usize = 30;

/// The time within which a change must be in force, on a busy machine.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of consecutive new flows that must avoid a drained backend server.
const DRAIN_PROBE_FLOWS: usize = 40;

/// How often everything is written shortly before a restore that loses it.
const LOST_WRITES: usize = 5;

/// The number of attempts to send data on a flow, each through a random VM.
const MAX_ATTEMPTS: usize = 12;

struct Soak {
    system: SteeringSystem,
    rng: SmallRng,
    /// The last time a link fault was set or cleared, or a VM resumed.
    healthy_since: Instant,
    /// The open flows, each with the name of its backend server, which must not
    /// change.
    flows: Vec<(Flow, String)>,
    /// The VMs that are stopped by a signal.
    frozen: BTreeSet<usize>,
    /// The backend server that is draining, and since when.
    draining: Option<(usize, Instant)>,
    version: u64,
    port: u16,
    /// Copy of the store from which it may be restored.
    copy: StoreState,
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let system = SteeringSystem::start(BINARY, &dir, VMS, BACKENDS);
        Soak {
            flows: system.open_flows(1_000, FLOWS),
            copy: system.store.copy(),
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

    /// Injects a random fault or makes a random change.
    fn apply_random_step(&mut self) {
        let at = self.rng.random_range(0..self.vms());
        match self.rng.random_range(0..18) {
            0 => self.kill(at),
            1 => self.stop(at),
            2 | 3 if self.frozen.is_empty() => {
                self.signal(at, Signal::Stop);
                self.frozen.insert(at);
            }
            4 => self.resume_frozen(),
            5 => self.system.store.set_down(true),
            6 => self.system.store.set_down(false),
            7 => self.drain(),
            8 | 9 => self.degrade_store_link(at),
            10 | 11 => self.degrade_peers_link(at),
            12 => self.restore_links(),
            13 => self.system.vms[at].store_proxy.reset_connections(),
            14 => self.system.vms[at].peer_proxy.reset_connections(),
            15 => self.copy = self.system.store.copy(),
            16 => self.restore_store(),
            _ => {
                self.version += self.rng.random_range(1..5_u64);
                self.system.put_configuration(self.version, true);
            }
        }
    }

    /// Restores the store from the copy. Backend servers and operators write
    /// again what they wrote.
    fn restore_store(&mut self) {
        for _ in 0..LOST_WRITES {
            self.write_all();
        }
        self.sleep_up_to(1_000);
        self.system.store.restore(&self.copy);
        self.sleep_up_to(1_000);
        self.write_all();
        self.reset_healthy_since();
    }

    /// Writes what all backend servers and the operators wrote last.
    fn write_all(&self) {
        let drained = self.draining.map(|(at, _)| at);
        for at in 0..self.system.backends.len() {
            let state = match drained == Some(at) {
                true => "draining",
                false => "ready",
            };
            self.system.register_backend(at, state);
        }
        self.system.put_configuration(self.version, true);
    }

    fn sleep_up_to(&mut self, max_ms: u64) {
        let pause = self.rng.random_range(0..max_ms);
        thread::sleep(Duration::from_millis(pause));
    }

    fn degrade_store_link(&mut self, at: usize) {
        let link = self.random_link_fault();
        self.system.vms[at].store_proxy.set_link_state(link);
        self.reset_healthy_since();
    }

    fn degrade_peers_link(&mut self, at: usize) {
        let link = self.random_link_fault();
        self.system.vms[at].peer_proxy.set_link_state(link);
        self.reset_healthy_since();
    }

    fn random_link_fault(&mut self) -> LinkState {
        let late = Duration::from_millis(self.rng.random_range(1..400));
        let links = [
            LinkState::Delayed(late),
            LinkState::DropsRequests,
            LinkState::DropsResponses,
            LinkState::Refused,
        ];
        links[self.rng.random_range(0..links.len())]
    }

    fn restore_links(&mut self) {
        for vm in &self.system.vms {
            vm.store_proxy.set_link_state(LinkState::Healthy);
            vm.peer_proxy.set_link_state(LinkState::Healthy);
        }
        self.reset_healthy_since();
    }

    fn reset_healthy_since(&mut self) {
        self.healthy_since = Instant::now();
    }

    fn is_healthy(&self) -> bool {
        let links = self.system.vms.iter();
        let mut links =
            links.flat_map(|vm| [vm.store_proxy.link_state(), vm.peer_proxy.link_state()]);
        self.frozen.is_empty() && links.all(|link| link == LinkState::Healthy)
    }

    fn resume_frozen(&mut self) {
        for at in std::mem::take(&mut self.frozen) {
            self.signal(at, Signal::Continue);
            self.reset_healthy_since();
        }
    }

    /// Resumes frozen VMs and restores the peer links, since a starting VM must
    /// reach a peer that knows the current state.
    fn prepare_start(&mut self) {
        self.resume_frozen();
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
        self.check_flows();
        if let Some(mut child) = self.system.vms[at].process.take() {
            let status = child
                .wait_timeout(WAIT_TIMEOUT)
                .expect("a graceful shutdown ends");
            assert!(status.success(), "{status}");
        }
        self.system.start_vm(at);
    }

    /// Drains a random backend server, or ends the current drain.
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

    /// Sends data on every flow and checks that it reaches its backend server.
    fn check_flows(&mut self) {
        let mut flows = std::mem::take(&mut self.flows);
        for (flow, name) in &mut flows {
            self.check_flow(flow, name);
        }
        self.flows = flows;
        // All backend servers run, so no flow may be reset.
        assert_eq!(self.system.client.take_unsolicited_resets(), [0; 0]);
    }

    fn check_flow(&mut self, flow: &mut Flow, name: &str) {
        for _ in 0..MAX_ATTEMPTS {
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
        panic!("a flow got no answer in {MAX_ATTEMPTS} attempts");
    }

    /// Replaces the oldest flow by a new one, which must avoid the draining
    /// backend server once the drain is in force.
    fn open_flow(&mut self) {
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
            let drained_name = &self.system.backends[drained].name;
            let since = self.healthy_since.max(since);
            let is_in_force = since.elapsed() > IN_FORCE_TIMEOUT && self.is_healthy();
            assert!(
                !is_in_force || name != *drained_name,
                "a drained backend server got a flow"
            );
        }
        self.flows.push((flow, name));
        self.flows.remove(0);
    }

    /// Drains a backend server unless one drains, and waits until it gets no new
    /// flows.
    fn wait_for_drain(&mut self) {
        if self.draining.is_none() {
            self.drain();
        }
        let Some((drained, _)) = self.draining else {
            return;
        };
        let drained = self.system.backends[drained].name.clone();
        wait_until("the drain is in force", IN_FORCE_TIMEOUT, || {
            let avoids_drained = |_| self.new_flow_backend().is_none_or(|name| name != drained);
            (0..DRAIN_PROBE_FLOWS).all(avoids_drained)
        });
    }

    /// Opens a flow through a random VM and returns the name of its backend
    /// server, or `None` if the flow got no answer.
    fn new_flow_backend(&mut self) -> Option<String> {
        self.port += 1;
        let at = self.rng.random_range(0..self.vms());
        let vm = self.system.packet_address(at);
        let mut flow = self.system.client.open_flow(vm, self.port)?;
        match self.system.client.send_data(vm, &mut flow) {
            Reply::Data(name) => Some(name),
            Reply::Reset | Reply::Timeout => None,
        }
    }

    fn run(mut self) {
        for _ in 0..ROUNDS {
            self.apply_random_step();
            self.sleep_up_to(500);
            self.check_flows();
            self.open_flow();
        }
        self.resume_frozen();
        self.restore_links();
        self.system.store.set_down(false);
        self.check_flows();
        self.wait_for_drain();
        self.check_flows();
    }
}

fn seeds() -> Vec<u64> {
    let seed_setting = |name: &str| {
        env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    if let Some(seed) = seed_setting("SOAK_SEED") {
        return vec![seed];
    }
    let Some(n) = seed_setting("SOAK_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first = now.unwrap_or_default().as_secs();
    (first..first + n).collect()
}

#[test]
fn flows_outlast_whatever_happens_to_vms_and_store() {
    for seed in seeds() {
        println!("seed {seed}");
        Soak::start(seed).run();
    }
}
