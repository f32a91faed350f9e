//! The platform's routers, and the processes of the system that they forward to.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Missed readiness probes after which a VM is out of rotation.
const MAX_MISSES: u32 = 2;

pub struct VmAddresses {
    pub name: String,
    pub zone: String,
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub settings: PathBuf,
    pub log: PathBuf,
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes after a panic of the stand-in.
pub fn end_running() {
    let ids = RUNNING.lock().map(|r| r.clone()).unwrap_or_default();
    for id in ids {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -KILL {id}")])
            .status();
    }
}

fn forget(id: u32) {
    RUNNING.lock().unwrap().retain(|r| *r != id);
}

struct Vm {
    addresses: VmAddresses,
    process: Option<Child>,
    misses: u32,
    is_in: bool,
}

#[derive(Clone)]
pub struct Router {
    vms: Arc<Mutex<Vec<Vm>>>,
    record: Record,
    program: Vec<String>,
}

impl Router {
    /// `program` is the command of the deploy file.
    pub fn spawn(record: &Record, program: &str, vms: Vec<VmAddresses>) -> Router {
        let vms = vms.into_iter().map(|addresses| Vm {
            addresses,
            process: None,
            misses: MAX_MISSES,
            is_in: false,
        });
        let router = Router {
            vms: Arc::new(Mutex::new(vms.collect())),
            record: record.clone(),
            program: program.split_whitespace().map(str::to_owned).collect(),
        };
        let count = router.vms.lock().unwrap().len();
        for index in 0..count {
            let prober = router.clone();
            thread::spawn(move || prober.probe(index));
        }
        router
    }

    /// Starts the process of a VM.
    pub fn start(&self, index: usize) {
        let mut vms = self.vms.lock().unwrap();
        let vm = &mut vms[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&vm.addresses.log)
            .unwrap();
        let process = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("LANG", "C")
            .env("DRAGONFLYTRACK_SETTINGS", &vm.addresses.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("start a VM");
        RUNNING.lock().unwrap().push(process.id());
        vm.process = Some(process);
        self.record.say(&format!("{} starts", vm.addresses.name));
    }

    /// Sends SIGKILL to the process of a VM and waits for its end.
    pub fn kill(&self, index: usize) {
        let process = self.vms.lock().unwrap()[index].process.take();
        if let Some(mut process) = process {
            let _ = process.kill();
            let _ = process.wait();
            forget(process.id());
        }
    }

    /// Sends SIGTERM to the process of a VM and waits for its end, `limit` at most.
    pub fn terminate(&self, index: usize, limit: Duration) {
        let Some(mut process) = self.vms.lock().unwrap()[index].process.take() else {
            return;
        };
        let command = format!("kill -TERM {}", process.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && matches!(process.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = process.kill();
        let _ = process.wait();
        forget(process.id());
    }

    pub fn count(&self) -> usize {
        self.vms.lock().unwrap().len()
    }

    pub fn kill_all(&self) {
        let count = self.vms.lock().unwrap().len();
        (0..count).for_each(|index| self.kill(index));
    }

    /// Returns the names of the VMs whose processes have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut vms = self.vms.lock().unwrap();
        let ended = vms.iter_mut().filter_map(|vm| {
            let process = vm.process.as_mut()?;
            matches!(process.try_wait(), Ok(Some(_))).then(|| vm.addresses.name.clone())
        });
        ended.collect()
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.vms.lock().unwrap().iter().all(|vm| vm.is_in) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn probe(&self, index: usize) {
        let address = self.vms.lock().unwrap()[index].addresses.ready;
        loop {
            let started = Instant::now();
            let is_ready = probe_once(address);
            {
                let mut vms = self.vms.lock().unwrap();
                let vm = &mut vms[index];
                vm.misses = if is_ready { 0 } else { vm.misses + 1 };
                let is_in = if is_ready {
                    true
                } else {
                    vm.is_in && vm.misses < MAX_MISSES
                };
                if is_in != vm.is_in {
                    vm.is_in = is_in;
                    let name = &vm.addresses.name;
                    self.record.say(&format!("{name} is in rotation: {is_in}"));
                }
            }
            thread::sleep(PROBE_INTERVAL.saturating_sub(started.elapsed()));
        }
    }

    /// Returns the VM for a packet of a client in `zone`, by a hash of its four
    /// addresses and ports.
    pub fn choose(
        &self,
        zone: &str,
        src: SocketAddrV4,
        dst: SocketAddrV4,
    ) -> Option<(String, SocketAddrV4)> {
        let vms = self.vms.lock().unwrap();
        let usable = |zone: &str| {
            let all: Vec<&Vm> = vms.iter().filter(|vm| vm.addresses.zone == zone).collect();
            let ready: Vec<&Vm> = all.iter().copied().filter(|vm| vm.is_in).collect();
            match (ready.is_empty(), ready.len() * 2 < all.len()) {
                (true, _) => Vec::new(),
                (false, true) => all,
                (false, false) => ready,
            }
        };
        let mut candidates = usable(zone);
        if candidates.is_empty() {
            candidates = vms.iter().filter(|vm| vm.is_in).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        let mut hash = 0x811c_9dc5_u32;
        for end in [src, dst] {
            for byte in end
                .ip()
                .octets()
                .into_iter()
                .chain(end.port().to_be_bytes())
            {
                hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
            }
        }
        let vm = candidates[(hash >> 7) as usize % candidates.len()];
        Some((vm.addresses.name.clone(), vm.addresses.packets))
    }
}

fn probe_once(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), PROBE_TIMEOUT) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(PROBE_TIMEOUT));
    let request = b"GET /api/readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).is_err() {
        return false;
    }
    let mut buf = [0; 64];
    matches!(stream.read(&mut buf), Ok(len) if buf[..len].starts_with(b"HTTP/1.1 200"))
}

/// Fills the template of the deploy file in.
pub fn write_settings(path: &PathBuf, template: &str, values: &[(&str, String)]) {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    fs::write(path, text).expect("write the settings of a VM");
}
