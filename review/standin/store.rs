//! Stand-in for the platform's store. It loses nothing and answers at once, except on the
//! listeners that have been cut off.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::json::{Json, base64};

/// Revision before the first write.
const FIRST_REVISION: u64 = 10;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Number of times that the waiting watches have been cut.
    cuts: AtomicU64,
    /// Number of waiting watches.
    waiting: AtomicU64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item unless it was removed.
    changes: Vec<(u64, String, Option<Item>)>,
    /// Leases: lifetime and end.
    leases: HashMap<u64, (Duration, Instant)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            revision: FIRST_REVISION,
            items: BTreeMap::new(),
            changes: Vec::new(),
            leases: HashMap::new(),
        }
    }
}

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |old| old.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.lock().expire(Instant::now());
                expiring.changed.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes a key as the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.changed.notify_all();
    }

    /// Waits until a watch is waiting, and cuts it: its connection is closed without an answer.
    pub fn cut_watch(&self) {
        while self.waiting.load(Ordering::SeqCst) == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Serves the store at an address of its own. While the returned flag is set, nothing that
    /// arrives there is answered, as if the path to the store were cut.
    pub fn listen(self: &Arc<Self>) -> std::io::Result<(SocketAddr, Arc<AtomicBool>)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let (store, flag) = (self.clone(), cut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (store.clone(), flag.clone());
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.request() {
                        let Some((status, body)) = store.answer(&request) else { return };
                        // What was answered behind a cut is lost with its connection.
                        if cut.load(Ordering::SeqCst) {
                            while cut.load(Ordering::SeqCst) {
                                thread::sleep(Duration::from_millis(10));
                            }
                            return;
                        }
                        let kind = "Content-Type: application/json\r\n";
                        if connection.respond(status, kind, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok((address, cut))
    }

    /// The answer to a call; none if the connection is closed instead.
    fn answer(&self, request: &Request) -> Option<(&'static str, String)> {
        if request.path == "/api/kv-watch" {
            return self.watch(request);
        }
        Some(self.answer_now(request))
    }

    fn answer_now(&self, request: &Request) -> (&'static str, String) {
        let path = request.path.as_str();
        let id = || path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => self.key(request),
            ("GET", "/api/kv-range") => self.range(request),
            ("POST", "/api/kv-txn") => self.transact(request),
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(&request.body).get("ttlMs").number().clamp(1_000, 600_000);
                let mut state = self.lock();
                let lease = 70_000 + state.leases.len() as u64 + state.revision;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
                ("200 OK", format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                match self.lock().leases.get_mut(&id()) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                self.lock().end(id());
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn key(&self, request: &Request) -> (&'static str, String) {
        let key = request.field("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => ("200 OK", item.json(&key)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (&'static str, String) {
        let prefix = request.field("prefix").unwrap_or_default();
        let after = request.field("after").unwrap_or_default();
        let state = self.lock();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
        let (items, at) = (items.join(","), state.revision);
        ("200 OK", format!(r#"{{"items":[{items}],"hasMore":false,"at":{at}}}"#))
    }

    fn watch(&self, request: &Request) -> Option<(&'static str, String)> {
        let cuts = self.cuts.load(Ordering::SeqCst);
        let prefix = request.field("prefix").unwrap_or_default();
        let number = |name| request.field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), number("waitMs"));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let later = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = later
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return Some(("200 OK", format!(r#"{{"events":[{events}],"at":{at}}}"#)));
            }
            if self.cuts.load(Ordering::SeqCst) != cuts {
                return None;
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            let woken = self.changed.wait_timeout(state, left);
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            state = match woken {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
    }

    fn transact(&self, request: &Request) -> (&'static str, String) {
        let body = Json::parse(&request.body);
        let mut state = self.lock();
        let changes = [body.get("puts").list(), body.get("remove").list()].concat();
        let reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if changes.iter().any(|put| reserved(put.get("key").text()) || reserved(put.text())) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut failed = false;
        for row in body.get("precondition").list() {
            let current = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            failed |= current != row.get("revision").number();
        }
        if failed {
            let keys = body.get("precondition").list().iter().map(|row| row.get("key").text());
            let items: Vec<String> =
                keys.filter_map(|key| Some(state.items.get(key)?.json(key))).collect();
            return ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_owned());
            }
            state.put(put.get("key").text(), put.get("value").text().to_owned(), lease);
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }
}
