//! `dragonflytrack steer` processes that run against a fake of the users'
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
    address::AddressAllocator,
    http,
    proxy::Proxy,
    users_platform::{
        BackendServer,
        Client,
        Flow,
        Reply,
        Store, //
    },
    wait_until,
};

/// How long to wait for a condition; long because the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A VM that runs `dragonflytrack steer`.
pub struct Vm {
    /// The UDP address for packets of clients.
    pub packet_address: SocketAddr,
    /// The HTTP address for readiness probes.
    pub readiness_address: SocketAddr,
    /// The HTTP address for metrics.
    pub metrics_address: SocketAddr,
    /// The proxy from this VM to the store.
    pub store_proxy: Proxy,
    /// The proxy from the other VMs to this one.
    pub peer_proxy: Proxy,
    /// The process, or `None` before the start or once a test has taken it.
    pub process: Option<Child>,
    settings_path: PathBuf,
}

/// VMs as processes, with a store, backend servers and a client in the test
/// process.
pub struct SteeringSystem {
    /// The store that holds the configuration and the backend servers.
    pub store: Store,
    /// The VMs, each at its own loopback address.
    pub vms: Vec<Vm>,
    /// The backend servers of the service `web`.
    pub backends: Vec<BackendServer>,
    /// The client of the service.
    pub client: Client,
    binary: PathBuf,
    service: SocketAddrV4,
}

fn as_v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("loopback addresses are IPv4"),
    }
}

/// Returns another loopback address with the same port. Clients and all VMs
/// take packets on the same port, each at its own IP address.
fn sibling_address(address: SocketAddr, last_octet: u8) -> SocketAddrV4 {
    let octets = as_v4(address).ip().octets();
    let ip = [127, octets[1].wrapping_add(100), octets[2], last_octet];
    SocketAddrV4::new(ip.into(), address.port())
}

impl SteeringSystem {
    /// Starts `vms` VMs and `backends` backend servers. Settings and logs go to
    /// `dir`.
    ///
    /// # Panics
    ///
    /// Panics if an address cannot be bound or a VM does not become ready.
    pub fn start(binary: &str, dir: &Path, vms: u8, backends: u32) -> SteeringSystem {
        let vm_count = vms;
        fs::create_dir_all(dir).expect("failed to create the test directory");
        let mut allocator = AddressAllocator::open();
        let store_address = allocator.allocate();
        let packets = allocator.allocate();
        let peer_port = allocator.allocate().port();
        let vm_addresses: Vec<VmAddresses> = (0..vms)
            .map(|index| VmAddresses::allocate(index, packets, peer_port, &mut allocator))
            .collect();
        let backend_addresses: Vec<SocketAddr> =
            (0..backends).map(|_| allocator.allocate()).collect();
        drop(allocator);
        let service: SocketAddrV4 = "198.18.0.1:443".parse().expect("invalid address");
        let port = packets.port();
        let mut system = SteeringSystem {
            binary: binary.into(),
            store: Store::spawn(store_address),
            client: Client::open(sibling_address(packets, 200), service),
            backends: backend_addresses
                .iter()
                .zip(1..)
                .map(|(address, key)| BackendServer::spawn(key, *address, port))
                .collect(),
            vms: vm_addresses
                .iter()
                .map(|addresses| {
                    addresses.create_vm(vm_addresses[0].announced_address, store_address, dir)
                })
                .collect(),
            service,
        };
        system.put_configuration(1, true);
        for index in 0..backends as usize {
            system.register_backend(index, "ready");
        }
        for index in 0..usize::from(vm_count) {
            system.start_vm(index);
        }
        system
    }

