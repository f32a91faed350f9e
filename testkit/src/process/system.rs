//! Entry VMs as processes, with emulated platform, fabric, backend servers and
//! callers.

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
    address::AddressAllocator,
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

/// How long the processes may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The size and the settings of a [`System`].
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// The data centres.
    pub data_centres: &'a [&'a str],
    /// The services with their backend servers.
    pub services: &'a [ServiceSpec],
    /// The number of entry VMs in each data centre.
    pub vms_per_data_centre: usize,
    /// Additional arguments of the backend server emulator.
    pub backend_args: &'a [&'a str],
    /// Lines appended to each entry VM's settings file.
    pub extra_settings: &'a str,
}

impl Default for Spec<'_> {
    fn default() -> Self {
        Spec {
            data_centres: &sample::HU_CENTRAL,
            services: &sample::HU_CENTRAL_SERVICES,
            vms_per_data_centre: 2,
            backend_args: &[],
            extra_settings: "",
        }
    }
}

/// One entry VM.
#[derive(Debug)]
pub struct EntryVm {
    /// The name, which is unique in the system.
    pub id: VmId,
    /// The data centre that hosts the VM.
    pub data_centre: String,
    /// The UDP address for packets from the fabric.
    pub fabric_address: SocketAddr,
    /// The UDP address for packets relayed by other VMs.
    pub relay_address: SocketAddr,
    /// The HTTP address for callers.
    pub caller_address: SocketAddr,
    /// The TCP address for messages from other VMs.
    pub peer_address: SocketAddr,
    /// The HTTP address for operators.
    pub admin_address: SocketAddr,
    /// The process, or `None` before the start and after a kill.
    pub process: Option<Child>,
}

/// A system of processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct System {
    /// The entry VMs, grouped by data centre.
    pub vms: Vec<EntryVm>,
    /// The initial configuration on the platform.
    pub cfg: Configuration,
    /// The HTTP address of the platform emulator.
    pub platform_address: SocketAddr,
    /// The HTTP address of the backend servers' request records.
    pub records_address: SocketAddr,
    platform_process: Option<Child>,
    backends_process: Option<Child>,
    fabric_process: Option<Child>,
    fabric_address: SocketAddr,
    reply_address: SocketAddr,
    dir: PathBuf,
    binary: PathBuf,
    emulator_binary: PathBuf,
}

impl System {
    /// Starts all processes and waits until each entry VM is ready. `binary` is
    /// the program of the entry VMs; the emulator must be in the same directory.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or an entry VM does not become
    /// ready in time.
    pub fn start(binary: &str, spec: &Spec<'_>) -> System {
        let mut system = System::prepare(binary, spec);
        system.start_platform();
        system.start_backends(spec.backend_args);
        system.start_fabric();
        for index in 0..system.vms.len() {
            system.start_vm(index);
        }
        system.put_configuration();
        system.wait_until_ready();
        system
    }

    /// Allocates the addresses and writes all files, without starting a process.
    fn prepare(binary: &str, spec: &Spec<'_>) -> System {
        let binary = PathBuf::from(binary);
        let emulator_binary = binary.with_file_name("dragonflytrack-emulator");
        assert!(
            emulator_binary.exists(),
            "{} is missing; run `cargo build --workspace` first",
            emulator_binary.display()
        );
        let mut allocator = AddressAllocator::open();
        let cfg = configuration(spec, &mut allocator);
        let system = System {
            vms: entry_vms(spec, &mut allocator),
            cfg,
            platform_address: allocator.allocate(),
            records_address: allocator.allocate(),
            platform_process: None,
            backends_process: None,
            fabric_process: None,
            fabric_address: allocator.allocate(),
            reply_address: allocator.allocate(),
            dir: create_dir(),
            binary,
            emulator_binary,
        };
        system.write_config_files(spec);
        system
    }

    fn write_config_files(&self, spec: &Spec<'_>) {
        let cfg = serde_json::to_vec(&self.cfg).expect("failed to encode the configuration");
        self.write_file("configuration.json", cfg);
        for vm in &self.vms {
            self.write_file(
                &format!("{}.ini", vm.id),
                self.settings(vm, spec.extra_settings),
            );
        }
        self.set_fabric_targets(|_| true);
    }

