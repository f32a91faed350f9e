//! Entry VMs and the stand-ins around them, as processes.

use std::{
    env,
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use dragonflytrack::core::{
    configuration::Configuration,
    names::VmId, //
};
use dragonflytrack_emulator::{
    backends::records::Records,
    callers::Summary, //
};

use super::{
    address::Addresses,
    child::{
        Child,
        Signal, //
    },
    http,
    wait_until, //
};
use crate::sample::{
    self,
    ServiceSpec, //
};

/// How long processes may take to start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What a system consists of.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// The data centres.
    pub data_centres: &'a [&'a str],
    /// The services with their backend servers.
    pub services: &'a [ServiceSpec],
    /// How many entry VMs each data centre has.
    pub vms: usize,
    /// Further arguments of the backend servers.
    pub backends: &'a [&'a str],
    /// Further lines of each entry VM's settings.
    pub settings: &'a str,
}

impl Default for Spec<'_> {
    fn default() -> Self {
        Spec {
            data_centres: &sample::HU_CENTRAL,
            services: &sample::HU_CENTRAL_SERVICES,
            vms: 2,
            backends: &[],
            settings: "",
        }
    }
}

/// One entry VM.
#[derive(Debug)]
pub struct EntryVm {
    /// The name.
    pub id: VmId,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The UDP address for packets of the fabric.
    pub fabric: SocketAddr,
    /// The UDP address for packets of other VMs.
    pub relay: SocketAddr,
    /// The HTTP address for callers.
    pub callers: SocketAddr,
    /// The TCP address for messages of other VMs.
    pub peers: SocketAddr,
    /// The HTTP address for operators.
    pub admin: SocketAddr,
    /// The process, unless it was stopped.
    pub process: Option<Child>,
}

/// A system of processes. All are killed when it is dropped.
#[derive(Debug)]
pub struct System {
    /// The entry VMs, in the order of the data centres.
    pub vms: Vec<EntryVm>,
    /// The configuration that the platform held first.
    pub cfg: Configuration,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The address of the backend servers' records.
    pub records: SocketAddr,
    platform_process: Option<Child>,
    backends_process: Option<Child>,
    fabric_process: Option<Child>,
    fabric: SocketAddr,
    replies: SocketAddr,
    dir: PathBuf,
    binary: PathBuf,
    emulator: PathBuf,
}

impl System {
    /// Starts all processes and waits until each entry VM is ready. `binary` is
    /// the program of the entry VMs; the emulator stands beside it.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or an entry VM does not become
    /// ready.
    pub fn start(binary: &str, spec: &Spec<'_>) -> System {
        let mut system = System::prepare(binary, spec);
        system.start_platform();
        system.start_backends(spec.backends);
        system.start_fabric();
        for at in 0..system.vms.len() {
            system.start_vm(at);
        }
        system.configure();
        system.wait_ready();
        system
    }

    fn prepare(binary: &str, spec: &Spec<'_>) -> System {
        let binary = PathBuf::from(binary);
        let emulator = binary.with_file_name("dragonflytrack-emulator");
        assert!(
            emulator.exists(),
            "{} is missing; run `cargo build --workspace` first",
            emulator.display()
        );
        let mut addresses = Addresses::open();
        let cfg = configuration(spec, &mut addresses);
        let system = System {
            vms: entry_vms(spec, &mut addresses),
            cfg,
            platform: addresses.take(),
            records: addresses.take(),
            platform_process: None,
            backends_process: None,
            fabric_process: None,
            fabric: addresses.take(),
            replies: addresses.take(),
            dir: create_dir(),
            binary,
            emulator,
        };
        system.write_files(spec);
        system
    }

    fn write_files(&self, spec: &Spec<'_>) {
        let cfg = serde_json::to_vec(&self.cfg).expect("a configuration is JSON");
        self.write("configuration.json", cfg);
        for vm in &self.vms {
            self.write(&format!("{}.ini", vm.id), self.settings(vm, spec.settings));
        }
        self.list_vms(|_| true);
    }

