//! The store of the platform over HTTP.

use std::{
    collections::BTreeMap,
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value as Json,
    json, //
};

/// How often a pending watch checks for events.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Everything that a restore from a copy brings back.
#[derive(Clone, Default)]
pub struct StoreState {
    revision: u64,
    /// JSON texts of the objects by kind and name, each as its writer gave it.
    objects: BTreeMap<(String, String), Vec<u8>>,
    /// Revision, kind and JSON text of each event, oldest first.
    events: Vec<(u64, String, Vec<u8>)>,
}

/// Returns the JSON text of an object.
fn object_text(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let meta = json!({"name": name, "revision": revision});
    let head = format!("{{\"meta\":{meta},\"spec\":");
    [head.as_bytes(), spec, b"}"].concat()
}

/// Returns the JSON text of an event.
fn event_text(is_deleted: bool, object: &[u8]) -> Vec<u8> {
    let head = format!("{{\"deleted\":{is_deleted},\"object\":");
    [head.as_bytes(), object, b"}"].concat()
}

/// Returns the JSON text of an array.
fn array_text(elements: &[&[u8]]) -> Vec<u8> {
    [b"[".as_slice(), &elements.join(&b','), b"]"].concat()
}

/// A fake of the platform's object store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    is_down: Arc<AtomicBool>,
    /// Number of restores, given in all answers.
    era: Arc<AtomicU64>,
}

impl Store {
    /// Starts an empty store at `address`. It runs until the test process exits.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("failed to bind the store address");
        let store = Store {
            address,
            state: Arc::default(),
            is_down: Arc::default(),
            era: Arc::new(AtomicU64::new(1)),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Returns the HTTP address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the store answer each request with status 503, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Copies the state, for a later restore.
    pub fn copy(&self) -> StoreState {
        lock(&self.state).clone()
    }

    /// Restores the state from a copy, which begins a new era.
    pub fn restore(&self, copy: &StoreState) {
        let mut state = lock(&self.state);
        *state = copy.clone();
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Creates or replaces an object and records the change for watches.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) {
        self.put_text(kind, name, spec.to_string().as_bytes());
    }

    /// The same with any bytes in place of the value. The store passes them on as
    /// they are.
    pub fn put_text(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let object = object_text(name, revision, spec);
        let event = event_text(false, &object);
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object);
        state.events.push((revision, kind.to_owned(), event));
    }

    /// Removes an object and records the deletion for watches.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        let event = event_text(true, &object_text(name, revision, b"{}"));
        state.events.push((revision, kind.to_owned(), event));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(reader).lines();
        while let Some(Ok(request)) = lines.next() {
            // Skips the headers up to the empty line; no request has a body.
            while lines.next().is_some_and(|l| l.is_ok_and(|l| !l.is_empty())) {}
            let path = request.split(' ').nth(1).unwrap_or_default();
            let (status, body) = self.handle_request(path);
            let head = format!(
                "HTTP/1.1 {status} -\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n",
                self.era.load(Ordering::Relaxed),
                body.len()
            );
            let result = (&stream).write_all(&[head.as_bytes(), &body].concat());
            if result.is_err() {
                return;
            }
        }
    }

    /// Returns the status code and the body for a list or watch request.
    fn handle_request(&self, path: &str) -> (u16, Vec<u8>) {
        if self.is_down.load(Ordering::Relaxed) {
            return (503, Vec::new());
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let kind = path.rsplit('/').next().unwrap_or_default();
        let query_number = |key: &str| -> Option<u64> {
            let parse_pair = |pair: &str| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok();
            query.split('&').find_map(parse_pair)
        };
        let Some(since) = query_number("watch") else {
            return (200, self.list(kind));
        };
        let wait_ms = query_number("waitMs").unwrap_or(0);
        match self.watch(kind, since, wait_ms) {
            Some(body) => (200, body),
            None => (410, Vec::new()),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&[u8]> = of_kind.map(|(_, object)| object.as_slice()).collect();
        let tail = format!(",\"more\":false,\"storeRevision\":{}}}", state.revision);
        [b"{\"items\":", &*array_text(&items), tail.as_bytes()].concat()
    }

    /// Returns the events after `since`, or `None` if the store does not have
    /// that revision.
    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Option<Vec<u8>> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = lock(&self.state);
                if since > state.revision {
                    return None;
                }
                let newer_events = state
                    .events
                    .iter()
                    .filter(|(revision, k, _)| *revision > since && k == kind);
                let events: Vec<&[u8]> = newer_events.map(|(_, _, e)| e.as_slice()).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let tail = format!(",\"storeRevision\":{}}}", state.revision);
                    let events = array_text(&events);
                    return Some([b"{\"events\":", &*events, tail.as_bytes()].concat());
                }
            }
            thread::sleep(WATCH_POLL_INTERVAL);
        }
    }
}
