//! The platform's key-value service in memory, with faults that tests set.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_store::{Entry, ErrorKind, Store, StoreError, StoreFuture, SwapOutcome, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

/// States of the list kept for its lag.
const LIST_HISTORY: usize = 4_096;

/// The key-value service.
#[derive(Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

struct State {
    entries: HashMap<String, Entry>,
    leases: BTreeMap<String, Lease>,
    lists: VecDeque<(Instant, BTreeMap<String, Bytes>)>,
    list_lag: Duration,
    counts: Counts,
}

struct Lease {
    value: Bytes,
    until: Instant,
}

/// Calls taken so far.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Swaps and leases.
    pub writes: u64,
}

/// Faults of one client's path to the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PortFaults {
    /// No call gets through.
    pub down: bool,
    /// Time that each call takes longer, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect and their answers are lost.
    pub lose_answers: bool,
}

impl MemoryStore {
    /// An empty service whose list lags by `list_lag`.
    pub fn new(list_lag: Duration) -> Self {
        let state = State {
            entries: HashMap::new(),
            leases: BTreeMap::new(),
            lists: VecDeque::new(),
            list_lag,
            counts: Counts::default(),
        };
        Self { state: Arc::new(Mutex::new(state)), changed: watch::Sender::new(0) }
    }

    /// A client's path to the service, with faults of its own.
    pub fn port(&self, name: &str) -> Arc<Port> {
        let faults = Mutex::default();
        Arc::new(Port { store: self.clone(), name: Arc::from(name), faults })
    }

    /// Calls taken so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    fn read(&self, key: &str) -> Option<Entry> {
        let mut state = self.lock();
        state.counts.reads += 1;
        state.entries.get(key).cloned()
    }

    fn swap(&self, key: &str, expected: Version, writer: &str, value: Bytes) -> SwapOutcome {
        let mut state = self.lock();
        state.counts.writes += 1;
        let present = state.entries.get(key);
        if present.is_some_and(|entry| !writer.is_empty() && entry.write_id.as_ref() == writer) {
            return SwapOutcome::Stored(expected + 1);
        }
        let version = present.map_or(0, |entry| entry.version);
        if version != expected {
            return SwapOutcome::Conflict(present.cloned());
        }
        let entry = Entry { version: version + 1, write_id: Arc::from(writer), value };
        state.entries.insert(key.to_owned(), entry);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        SwapOutcome::Stored(version + 1)
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Option<Entry> {
        let mut changed = self.changed.subscribe();
        let deadline = Instant::now() + wait;
        self.lock().counts.reads += 1;
        loop {
            changed.mark_unchanged();
            let entry = self.lock().entries.get(key).cloned();
            if let Some(entry) = entry.filter(|entry| entry.version > after) {
                return Some(entry);
            }
            if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return None;
            }
        }
    }

    fn lease(&self, key: &str, value: Bytes, ttl: Duration) {
        let mut state = self.lock();
        state.counts.writes += 1;
        let now = Instant::now();
        state.leases.insert(key.to_owned(), Lease { value, until: now + ttl });
        state.note_list(now);
    }

    fn list(&self, prefix: &str) -> Vec<Bytes> {
        let mut state = self.lock();
        state.counts.reads += 1;
        let now = Instant::now();
        state.note_list(now);
        let lag = state.list_lag;
        let seen = state.lists.iter().rev().find(|(at, _)| now - *at >= lag);
        let Some((_, list)) = seen else { return Vec::new() };
        let items = list.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(_, value)| value.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl State {
    fn note_list(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.until > now);
        let leases = self.leases.iter();
        let list = leases.map(|(key, lease)| (key.clone(), lease.value.clone())).collect();
        self.lists.push_back((now, list));
        if self.lists.len() > LIST_HISTORY {
            self.lists.pop_front();
        }
    }
}

/// One client's path to the service.
pub struct Port {
    store: MemoryStore,
    name: Arc<str>,
    faults: Mutex<PortFaults>,
}

impl Port {
    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: PortFaults) {
        *self.faults.lock().unwrap_or_else(|error| error.into_inner()) = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> PortFaults {
        *self.faults.lock().unwrap_or_else(|error| error.into_inner())
    }

    async fn enter(&self, step: &'static str, key: &str) -> Result<(), StoreError> {
        let faults = self.faults();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down { Err(self.error(step, key, ErrorKind::Unreachable)) } else { Ok(()) }
    }

    fn leave<T>(&self, step: &'static str, key: &str, value: T) -> Result<T, StoreError> {
        if self.faults().lose_answers {
            return Err(self.error(step, key, ErrorKind::OutcomeUnknown));
        }
        Ok(value)
    }

    fn error(&self, step: &'static str, key: &str, kind: ErrorKind) -> StoreError {
        StoreError { step, address: self.name.clone(), key: Arc::from(key), kind }
    }
}

impl Store for Port {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            self.enter("read", key).await?;
            Ok(self.store.read(key))
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        writer: &'a str,
        value: Bytes,
    ) -> StoreFuture<'a, SwapOutcome> {
        Box::pin(async move {
            self.enter("swap", key).await?;
            let swap = self.store.swap(key, expected, writer, value);
            self.leave("swap", key, swap)
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            self.enter("watch", key).await?;
            let entry = self.store.watch(key, after, wait).await;
            self.enter("watch", key).await?;
            Ok(entry)
        })
    }

    fn put_lease<'a>(&'a self, key: &'a str, value: Bytes, ttl: Duration) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            self.enter("lease", key).await?;
            self.store.lease(key, value, ttl);
            self.leave("lease", key, ())
        })
    }

    fn list_leases<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Bytes>> {
        Box::pin(async move {
            self.enter("list", prefix).await?;
            Ok(self.store.list(prefix))
        })
    }
}
