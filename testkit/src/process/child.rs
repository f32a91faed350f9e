//! A child process that is killed when its test ends.

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

/// A Unix signal.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// `SIGKILL`: terminates the process at once.
    Kill,
    /// `SIGSTOP`: suspends the process.
    Stop,
    /// `SIGCONT`: resumes a suspended process.
    Continue,
    /// `SIGTERM`: requests a graceful shutdown.
    Terminate,
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Child {
    child: process::Child,
    log_path: PathBuf,
}

impl Child {
    /// Starts `binary` with `args`. Appends stdout and stderr to the file at
    /// `log_path`.
    ///
    /// # Panics
    ///
    /// Panics if the log file cannot be opened or the process cannot be started.
    pub fn start(binary: &Path, args: &[String], log_path: &Path) -> Child {
        let open_log =
            || -> io::Result<File> { File::options().create(true).append(true).open(log_path) };
        let _guard = address::lock_spawn();
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(open_log().expect("failed to open the log file"))
            .stderr(open_log().expect("failed to open the log file"))
            .spawn()
            .unwrap_or_else(|e| panic!("failed to start {}: {e}", binary.display()));
        Child {
            child,
            log_path: log_path.to_owned(),
        }
    }

    /// Returns the process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal` to the process.
    ///
    /// # Panics
    ///
    /// Panics if the `kill` command fails, for one because the process is gone.
    pub fn signal(&self, signal: Signal) {
        let option = match signal {
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        };
        let _guard = address::lock_spawn();
        let status = Command::new("kill")
            .args([option, &self.pid().to_string()])
            .status()
            .expect("failed to run kill");
        assert!(status.success(), "failed to send {signal:?}");
    }

    /// Waits until the process exits. Returns `None` after `timeout`.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the log so far, or an empty string if it cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the number of threads, or zero once the process is gone.
    pub fn thread_count(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.pid())).map_or(0, Iterator::count)
    }

    /// Returns the resident set size in KiB, or zero once the process is gone.
    pub fn resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
