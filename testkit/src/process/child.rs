//! A child process that ends with its test.

use std::{
    fs::{
        self,
        File, //
    },
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        self,
        Command,
        ExitStatus,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use super::address;

/// A signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Freezes it.
    Stop,
    /// Wakes it.
    Continue,
    /// Asks it for a planned stop.
    Terminate,
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Child {
    child: process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts `binary` with `args`. Its output goes to the file `log`.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start(binary: &Path, args: &[String], log: &Path) -> Child {
        let open = || -> io::Result<File> { File::options().create(true).append(true).open(log) };
        let _guard = address::lock();
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(open().expect("the log can be written"))
            .stderr(open().expect("the log can be written"))
            .spawn()
            .unwrap_or_else(|e| panic!("cannot start {}: {e}", binary.display()));
        Child {
            child,
            log: log.to_owned(),
        }
    }

    /// Returns the process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        };
        let _guard = address::lock();
        let status = Command::new("kill")
            .args([name, &self.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "cannot send {signal:?}");
    }

    /// Waits for the process's end.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        const POLL: Duration = Duration::from_millis(10);
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(POLL);
        }
        None
    }

    /// Returns what the process has written.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the number of the process's threads.
    pub fn threads(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.id())).map_or(0, Iterator::count)
    }

    /// Returns the memory that the process holds, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