    fn write_file(&self, name: &str, content: impl AsRef<[u8]>) {
        fs::write(self.dir.join(name), content).expect("failed to write to the test directory");
    }

    fn settings(&self, vm: &EntryVm, extra_settings: &str) -> String {
        let peers: String = self
            .vms
            .iter()
            .map(|peer| format!("{} = {}\n", peer.id, peer.peer_address))
            .collect();
        format!(
            "[vm]\nname = {}\ndata-centre = {}\n\
             [listen]\nfabric = {}\nrelay = {}\ncallers = {}\npeers = {}\nadmin = {}\n\
             [fabric]\nreplies = {}\n[platform]\naddress = {}\n[peers]\n{peers}{extra_settings}",
            vm.id,
            vm.data_centre,
            vm.fabric_address,
            vm.relay_address,
            vm.caller_address,
            vm.peer_address,
            vm.admin_address,
            self.reply_address,
            self.platform_address,
        )
    }

    /// Replaces the list of entry VMs to which the fabric sends packets.
    pub fn set_fabric_targets(&self, is_live: impl Fn(&EntryVm) -> bool) {
        let list: String = self
            .vms
            .iter()
            .filter(|vm| is_live(vm))
            .map(|vm| format!("{}\n", vm.fabric_address))
            .collect();
        self.write_file("fabric.new", list);
        fs::rename(self.dir.join("fabric.new"), self.dir.join("fabric.list"))
            .expect("failed to replace the fabric list");
    }

    fn start_emulator(&self, log_name: &str, args: Vec<String>) -> Child {
        Child::start(&self.emulator_binary, &args, &self.dir.join(log_name))
    }

    fn start_platform(&mut self) {
        let args = vec![
            "platform".to_owned(),
            format!("--listen={}", self.platform_address),
        ];
        self.platform_process = Some(self.start_emulator("platform.log", args));
    }

    fn start_backends(&mut self, backend_args: &[&str]) {
        let mut args = vec![
            "backends".to_owned(),
            format!("--configuration={}", self.file_path("configuration.json")),
            format!("--control={}", self.records_address),
        ];
        args.extend(backend_args.iter().map(ToString::to_string));
        self.backends_process = Some(self.start_emulator("backends.log", args));
        let records_address = self.records_address;
        wait_until("the backend servers start", START_TIMEOUT, || {
            http::get(records_address, "/-/records").is_ok()
        });
    }

    fn start_fabric(&mut self) {
        let args = vec![
            "fabric".to_owned(),
            format!("--listen={}", self.fabric_address),
            format!("--replies={}", self.reply_address),
            format!("--list={}", self.file_path("fabric.list")),
        ];
        self.fabric_process = Some(self.start_emulator("fabric.log", args));
    }

    fn file_path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Starts the process of an entry VM and does not wait until it is ready.
    pub fn start_vm(&mut self, index: usize) {
        let id = &self.vms[index].id;
        let args = [
            "run".to_owned(),
            "--settings".to_owned(),
            self.file_path(&format!("{id}.ini")),
        ];
        let log = self.dir.join(format!("{id}.log"));
        self.vms[index].process = Some(Child::start(&self.binary, &args, &log));
    }

    /// Kills the process of an entry VM and waits until it has exited.
    pub fn kill_vm(&mut self, index: usize) {
        self.vms[index].process = None;
    }

    /// Sends `signal` to an entry VM.
    ///
    /// # Panics
    ///
    /// Panics if the entry VM is not running.
    pub fn signal_vm(&self, index: usize, signal: Signal) {
        let process = self.vms[index].process.as_ref();
        process.expect("the entry VM is not running").signal(signal);
    }

    /// Kills the platform emulator, which loses all stored objects.
    pub fn kill_platform(&mut self) {
        self.platform_process = None;
    }

    /// Starts the platform emulator again with the initial configuration.
    pub fn restart_platform(&mut self) {
        self.start_platform();
        self.put_configuration();
    }

    /// Waits until the platform answers and stores the initial configuration.
    fn put_configuration(&self) {
        let body = serde_json::to_string(&self.cfg).expect("failed to encode the configuration");
        wait_until("the platform starts", START_TIMEOUT, || {
            let path = "/v1/objects/configurations/current";
            let headers = [("content-type", "application/json"), ("if-none-match", "*")];
            http::send(self.platform_address, "PUT", path, &headers, &body)
                .is_ok_and(|r| r.status == 200)
        });
    }

