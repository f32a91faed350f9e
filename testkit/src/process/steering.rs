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

use serde_json::json;

use super::{
    Child,
    address::Addresses,
    http,
    users_platform::{
        BackendServer,
        Client,
        Flow,
        Reply,
        Store, //
    },
    wait_until,
};

/// Generous: the machine may be busy.
pub const LIMIT: Duration = Duration::from_secs(20);

/// One VM.
pub struct Vm {
    /// Where it takes packets.
    pub packets: SocketAddr,
    /// Where it answers readiness probes.
    pub ready: SocketAddr,
    /// Where its metrics are.
    pub metrics: SocketAddr,
    /// Its process, unless it was ended.
    pub child: Option<Child>,
    settings: PathBuf,
}

/// VMs, a store, backend servers and a client.
pub struct SteeringSystem {
    /// The store.
    pub store: Store,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The backend servers of the service `web`.
    pub backends: Vec<BackendServer>,
    /// The client.
    pub client: Client,
    binary: PathBuf,
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

impl SteeringSystem {
    /// Starts `vms` VMs and `backends` backend servers. The files of the test go
    /// to `dir`.
    ///
    /// # Panics
    ///
    /// Panics if a part does not start.
    pub fn start(binary: &str, dir: &Path, vms: u8, backends: u32) -> SteeringSystem {
        let vm_count = vms;
        fs::create_dir_all(dir).expect("a folder for the test");
        let mut free = Addresses::open();
        let store = free.take();
        let packets = free.take();
        let mut vms: Vec<Vm> = Vec::new();
        for at in 0..vm_count {
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
        let addresses: Vec<SocketAddr> = (0..backends).map(|_| free.take()).collect();
        drop(free);
        let service: SocketAddrV4 = "198.18.0.1:443".parse().expect("an address");
        let port = packets.port();
        let mut world = SteeringSystem {
            binary: binary.into(),
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
        for at in 0..backends as usize {
            world.register(at, "ready");
        }
        for at in 0..usize::from(vm_count) {
            world.run(at);
        }
        world
    }

    /// Starts a VM, or starts it again, and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if it does not become ready.
    pub fn run(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        let args = [
            "steer".to_owned(),
            "--settings".to_owned(),
            vm.settings.display().to_string(),
        ];
        let log = vm.settings.with_extension("log");
        // Its addresses are free once the process before is gone.
        drop(vm.child.take());
        vm.child = Some(Child::start(&self.binary, &args, &log));
        let ready = vm.ready;
        wait_until("the VM is ready", LIMIT, || is_ready(ready));
    }

    /// Writes a backend server to the store.
    pub fn register(&self, at: usize, state: &str) {
        let backend = &self.backends[at];
        let spec = backend.spec("web", "a", state);
        self.store.put("servers", &backend.name, &spec);
    }

    /// Writes a configuration with one route or none.
    pub fn configure(&self, version: u64, has_route: bool) {
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

    /// Where a VM takes packets.
    pub fn vm(&self, at: usize) -> SocketAddr {
        self.vms[at].packets
    }

    /// Opens `n` flows, the VMs taking turns. Each comes with the name of its
    /// backend server.
    ///
    /// # Panics
    ///
    /// Panics if a flow does not open.
    pub fn open(&self, from: u16, n: u16) -> Vec<(Flow, String)> {
        (from..from + n)
            .map(|port| {
                let at = usize::from(port) % self.vms.len();
                let mut flow = self
                    .client
                    .connect(self.vm(at), port)
                    .expect("the flow opens");
                let reply = self.client.ask(self.vm(at), &mut flow);
                let Reply::Answer(name) = reply else {
                    panic!("{reply:?}");
                };
                (flow, name)
            })
            .collect()
    }

    /// Tells whether all flows still reach their backend servers through a VM.
    pub fn all_kept(&self, vm: usize, flows: &mut [(Flow, String)]) -> bool {
        flows
            .iter_mut()
            .all(|(flow, name)| self.client.ask(self.vm(vm), flow) == Reply::Answer(name.clone()))
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

/// Tells whether a VM answers readiness probes.
pub fn is_ready(address: SocketAddr) -> bool {
    http::get(address, "/api/readiness").is_ok_and(|r| r.status == 200)
}
