//! A stand-in for the platform's metadata store, over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes for an answer, as the pages give it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// How often a waiting watch looks for events.
const WATCH_POLL: Duration = Duration::from_millis(2);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    /// The part of the spec whose change is a change of the object.
    essence: String,
}

/// Everything that a copy holds.
#[derive(Clone, Default)]
pub struct State {
    pub revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and event, oldest first.
    events: Vec<(u64, String, String)>,
}

#[derive(Default)]
struct Inner {
    state: State,
    era: u64,
    is_away: bool,
    /// When each server last wrote its entry.
    beats: BTreeMap<String, Instant>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    /// Silence after which the entry of a server is removed.
    expiry: Duration,
}

impl Inner {
    fn object_json(name: &str, object: &Object) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
            object.revision, object.created, object.spec
        )
    }

    /// Creates or replaces an object. A write that changes nothing does not
    /// increase the revision and produces no event.
    fn put(&mut self, kind: &str, name: &str, spec: &str, essence: &str) {
        let state = &mut self.state;
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.get_mut(&key)
            && object.essence == essence
        {
            object.spec = spec.to_owned();
            return;
        }
        state.revision += 1;
        let created = state
            .objects
            .get(&key)
            .map_or(state.revision, |o| o.created);
        let object = Object {
            revision: state.revision,
            created,
            spec: spec.to_owned(),
            essence: essence.to_owned(),
        };
        let event = format!(
            "{{\"object\":{},\"deleted\":false}}",
            Self::object_json(name, &object)
        );
        state.objects.insert(key, object);
        state.events.push((state.revision, kind.to_owned(), event));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let state = &mut self.state;
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = format!(
            "{{\"object\":{},\"deleted\":true}}",
            Self::object_json(name, &object)
        );
        state.events.push((state.revision, kind.to_owned(), event));
    }
}

impl Store {
    pub fn spawn(address: SocketAddr, expiry: Duration) -> Store {
        let listener = TcpListener::bind(address).expect("bind the store");
        let inner = Inner {
            era: 1,
            ..Inner::default()
        };
        let store = Store {
            inner: Arc::new(Mutex::new(inner)),
            expiry,
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                sweeper.expire();
            }
        });
        store
    }

    /// Removes the entries of servers that were silent for too long.
    fn expire(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.is_away {
            return;
        }
        let silent: Vec<String> = inner
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > self.expiry)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            inner.beats.remove(&name);
            inner.remove("servers", &name);
        }
    }

    /// A write by the operator or the platform itself. Returns the revision of the store.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut inner = self.inner.lock().unwrap();
        inner.put(kind, name, spec, spec);
        inner.state.revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let mut inner = self.inner.lock().unwrap();
        inner.remove(kind, name);
        inner.state.revision
    }

    /// A server writes its entry. Returns whether the store accepted it.
    pub fn beat(&self, name: &str, spec: &str, essence: &str) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if inner.is_away {
            return false;
        }
        inner.beats.insert(name.to_owned(), Instant::now());
        inner.put("servers", name, spec, essence);
        true
    }

    pub fn copy(&self) -> State {
        self.inner.lock().unwrap().state.clone()
    }

    /// Leaves all calls without an answer until the store is restored.
    pub fn leave(&self) {
        self.inner.lock().unwrap().is_away = true;
    }

    /// Comes back from a copy: a new era begins.
    pub fn restore(&self, copy: &State) {
        let mut inner = self.inner.lock().unwrap();
        inner.state = copy.clone();
        inner.era += 1;
        inner.is_away = false;
        let names: Vec<String> = inner
            .state
            .objects
            .keys()
            .filter(|(kind, _)| kind == "servers")
            .map(|(_, name)| name.clone())
            .collect();
        inner.beats = names
            .into_iter()
            .map(|name| (name, Instant::now()))
            .collect();
    }

    pub fn revision(&self) -> u64 {
        self.inner.lock().unwrap().state.revision
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
            let mut len = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header)?;
                let header = header.trim().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    len = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; len];
            reader.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(&method, &target, &body);
            let era = self.inner.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all((head + &answer).as_bytes())?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        thread::sleep(ANSWER_TIME);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let param = |key: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .into_iter()
                .find(|(k, _)| *k == key)
                .map(|(_, v)| v.to_owned())
        };
        while self.inner.lock().unwrap().is_away {
            thread::sleep(WATCH_POLL);
        }
        match method {
            "GET" => match param("watch").and_then(|s| s.parse().ok()) {
                Some(since) => {
                    let wait = param("waitMs").and_then(|s| s.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => (200, self.list(kind)),
            },
            "POST" | "PUT" => self.write(method == "POST", kind, name, body),
            _ => (400, String::new()),
        }
    }

    /// A write by the system itself, to a kind of its own.
    fn write(&self, creates: bool, kind: &str, name: &str, body: &str) -> (u16, String) {
        let text = |key: &str| {
            let at = body.find(&format!("\"{key}\":"))? + key.len() + 3;
            Some(&body[at..])
        };
        let meta_name = text("meta").and_then(|m| {
            let at = m.find("\"name\":\"")? + 8;
            m[at..].split('"').next().map(str::to_owned)
        });
        let Some(spec) = text("spec").and_then(|s| s.strip_suffix('}')) else {
            return (400, String::new());
        };
        let name = if creates {
            meta_name.unwrap_or_default()
        } else {
            name.to_owned()
        };
        let mut inner = self.inner.lock().unwrap();
        let exists = inner
            .state
            .objects
            .contains_key(&(kind.to_owned(), name.clone()));
        match (creates, exists) {
            (true, true) => (409, "{}".to_owned()),
            (false, false) => (404, "{}".to_owned()),
            _ => {
                inner.put(kind, &name, spec, spec);
                (200, "{}".to_owned())
            }
        }
    }

    fn list(&self, kind: &str) -> String {
        let inner = self.inner.lock().unwrap();
        let of_kind = inner.state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), o)| Inner::object_json(name, o))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"storeRevision\":{}}}",
            items.join(","),
            inner.state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let era = self.inner.lock().unwrap().era;
        loop {
            {
                let inner = self.inner.lock().unwrap();
                if since > inner.state.revision || inner.era != era {
                    return (410, String::new());
                }
                let newer = inner
                    .state
                    .events
                    .iter()
                    .filter(|(r, k, _)| *r > since && k == kind);
                let events: Vec<&str> = newer.map(|(_, _, event)| event.as_str()).collect();
                if !inner.is_away && (!events.is_empty() || Instant::now() >= deadline) {
                    let body = format!(
                        "{{\"events\":[{}],\"storeRevision\":{}}}",
                        events.join(","),
                        inner.state.revision
                    );
                    return (200, body);
                }
            }
            thread::sleep(WATCH_POLL);
        }
    }
}