    fn write(&self, name: &str, text: impl AsRef<[u8]>) {
        fs::write(self.dir.join(name), text).expect("the directory can be written");
    }

    fn settings(&self, vm: &EntryVm, more: &str) -> String {
        let peers: String = self
            .vms
            .iter()
            .map(|peer| format!("{} = {}\n", peer.id, peer.peers))
            .collect();
        format!(
            "[vm]\nname = {}\ndata-centre = {}\n\
             [listen]\nfabric = {}\nrelay = {}\ncallers = {}\npeers = {}\nadmin = {}\n\
             [fabric]\nreplies = {}\n[platform]\naddress = {}\n[peers]\n{peers}{more}",
            vm.id,
            vm.data_centre,
            vm.fabric,
            vm.relay,
            vm.callers,
            vm.peers,
            vm.admin,
            self.replies,
            self.platform,
        )
    }

    /// Tells the fabric which entry VMs are live.
    pub fn list_vms(&self, live: impl Fn(&EntryVm) -> bool) {
        let list: String = self
            .vms
            .iter()
            .filter(|vm| live(vm))
            .map(|vm| format!("{}\n", vm.fabric))
            .collect();
        self.write("fabric.new", list);
        fs::rename(self.dir.join("fabric.new"), self.dir.join("fabric.list"))
            .expect("the list can be replaced");
    }

    fn emulator(&self, log: &str, args: Vec<String>) -> Child {
        Child::start(&self.emulator, &args, &self.dir.join(log))
    }

    fn start_platform(&mut self) {
        let args = vec!["platform".to_owned(), format!("--listen={}", self.platform)];
        self.platform_process = Some(self.emulator("platform.log", args));
    }

    fn start_backends(&mut self, more: &[&str]) {
        let mut args = vec![
            "backends".to_owned(),
            format!("--configuration={}", self.path("configuration.json")),
            format!("--control={}", self.records),
        ];
        args.extend(more.iter().map(ToString::to_string));
        self.backends_process = Some(self.emulator("backends.log", args));
        let records = self.records;
        wait_until("the backend servers start", START_LIMIT, || {
            http::get(records, "/-/records").is_ok()
        });
    }