    /// Starts or restarts a VM and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if the VM does not become ready.
    pub fn start_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let args = [
            "steer".to_owned(),
            "--settings".to_owned(),
            vm.settings_path.display().to_string(),
        ];
        let log = vm.settings_path.with_extension("log");
        // The addresses become free only when the previous process has exited.
        drop(vm.process.take());
        vm.process = Some(Child::start(&self.binary, &args, &log));
        let address = vm.readiness_address;
        wait_until("the VM is ready", WAIT_TIMEOUT, || is_ready(address));
    }

    /// Writes a backend server in the given state to the store.
    pub fn register_backend(&self, index: usize, state: &str) {
        let backend = &self.backends[index];
        let spec = backend.spec("web", "a", state);
        self.store.put("servers", &backend.name, &spec);
    }

    /// Writes a configuration to the store, with one route to `web` or none.
    pub fn put_configuration(&self, version: u64, has_route: bool) {
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

    /// Returns the UDP address of a VM for packets of clients.
    pub fn packet_address(&self, index: usize) -> SocketAddr {
        self.vms[index].packet_address
    }

    /// Opens `count` flows through the VMs in turn, from consecutive ports.
    /// Returns each flow with the name of its backend server.
    ///
    /// # Panics
    ///
    /// Panics if a flow does not open or gets no data.
    pub fn open_flows(&self, first_port: u16, count: u16) -> Vec<(Flow, String)> {
        (first_port..first_port + count)
            .map(|port| {
                let index = usize::from(port) % self.vms.len();
                let mut flow = self
                    .client
                    .open_flow(self.packet_address(index), port)
                    .expect("failed to open the flow");
                let reply = self.client.send_data(self.packet_address(index), &mut flow);
                let Reply::Data(name) = reply else {
                    panic!("{reply:?}");
                };
                (flow, name)
            })
            .collect()
    }

    /// Returns whether all flows still reach their backend servers through the
    /// VM at `index`.
    pub fn all_flows_kept(&self, index: usize, flows: &mut [(Flow, String)]) -> bool {
        flows.iter_mut().all(|(flow, name)| {
            self.client.send_data(self.packet_address(index), flow) == Reply::Data(name.clone())
        })
    }
}

/// The addresses of one VM.
struct VmAddresses {
    index: u8,
    packets: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    peer_address: SocketAddrV4,
    /// The address announced to other VMs, where a proxy to `peer_address`
    /// listens.
    announced_address: SocketAddrV4,
    /// Where a proxy to the store listens.
    proxied_store: SocketAddr,
}

impl VmAddresses {
    /// Allocates addresses. All VMs share one port for packets and another for
    /// peer messages, each at its own IP address.
    fn allocate(
        index: u8,
        packets: SocketAddr,
        peer_port: u16,
        allocator: &mut AddressAllocator,
    ) -> VmAddresses {
        let packets = sibling_address(packets, 10 + index);
        let announced_ip = *sibling_address(packets.into(), 50 + index).ip();
        VmAddresses {
            index,
            packets: packets.into(),
            ready: allocator.allocate(),
            metrics: allocator.allocate(),
            peer_address: SocketAddrV4::new(*packets.ip(), peer_port),
            announced_address: SocketAddrV4::new(announced_ip, peer_port),
            proxied_store: allocator.allocate(),
        }
    }

    /// Starts the proxies and writes the settings file. The VM itself is not
    /// started yet.
    fn create_vm(&self, seed: SocketAddrV4, store_address: SocketAddr, dir: &Path) -> Vm {
        let settings_path = dir.join(format!("vm-{}.ini", self.index));
        let data_centre = if self.index % 3 == 2 { "b" } else { "a" };
        let text = format!(
            "[vm]\nname = vm-{}\ndata-centre = {data_centre}\n[listen]\npackets = {}\nready = {}\n\
             metrics = {}\npeers = {}\nannounced = {}\n[store]\naddress = {}\n[seeds]\n\
             addresses = {seed}\n[stop]\nseconds = 4\n[log]\nformat = json\n",
            self.index,
            self.packets,
            self.ready,
            self.metrics,
            self.peer_address,
            self.announced_address,
            self.proxied_store
        );
        fs::write(&settings_path, text).expect("failed to write the settings file");
        Vm {
            packet_address: self.packets,
            readiness_address: self.ready,
            metrics_address: self.metrics,
            settings_path,
            store_proxy: Proxy::spawn(self.proxied_store, store_address),
            peer_proxy: Proxy::spawn(self.announced_address.into(), self.peer_address.into()),
            process: None,
        }
    }
}

/// Returns whether a readiness probe of a VM succeeds.
pub fn is_ready(address: SocketAddr) -> bool {
    http::get(address, "/api/readiness").is_ok_and(|r| r.status == 200)
}
