//! In-memory stand-in for the platform's key-value store, with injected faults.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_store::{Entry, ErrorKind, Store, StoreError, StoreFuture, SwapOutcome, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of past lists kept, from which stale ones are served.
const LIST_HISTORY: usize = 4_096;

/// In-memory key-value store; clones share their state.
#[derive(Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changes: watch::Sender<u64>,
}

struct State {
    entries: HashMap<String, Entry>,
    leases: BTreeMap<String, Lease>,
    lists: VecDeque<(Instant, BTreeMap<String, Bytes>)>,
    list_lag: Duration,
    counts: CallCounts,
}

struct Lease {
    value: Bytes,
    expires_at: Instant,
}

/// Numbers of calls that reached the store.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of reads, lists and watches.
    pub reads: u64,
    /// Number of swaps and leases.
    pub writes: u64,
}

/// Faults injected between one client and the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Calls fail without reaching the store.
    pub down: bool,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect, but their responses are lost.
    #[serde(rename = "lose_answers")]
    pub lose_responses: bool,
}

impl MemoryStore {
    /// Creates an empty store whose lists of leases are stale by `list_lag`.
    pub fn new(list_lag: Duration) -> Self {
        let state = State {
            entries: HashMap::new(),
            leases: BTreeMap::new(),
            lists: VecDeque::new(),
            list_lag,
            counts: CallCounts::default(),
        };
        Self { state: Arc::new(Mutex::new(state)), changes: watch::Sender::new(0) }
    }

    /// Creates a client with faults of its own; `name` stands for the store's address in errors.
    pub fn client(&self, name: &str) -> Arc<StoreClient> {
        let faults = Mutex::default();
        Arc::new(StoreClient { store: self.clone(), name: Arc::from(name), faults })
    }

    /// Numbers of calls that reached the store so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    fn read(&self, key: &str) -> Option<Entry> {
        let mut state = self.lock();
        state.counts.reads += 1;
        state.entries.get(key).cloned()
    }

    fn swap(&self, key: &str, expected: Version, write_id: &str, value: Bytes) -> SwapOutcome {
        let mut state = self.lock();
        state.counts.writes += 1;
        let current = state.entries.get(key);
        if current.is_some_and(|entry| !write_id.is_empty() && entry.write_id.as_ref() == write_id)
        {
            return SwapOutcome::Stored(expected + 1);
        }
        let version = current.map_or(0, |entry| entry.version);
        if version != expected {
            return SwapOutcome::Conflict(current.cloned());
        }
        let entry = Entry { version: version + 1, write_id: Arc::from(write_id), value };
        state.entries.insert(key.to_owned(), entry);
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        SwapOutcome::Stored(version + 1)
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Option<Entry> {
        let mut changed = self.changes.subscribe();
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
        state.leases.insert(key.to_owned(), Lease { value, expires_at: now + ttl });
        state.record_list(now);
    }

    fn list(&self, prefix: &str) -> Vec<Bytes> {
        let mut state = self.lock();
        state.counts.reads += 1;
        let now = Instant::now();
        state.record_list(now);
        let lag = state.list_lag;
        let visible = state.lists.iter().rev().find(|(at, _)| now - *at >= lag);
        let Some((_, list)) = visible else { return Vec::new() };
        let items = list.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(_, value)| value.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl State {
    fn record_list(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = self.leases.iter();
        let list = leases.map(|(key, lease)| (key.clone(), lease.value.clone())).collect();
        self.lists.push_back((now, list));
        if self.lists.len() > LIST_HISTORY {
            self.lists.pop_front();
        }
    }
}

/// A client of the store, with injected faults.
pub struct StoreClient {
    store: MemoryStore,
    name: Arc<str>,
    faults: Mutex<StoreFaults>,
}

impl StoreClient {
    /// Sets the faults of later calls.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.faults.lock().unwrap_or_else(|error| error.into_inner()) = faults;
    }

    /// Faults currently injected.
    pub fn faults(&self) -> StoreFaults {
        *self.faults.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Applies the faults that precede a call.
    async fn before_call(&self, step: &'static str, key: &str) -> Result<(), StoreError> {
        let faults = self.faults();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down { Err(self.error(step, key, ErrorKind::Unreachable)) } else { Ok(()) }
    }

    /// Applies the faults that follow a write.
    fn after_write<T>(&self, step: &'static str, key: &str, value: T) -> Result<T, StoreError> {
        if self.faults().lose_responses {
            return Err(self.error(step, key, ErrorKind::OutcomeUnknown));
        }
        Ok(value)
    }

    fn error(&self, step: &'static str, key: &str, kind: ErrorKind) -> StoreError {
        StoreError { step, address: self.name.clone(), key: Arc::from(key), kind }
    }
}

impl Store for StoreClient {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            self.before_call("read", key).await?;
            Ok(self.store.read(key))
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        write_id: &'a str,
        value: Bytes,
    ) -> StoreFuture<'a, SwapOutcome> {
        Box::pin(async move {
            self.before_call("swap", key).await?;
            let swap = self.store.swap(key, expected, write_id, value);
            self.after_write("swap", key, swap)
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            self.before_call("watch", key).await?;
            let entry = self.store.watch(key, after, wait).await;
            self.before_call("watch", key).await?;
            Ok(entry)
        })
    }

    fn put_lease<'a>(&'a self, key: &'a str, value: Bytes, ttl: Duration) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            self.before_call("lease", key).await?;
            self.store.lease(key, value, ttl);
            self.after_write("lease", key, ())
        })
    }

    fn list_leases<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Bytes>> {
        Box::pin(async move {
            self.before_call("list", prefix).await?;
            Ok(self.store.list(prefix))
        })
    }
}