    /// Waits until each entry VM with a process is ready.
    ///
    /// # Panics
    ///
    /// Panics if an entry VM does not become ready in time.
    pub fn wait_until_ready(&self) {
        for vm in self.vms.iter().filter(|vm| vm.process.is_some()) {
            wait_until(&format!("{} is ready", vm.id), START_TIMEOUT, || {
                vm.is_ready()
            });
        }
    }

    /// Starts a caller emulator with additional arguments. `host` must be unique
    /// among the callers of one system.
    pub fn start_callers(&self, host: u8, args: &[&str]) -> Callers {
        let summary_path = self.dir.join(format!("callers-{host}.json"));
        let mut all_args = vec![
            "callers".to_owned(),
            format!("--fabric={}", self.fabric_address),
            format!("--configuration={}", self.file_path("configuration.json")),
            format!("--platform={}", self.platform_address),
            format!("--records={}", self.records_address),
            format!("--host={host}"),
            format!("--summary={}", summary_path.display()),
        ];
        for vm in &self.vms {
            all_args.push(format!("--vm={}", vm.caller_address));
        }
        all_args.extend(args.iter().map(ToString::to_string));
        Callers {
            process: self.start_emulator(&format!("callers-{host}.log"), all_args),
            summary_path,
        }
    }

    /// Reads the backend servers' request records.
    ///
    /// # Panics
    ///
    /// Panics if the records cannot be read or decoded.
    pub fn read_records(&self) -> Records {
        let response =
            http::get(self.records_address, "/-/records").expect("failed to read the records");
        serde_json::from_str(&response.body).expect("failed to decode the records")
    }
}

impl EntryVm {
    /// Returns whether the readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        http::get(self.admin_address, "/readyz").is_ok_and(|r| r.status == 200)
    }

    /// Returns the process of the entry VM.
    ///
    /// # Panics
    ///
    /// Panics if the entry VM is not running.
    pub fn process(&mut self) -> &mut Child {
        self.process.as_mut().expect("the entry VM is not running")
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the process logs are in {}", self.dir.display());
        } else {
            // A leftover directory does no harm.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// A running caller emulator.
#[derive(Debug)]
pub struct Callers {
    process: Child,
    summary_path: PathBuf,
}

impl Callers {
    /// Waits until the emulator exits and returns its summary.
    ///
    /// # Panics
    ///
    /// Panics if the emulator does not exit within `timeout` or writes no
    /// summary.
    pub fn finish(mut self, timeout: Duration) -> Summary {
        let status = self.process.wait_timeout(timeout);
        assert!(status.is_some(), "the callers did not exit in time");
        read_summary(&self.summary_path)
            .unwrap_or_else(|| panic!("the callers wrote no summary: {}", self.process.log()))
    }
}

fn read_summary(path: &Path) -> Option<Summary> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}

fn configuration(spec: &Spec<'_>, allocator: &mut AddressAllocator) -> Configuration {
    let mut cfg = sample::configuration(spec.data_centres, spec.services);
    for backend in &mut cfg.backends {
        backend.packets = allocator.allocate();
        backend.requests = allocator.allocate();
    }
    cfg
}

fn entry_vms(spec: &Spec<'_>, allocator: &mut AddressAllocator) -> Vec<EntryVm> {
    let mut vms = Vec::new();
    for data_centre in spec.data_centres {
        for n in 1..=spec.vms_per_data_centre {
            vms.push(EntryVm {
                id: VmId::new(format!("{data_centre}-{n}")),
                data_centre: (*data_centre).to_owned(),
                fabric_address: allocator.allocate(),
                relay_address: allocator.allocate(),
                caller_address: allocator.allocate(),
                peer_address: allocator.allocate(),
                admin_address: allocator.allocate(),
                process: None,
            });
        }
    }
    vms
}

fn create_dir() -> PathBuf {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let n = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let dir = env::temp_dir().join(format!("dragonflytrack-{}-{n}", std::process::id()));
    fs::create_dir_all(&dir).expect("failed to create the test directory");
    dir
}
