//! A deployment of seven VMs and nine servers in three zones.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::PathBuf,
    time::Duration,
};

use crate::{
    clients::{Clients, ZoneClients},
    hosts::{HEARTBEAT_MS, Hosts, loopback},
    record::Record,
    router::{Router, VmAddresses, write_settings},
    store::Store,
};

pub const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const VMS: [u8; 3] = [3, 2, 2];
const HOSTS_PER_ZONE: u8 = 3;
const CLIENTS_PER_ZONE: u8 = 6;

/// Requests a second that have a flow of their own.
const REQUESTS_PER_S: u64 = 50;

/// The metrics port of the template.
const METRICS_PORT: u16 = 9_464;

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub hosts: Hosts,
    pub router: Router,
    /// Addresses of the routes: the second one is used by some cases only.
    pub services: [SocketAddrV4; 2],
    zone_clients: Vec<ZoneClients>,
    dir: PathBuf,
}

/// Ports that are the same on all machines.
struct Ports {
    packets: u16,
    ready: u16,
    peers: u16,
    store: u16,
    host: u16,
}

fn is_free(ip: Ipv4Addr, port: u16) -> bool {
    let address = SocketAddr::from((ip, port));
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

impl Ports {
    /// Finds a network `127.NET.0.0/16` and ports that are free there.
    fn find() -> Option<(u8, Ports)> {
        let pid = std::process::id();
        (0..50_u32).find_map(|n| {
            let net = 10 + ((pid + n) % 200) as u8;
            let base = 20_000 + ((pid * 7 + n * 131) % 900) as u16 * 10;
            let ports = Ports {
                packets: base,
                ready: base + 1,
                peers: base + 2,
                store: base + 3,
                host: base + 4,
            };
            let all = [base, base + 1, base + 2, base + 3, base + 4, METRICS_PORT];
            let is_usable = (1..=3).all(|zone| {
                let free = |last| {
                    all.iter()
                        .all(|port| is_free(loopback(net, zone, last), *port))
                };
                (10..10 + VMS[0]).all(free) && (50..50 + HOSTS_PER_ZONE).all(free)
            });
            is_usable.then_some((net, ports))
        })
    }
}

impl Deployment {
    /// Starts everything and waits until all VMs are ready.
    pub fn open(record: &Record) -> Result<Deployment, String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let value = |key: &str| {
            let line = deploy
                .lines()
                .find_map(|l| l.strip_prefix(&format!("{key} = \"")));
            line.and_then(|l| l.strip_suffix('"')).map(str::to_owned)
        };
        let program = value("run").ok_or("no command in the deploy file")?;
        let template = value("template").ok_or("no template in the deploy file")?;
        let template = fs::read_to_string(template).map_err(|e| e.to_string())?;
        let (net, ports) = Ports::find().ok_or("no free ports")?;
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;

        let store_address = SocketAddrV4::new(loopback(net, 0, 1), ports.store);
        let expiry = Duration::from_millis(3 * HEARTBEAT_MS);
        let store = Store::spawn(SocketAddr::V4(store_address), expiry);
        let services = [1, 2].map(|n| SocketAddrV4::new(loopback(net, 200, n), 8_443));
        let hosts = Hosts::spawn(record, &store, ports.packets);
        for (zone, index) in ZONES.iter().zip(1..) {
            for n in 0..HOSTS_PER_ZONE {
                let name = format!("i-7f3a{:02x}{:02x}", index, 0x40 + n);
                let address = SocketAddrV4::new(loopback(net, index, 50 + n), ports.host);
                hosts.start(&name, zone, "web", address);
            }
        }
        store.put("config", "main", &configuration(7, &services));
        std::thread::sleep(Duration::from_millis(300));

        let vm_ip = |zone: u8, n: u8| loopback(net, zone, 10 + n);
        let seeds: Vec<String> = (1..=3)
            .map(|zone| format!("{}:{}", vm_ip(zone, 0), ports.peers))
            .collect();
        let mut vms = Vec::new();
        for ((zone, count), index) in ZONES.iter().zip(VMS).zip(1..) {
            for n in 0..count {
                let ip = vm_ip(index, n);
                let name = format!("edge-{zone}-{}", n + 1);
                let settings = dir.join(format!("{name}.conf"));
                write_settings(
                    &settings,
                    &template,
                    &[
                        ("node", name.clone()),
                        ("zone", (*zone).to_owned()),
                        ("limits.cpuShare", "0.25".to_owned()),
                        ("listen.datagramAddr", format!("{ip}:{}", ports.packets)),
                        ("listen.ready", format!("{ip}:{}", ports.ready)),
                        ("ip", ip.to_string()),
                        ("internalPortRange.0", ports.peers.to_string()),
                        ("platform.address", store_address.to_string()),
                        ("seeds", seeds.join(",")),
                        ("bounds.graceS", "6".to_owned()),
                    ],
                );
                vms.push(VmAddresses {
                    log: dir.join(format!("{name}.log")),
                    packets: SocketAddrV4::new(ip, ports.packets),
                    ready: SocketAddrV4::new(ip, ports.ready),
                    zone: (*zone).to_owned(),
                    name,
                    settings,
                });
            }
        }
        let count = vms.len();
        let router = Router::spawn(record, &program, vms);
        (0..count).for_each(|index| router.start(index));
        let zone_clients = ZONES.iter().zip(101..).map(|(zone, index)| ZoneClients {
            zone: (*zone).to_owned(),
            addresses: (1..=CLIENTS_PER_ZONE)
                .map(|n| SocketAddrV4::new(loopback(net, index, n), ports.packets))
                .collect(),
        });
        let deployment = Deployment {
            record: record.clone(),
            store,
            hosts,
            services,
            zone_clients: zone_clients.collect(),
            router,
            dir,
        };
        if !deployment.router.wait_until_ready(Duration::from_secs(15)) {
            deployment.router.kill_all();
            return Err("the VMs did not become ready".to_owned());
        }
        Ok(deployment)
    }

    /// Starts the clients. Each address keeps `long_flows` flows open besides.
    pub fn start_traffic(&self, services: &[SocketAddrV4], long_flows: usize) -> Clients {
        let (zones, per_s) = (&self.zone_clients, REQUESTS_PER_S);
        Clients::spawn(
            &self.record,
            &self.router,
            zones,
            services,
            per_s,
            long_flows,
        )
    }

    /// Ends all processes.
    pub fn close(&mut self) {
        self.router.kill_all();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => self.record.say(&format!("logs: {}", self.dir.display())),
            None => {
                let _ = fs::remove_dir_all(&self.dir);
            }
        }
    }
}

/// Returns a configuration with one route for each address, all to the same service.
pub fn configuration(version: u64, routes: &[SocketAddrV4]) -> String {
    let route = |address: &SocketAddrV4| {
        format!(
            "{{\"name\":\"r-{}\",\"host\":\"{}\",\"pathPrefix\":\"/{}/\",\"type\":\"safe\",\"timeoutMs\":4000,\"targetLatencyMs\":250,\"priority\":2,\"service\":\"web\",\"maxAttempts\":2}}",
            address.ip().octets()[3],
            address.ip(),
            address.port()
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"web\",\"healthPath\":\"/health\",\"maxFlows\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
