//! `dragonflytrack steer` as processes, against a stand-in of the users'
//! platform.

use std::{
    fs,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use dragonflytrack_testkit::process::{
    Child, Signal,
    address::Addresses,
    http,
    users_platform::{
        BackendServer,
        Client,
        Flow,
        Store, //
    },
    wait_until,
};
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_dragonflytrack");

/// Generous: the machine may be busy.
const LIMIT: Duration = Duration::from_secs(20);

struct Vm {
    packets: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

struct World {
    store: Store,
    vms: Vec<Vm>,
    backends: Vec<BackendServer>,
    client: Client,
    service: SocketAddrV4,
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("loopback addresses are IPv4"),
    }
}

/// Other loopback addresses with the port of the first VM's packets, on which
/// clients listen.
fn beside(address: SocketAddr, last: u8) -> SocketAddrV4 {
    let octets = v4(address).ip().octets();
    let ip = [127, octets[1].wrapping_add(100), octets[2], last];
    SocketAddrV4::new(ip.into(), address.port())
}

impl World {
    fn start(name: &str) -> World {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).expect("a folder for the test");
        let mut free = Addresses::open();
        let store = free.take();
        let packets = free.take();
        let mut vms: Vec<Vm> = Vec::new();
        for at in 0..2 {
            // All VMs take packets on one port, each at its own IP address.
            let packets = SocketAddr::V4(beside(packets, 10 + at));
            let (ready, metrics, peers) = (free.take(), free.take(), free.take());
            let settings = dir.join(format!("vm-{at}.ini"));
            // The peers of all VMs share a port, too.
            let port = vms.first().map_or(peers.port(), |_| peer_port(&vms[0]));
            let own = SocketAddrV4::new(*v4(packets).ip(), port);
            let first = vms.first().map_or(packets, |vm| vm.packets);
            let seed = SocketAddrV4::new(*v4(first).ip(), port);
            let text = format!(
                "[vm]\nname = vm-{at}\ndata-centre = a\n[listen]\npackets = {packets}\nready = {ready}\n\
                 metrics = {metrics}\npeers = {own}\n[store]\naddress = {store}\n[seeds]\naddresses = {seed}\n\
                 [stop]\nseconds = 4\n[log]\nformat = json\n"
            );
            fs::write(&settings, text).expect("settings can be written");
            vms.push(Vm {
                packets,
                ready,
                metrics,
                settings,
                child: None,
            });
        }
        let addresses: Vec<SocketAddr> = (0..3).map(|_| free.take()).collect();
        drop(free);
        let service: SocketAddrV4 = "198.18.0.1:443".parse().expect("an address");
        let port = packets.port();
        let mut world = World {
            store: Store::spawn(store),
            client: Client::open(beside(packets, 200), service),
            backends: addresses
                .iter()
                .zip(1..)
                .map(|(address, key)| BackendServer::spawn(key, *address, port))
                .collect(),
            vms,
            service,
        };
        world.configure(1, true);
        for at in 0..3 {
            world.register(at, "ready");
        }
        for at in 0..2 {
            world.run(at);
        }
        world
    }

    fn run(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        let args = [
            "steer".to_owned(),
            "--settings".to_owned(),
            vm.settings.display().to_string(),
        ];
        let log = vm.settings.with_extension("log");
        vm.child = Some(Child::start(Path::new(BINARY), &args, &log));
        let ready = vm.ready;
        wait_until("the VM is ready", LIMIT, || is_ready(ready));
    }

    fn register(&self, at: usize, state: &str) {
        let backend = &self.backends[at];
        let spec = backend.spec("web", "a", state);
        self.store.put("servers", &backend.name, &spec);
    }

    fn configure(&self, version: u64, has_route: bool) {
        let route = json!({
            "name": "r", "host": self.service.ip().to_string(),
            "pathPrefix": format!("/{}/", self.service.port()), "service": "web",
        });
        let routes = if has_route { vec![route] } else { Vec::new() };
        let spec = json!({
            "version": version, "routes": routes,
            "services": [{"name": "web", "warmupS": 2.0, "warmupPerS": 0.0}],
            "limits": {"idleTimeoutMs": 15_000},
        });
        self.store.put("config", "main", &spec);
    }

    fn vm(&self, at: usize) -> SocketAddr {
        self.vms[at].packets
    }

    /// Opens `n` flows, the VMs taking turns.
    fn open(&self, from: u16, n: u16) -> Vec<(Flow, String)> {
        (from..from + n)
            .map(|port| {
                let at = usize::from(port) % 2;
                let mut flow = self
                    .client
                    .connect(self.vm(at), port)
                    .expect("the flow opens");
                let name = self.client.ask(self.vm(at), &mut flow).expect("an answer");
                (flow, name)
            })
            .collect()
    }

    /// Tells whether all flows still reach their backend servers through a VM.
    fn all_kept(&self, vm: usize, flows: &mut [(Flow, String)]) -> bool {
        flows
            .iter_mut()
            .all(|(flow, name)| self.client.ask(self.vm(vm), flow).as_ref() == Some(name))
    }
}

