//! The platform's store: revisions, leases, ranges, watches and transactions.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::util::{Json, Message, Reader, base64, respond};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Number of times that the store came back from a copy, in all answers.
    era: u64,
    /// Until when it is away, in a drill.
    away_until: Option<Instant>,
    /// Until when watches hear nothing.
    mute_until: Option<Instant>,
    /// Revision up to which the history is dropped.
    compacted: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key and the value, none for a removal.
    changes: Vec<(u64, String, Option<String>)>,
    /// Time of life and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Until when answers to writes are lost, and how many writes there have been since then.
    losing: Option<(Instant, u64)>,
    /// Time after which a write whose answer is lost is done.
    delay: Duration,
}

/// A copy of a store's items, and of its leases with the time that each had left.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: Vec<(u64, Duration, Duration)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
    note: Box<dyn Fn(String) + Send + Sync>,
}

impl Store {
    pub fn start(note: impl Fn(String) + Send + Sync + 'static) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let state = State { revision: 100, era: 1, next_lease: 1, ..State::default() };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            address,
            note: Box::new(note),
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("state of the store")
    }

    fn is_away(&self) -> bool {
        self.lock().away_until.is_some_and(|end| Instant::now() < end)
    }

    /// Writes an item without a lease, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.write(key, Some(base64(value.as_bytes())), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().write(key, None, 0);
        self.changed.notify_all();
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// What the store has now, for a drill.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        let leases = state
            .leases
            .iter()
            .map(|(id, (time, end))| (*id, *time, end.saturating_duration_since(Instant::now())));
        Copy { revision: state.revision, items: state.items.clone(), leases: leases.collect() }
    }

    /// Goes away for `time`, and comes back from a copy.
    pub fn drill(&self, copy: &Copy, time: Duration) {
        let back = Instant::now() + time;
        let mut state = self.lock();
        state.away_until = Some(back);
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.changes.retain(|(revision, _, _)| *revision <= copy.revision);
        let leases = copy.leases.iter().map(|(id, time, left)| (*id, (*time, back + *left)));
        state.leases = leases.collect();
        self.changed.notify_all();
    }

    /// Lets watches hear nothing for a second, in which an item changes, then drops the history and
    /// cuts them.
    pub fn compact(self: &Arc<Self>, key: &str, value: &str) {
        let mute = Duration::from_secs(1);
        self.lock().mute_until = Some(Instant::now() + mute);
        self.put(key, value);
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(mute);
            let mut state = store.lock();
            state.mute_until = None;
            state.compacted = state.revision;
            store.changed.notify_all();
        });
    }

    /// From now on every third write, beginning with the next, is done `delay` after it came and
    /// not answered.
    pub fn lose_writes(&self, time: Duration, delay: Duration) {
        let mut state = self.lock();
        state.losing = Some((Instant::now() + time, 0));
        state.delay = delay;
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.leases.remove(&lease);
            let items = state.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
            for key in keys {
                (self.note)(format!("store: lease {lease} ended, removed {key}"));
                state.write(&key, None, 0);
            }
            self.changed.notify_all();
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut answers) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            // Its latency on the sheets.
            thread::sleep(Duration::from_millis(4));
            let era = self.lock().era;
            if self.is_away() {
                return;
            }
            let Some((status, body)) = self.clone().answer(&request) else {
                // The answer is lost, and the connection returns nothing further.
                while let Ok(Some(_)) = reader.message() {}
                return;
            };
            // A call that was open when the store went away gets no answer.
            if self.is_away() || self.lock().era != era {
                return;
            }
            let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
            if respond(&mut answers, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(self: Arc<Self>, request: &Message) -> Option<(&'static str, String)> {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let fields: BTreeMap<&str, String> =
            pairs.map(|(name, value)| (name, decode(value))).collect();
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        if path == "/api/kv-key" {
            return Some(self.lock().item(&field("key")));
        }
        if path == "/api/kv-range" {
            return Some(("200 OK", self.lock().range(&field("prefix"))));
        }
        if path == "/api/kv-watch" {
            let after = field("after").parse().unwrap_or(0);
            let wait = field("waitMs").parse().unwrap_or(0);
            return Some(self.watch(&field("prefix"), after, Duration::from_millis(wait)));
        }
        if path == "/api/kv-lease" {
            let ttl = Json::parse(&request.text())?.get("ttlMs").number();
            return Some(("200 OK", self.lock().grant(ttl)));
        }
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            return Some(self.lock().renew(lease.parse().unwrap_or(0)));
        }
        if path == "/api/kv-txn" {
            let body = Json::parse(&request.text())?;
            return self.write(body);
        }
        Some(("404 Not Found", "{}".to_owned()))
    }

    /// Runs a transaction; none if its answer is lost.
    fn write(self: Arc<Self>, body: Json) -> Option<(&'static str, String)> {
        let mut state = self.lock();
        let lost = match &mut state.losing {
            Some((end, count)) if Instant::now() < *end => {
                *count += 1;
                *count % 3 == 1
            }
            _ => false,
        };
        if !lost {
            let answer = state.transact(&body);
            self.changed.notify_all();
            return Some(answer);
        }
        let delay = state.delay;
        drop(state);
        let keys: Vec<&str> =
            body.get("puts").list().iter().map(|put| put.get("key").text()).collect();
        (self.note)(format!("store: answer lost, done in {} ms: {keys:?}", delay.as_millis()));
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let (status, _) = store.lock().transact(&body);
            store.changed.notify_all();
            (store.note)(format!("store: late write done: {status}"));
        });
        None
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        if state.revision < after || after < state.compacted {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let changes = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#
                    ),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            if after < state.compacted {
                return ("410 Gone", "{}".to_owned());
            }
            let now = Instant::now();
            let mute = state.mute_until.is_some_and(|end| now < end);
            let events = if mute { Vec::new() } else { events };
            if !events.is_empty() || now >= end && !mute || state.era != era {
                let at = state.revision;
                let body = format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
                return ("200 OK", body);
            }
            let pause = end.saturating_duration_since(now).max(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, pause).expect("state of the store").0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.changes.push((revision, key.to_owned(), value.clone()));
        match value {
            Some(value) => {
                self.items.insert(key.to_owned(), Item { value, revision, lease });
            }
            None => {
                self.items.remove(key);
            }
        }
    }

    fn item(&self, key: &str) -> (&'static str, String) {
        let at = self.revision;
        match self.items.get(key) {
            Some(item) => ("200 OK", item.json(key, &format!(r#","at":{at}"#))),
            None => ("404 Not Found", format!(r#"{{"at":{at}}}"#)),
        }
    }

    fn range(&self, prefix: &str) -> String {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| item.json(key, "")).collect();
        format!(r#"{{"items":[{}],"hasMore":false,"at":{}}}"#, items.join(","), self.revision)
    }

    fn grant(&mut self, ttl: u64) -> String {
        let lease = self.next_lease;
        self.next_lease += 1;
        let time = Duration::from_millis(ttl);
        self.leases.insert(lease, (time, Instant::now() + time));
        format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#)
    }

    fn renew(&mut self, lease: u64) -> (&'static str, String) {
        match self.leases.get_mut(&lease) {
            Some((time, end)) => {
                *end = Instant::now() + *time;
                ("200 OK", format!(r#"{{"lease":{lease},"ttlMs":{}}}"#, time.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&mut self, body: &Json) -> (&'static str, String) {
        let conditions = body.get("precondition").list();
        let failed = conditions.iter().any(|condition| {
            let revision = self.items.get(condition.get("key").text()).map_or(0, |i| i.revision);
            revision != condition.get("revision").number()
        });
        if failed {
            let keys = conditions.iter().map(|condition| condition.get("key").text());
            let items = keys.filter_map(|key| Some(self.items.get(key)?.json(key, "")));
            let items: Vec<String> = items.collect();
            return ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = body.get("puts").list();
        let unknown = puts.iter().map(|put| put.get("lease").number());
        if unknown.filter(|lease| *lease > 0).any(|lease| !self.leases.contains_key(&lease)) {
            return ("404 Not Found", "{}".to_owned());
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            self.write(put.get("key").text(), Some(value), put.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.write(key.text(), None, 0);
        }
        ("200 OK", format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Item {
    fn json(&self, key: &str, more: &str) -> String {
        let Self { value, revision, lease } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":{lease}{more}}}"#
        )
    }
}

/// Decodes the percent-encoded value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?');
            decoded.push(code);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