    fn start_fabric(&mut self) {
        let args = vec![
            "fabric".to_owned(),
            format!("--listen={}", self.fabric),
            format!("--replies={}", self.replies),
            format!("--list={}", self.path("fabric.list")),
        ];
        self.fabric_process = Some(self.emulator("fabric.log", args));
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Starts the process of an entry VM.
    pub fn start_vm(&mut self, at: usize) {
        let id = &self.vms[at].id;
        let args = [
            "run".to_owned(),
            "--settings".to_owned(),
            self.path(&format!("{id}.ini")),
        ];
        let log = self.dir.join(format!("{id}.log"));
        self.vms[at].process = Some(Child::start(&self.binary, &args, &log));
    }

    /// Kills an entry VM.
    pub fn kill_vm(&mut self, at: usize) {
        self.vms[at].process = None;
    }

    /// Sends `signal` to an entry VM.
    ///
    /// # Panics
    ///
    /// Panics if the entry VM does not run.
    pub fn signal_vm(&self, at: usize, signal: Signal) {
        let process = self.vms[at].process.as_ref();
        process.expect("the entry VM runs").signal(signal);
    }

    /// Kills the platform. It loses all objects.
    pub fn kill_platform(&mut self) {
        self.platform_process = None;
    }

    /// Starts the platform again, with the first configuration.
    pub fn restart_platform(&mut self) {
        self.start_platform();
        self.configure();
    }

    /// Writes the first configuration to the platform.
    fn configure(&self) {
        let body = serde_json::to_string(&self.cfg).expect("a configuration is JSON");
        wait_until("the platform starts", START_LIMIT, || {
            let path = "/v1/objects/configurations/current";
            let headers = [("content-type", "application/json"), ("if-none-match", "*")];
            http::send(self.platform, "PUT", path, &headers, &body).is_ok_and(|r| r.status == 200)
        });
    }

    /// Waits until each entry VM that runs is ready.
    ///
    /// # Panics
    ///
    /// Panics if one does not become ready.
    pub fn wait_ready(&self) {
        for vm in self.vms.iter().filter(|vm| vm.process.is_some()) {
            wait_until(&format!("{} is ready", vm.id), START_LIMIT, || {
                vm.is_ready()
            });
        }
    }

    /// Starts callers against the entry VMs, with further arguments. `host`
    /// tells callers of one system apart.
    pub fn start_callers(&self, host: u8, args: &[&str]) -> Callers {
        let summary = self.dir.join(format!("callers-{host}.json"));
        let mut all = vec![
            "callers".to_owned(),
            format!("--fabric={}", self.fabric),
            format!("--configuration={}", self.path("configuration.json")),
            format!("--platform={}", self.platform),
            format!("--records={}", self.records),
            format!("--host={host}"),
            format!("--summary={}", summary.display()),
        ];
        for vm in &self.vms {
            all.push(format!("--vm={}", vm.callers));
        }
        all.extend(args.iter().map(ToString::to_string));
        Callers {
            process: self.emulator(&format!("callers-{host}.log"), all),
            summary,
        }
    }

    /// Reads the backend servers' records.
    ///
    /// # Panics
    ///
    /// Panics if they cannot be read.
    pub fn read_records(&self) -> Records {
        let response = http::get(self.records, "/-/records").expect("records can be read");
        serde_json::from_str(&response.body).expect("records are JSON")
    }
}

impl EntryVm {
    /// Tells whether the entry VM says that it may serve.
    pub fn is_ready(&self) -> bool {
        http::get(self.admin, "/readyz").is_ok_and(|r| r.status == 200)
    }

    /// Returns the process.
    ///
    /// # Panics
    ///
    /// Panics if the entry VM does not run.
    pub fn process(&mut self) -> &mut Child {
        self.process.as_mut().expect("the entry VM runs")
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the logs are in {}", self.dir.display());
        } else {
            // A directory that stays is only untidy.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Callers that run.
#[derive(Debug)]
pub struct Callers {
    process: Child,
    summary: PathBuf,
}

impl Callers {
    /// Waits for the callers' end and returns what they saw.
    ///
    /// # Panics
    ///
    /// Panics if they do not end within `limit` or leave no summary.
    pub fn finish(mut self, limit: Duration) -> Summary {
        let status = self.process.wait(limit);
        assert!(status.is_some(), "the callers do not end");
        read_summary(&self.summary)
            .unwrap_or_else(|| panic!("the callers leave no summary: {}", self.process.log()))
    }
}

fn read_summary(path: &Path) -> Option<Summary> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}

fn configuration(spec: &Spec<'_>, addresses: &mut Addresses) -> Configuration {
    let mut cfg = sample::configuration(spec.data_centres, spec.services);
    for backend in &mut cfg.backends {
        backend.packets = addresses.take();
        backend.requests = addresses.take();
    }
    cfg
}

fn entry_vms(spec: &Spec<'_>, addresses: &mut Addresses) -> Vec<EntryVm> {
    let mut vms = Vec::new();
    for data_centre in spec.data_centres {
        for n in 1..=spec.vms {
            vms.push(EntryVm {
                id: VmId::new(format!("{data_centre}-{n}")),
                data_centre: (*data_centre).to_owned(),
                fabric: addresses.take(),
                relay: addresses.take(),
                callers: addresses.take(),
                peers: addresses.take(),
                admin: addresses.take(),
                process: None,
            });
        }
    }
    vms
}

fn create_dir() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = env::temp_dir().join(format!("dragonflytrack-{}-{n}", std::process::id()));
    fs::create_dir_all(&dir).expect("the temporary directory can be written");
    dir
}