fn peer_port(vm: &Vm) -> u16 {
    let text = fs::read_to_string(&vm.settings).expect("settings can be read");
    let line = text
        .lines()
        .find(|l| l.starts_with("peers = "))
        .expect("a key");
    line.rsplit(':')
        .next()
        .and_then(|p| p.parse().ok())
        .expect("a port")
}

fn is_ready(address: SocketAddr) -> bool {
    http::get(address, "/api/readiness").is_ok_and(|r| r.status == 200)
}

#[test]
fn flows_pass_through_any_vm_and_outlast_its_death() {
    let mut world = World::start("steer-death");
    let mut flows = world.open(1_000, 30);
    assert!(world.all_kept(0, &mut flows));
    assert!(world.all_kept(1, &mut flows));
    if let Some(child) = &world.vms[0].child {
        child.signal(Signal::Kill);
    }
    assert!(world.all_kept(1, &mut flows));
    world.run(0);
    assert!(world.all_kept(0, &mut flows));
}

#[test]
fn a_drain_keeps_open_flows_and_stops_new_ones() {
    let world = World::start("steer-drain");
    let mut flows = world.open(1_000, 30);
    world.register(0, "draining");
    let left = &world.backends[0].name;
    let mut port = 2_000;
    wait_until("new flows go elsewhere", LIMIT, || {
        port += 20;
        world.open(port, 20).iter().all(|(_, name)| name != left)
    });
    assert!(world.all_kept(0, &mut flows));
}

#[test]
fn a_route_that_is_removed_refuses_new_flows_on_each_vm() {
    let world = World::start("steer-route");
    world.open(1_000, 4);
    world.configure(2, false);
    let mut port = 2_000;
    for at in 0..2 {
        wait_until("the route is gone", LIMIT, || {
            port += 1;
            world.client.is_refused(world.vm(at), port)
        });
    }
}

#[test]
fn a_vm_that_starts_while_the_store_is_down_learns_from_the_other() {
    let mut world = World::start("steer-store");
    let mut flows = world.open(1_000, 20);
    world.store.set_down(true);
    if let Some(child) = &world.vms[1].child {
        child.signal(Signal::Kill);
    }
    world.run(1);
    assert!(world.all_kept(1, &mut flows));
    assert!(world.client.connect(world.vm(1), 3_001).is_some());
}

#[test]
fn a_planned_stop_leaves_the_rotation_first_and_steers_on() {
    let mut world = World::start("steer-stop");
    let mut flows = world.open(1_000, 10);
    let mut child = world.vms[0].child.take().expect("the VM runs");
    child.signal(Signal::Terminate);
    let ready = world.vms[0].ready;
    wait_until("the VM is not ready", LIMIT, || !is_ready(ready));
    assert!(world.all_kept(0, &mut flows));
    let status = child.wait(LIMIT).expect("the VM ends");
    assert!(status.success(), "{status}");
    assert!(child.log().contains("\"event\":1003"));
}

#[test]
fn metrics_tell_what_was_decided() {
    let world = World::start("steer-metrics");
    world.open(1_000, 10);
    let text = http::get(world.vms[0].metrics, "/metrics")
        .expect("metrics")
        .body;
    for wanted in [
        "dragonflytrack_steering_decisions_total{event=\"7001\",detail=\"Ready\"} 5",
        "dragonflytrack_steering_ready 1",
        "dragonflytrack_steering_configuration_version 1",
        "dragonflytrack_steering_packets_total{outcome=\"forwarded\"}",
        "dragonflytrack_steering_store_calls_total",
    ] {
        assert!(text.contains(wanted), "{wanted} is not in\n{text}");
    }
}
