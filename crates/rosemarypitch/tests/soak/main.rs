//! Soak test: router processes under seeded, overlapping faults, with invariants checked at
//! the end of each seed.
//!
//! Each seed starts router processes with a simulated store, servers and clients. Every
//! connection of a router to the store or to a server goes through a loopback proxy that can
//! delay it, reset it, or stall one or both directions. Routers are paused, killed, stopped,
//! restarted and given new settings. The store rejects calls, compacts its history, comes back
//! from older copies, lets its open connections go silent, executes a write late, loses the entry
//! of a router and gets new configurations. Clients take up streams that break off. Servers change
//! how they respond and ask for rest; the two decode engines have different versions. Clients and
//! servers record all requests. The clock is not disturbed, because routers use the time of day
//! only in logs.
//!
//! [`stops`] has planned work only, and clients that keep their connections.
//!
//! A normal test run covers a few seeds. `SOAK_SEEDS=50 SOAK_FROM=100 SOAK_HOSTS=5 cargo test
//! --release -p rosemarypitch --test soak` runs more seeds and hosts.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

mod clients;
mod process;
mod proxy;
#[path = "../../../../platform/tests/standin/mod.rs"]
#[allow(dead_code)]
mod standin;
mod stops;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clients::{Call, Responses};
use process::Process;
use proxy::Proxy;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use standin::{Behavior, Server, Store, config};

/// Number of seeds without SOAK_SEEDS.
const SEEDS: u64 = 3;
/// Seeds that failed before, each with its cause; every run repeats them.
const FAILED_SEEDS: [u64; 1] = [
    // Two listeners got the same port, because the test took ephemeral ports of the system.
    336,
];
/// Number of routers without SOAK_HOSTS.
const HOSTS: usize = 3;
/// Number of faults per seed.
const FAULTS: usize = 16;
/// Longest pause between faults; short enough for faults to overlap.
const FAULT_PAUSE_MS: u64 = 400;
/// Longest time that the requirements allow for recovery after a fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Longest time until a new configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Window over which admitted tokens are counted.
const WINDOW: Duration = Duration::from_secs(8);
/// Fraction of the limit that may be admitted beyond it.
const OVERRUN: f64 = 0.1;
/// Tokens that may be admitted beyond the limit and the overrun.
const ALLOWANCE: f64 = 4_000.0;
/// Rate limit, in tokens per second, and burst, in tokens, of the customer `greedy`, which
/// sends several times as much.
const RATE: f64 = 1_500.0;
const BURST: f64 = 1_500.0;
/// Tokens that each request of `greedy` counts for.
const TOKENS_PER_REQUEST: f64 = 200.0;

/// Builds the configuration; one key of the ordinary customer depends on `version`.
fn configuration(version: u64) -> String {
    let mut document: Value =
        serde_json::from_str(&config(version, &["key", &format!("key-{version}")])).unwrap();
    let greedy = serde_json::json!({
        "name": "greedy", "apiKeys": ["greedy"], "uncachedTokens": 200,
        "ratePerS": RATE, "burst": BURST,
    });
    document["tenants"].as_array_mut().unwrap().push(greedy);
    document.to_string()
}

/// The routers and the simulated systems that they depend on.
struct Cluster {
    store: Arc<Store>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    hosts: Vec<Process>,
    version: AtomicU64,
    /// Entries of the servers, by key.
    entries: Vec<(String, String)>,
}

impl Cluster {
    async fn start(folder: &std::path::Path, count: usize) -> Self {
        let store = Arc::new(Store::default());
        store.put("op/config", &configuration(1));
        let (mut servers, mut proxies, mut entries) = (Vec::new(), Vec::new(), Vec::new());
        let stages = [
            ("v1", "desk", None),
            ("v1", "desk", None),
            ("v1", "model", Some("prefill")),
            ("v1", "model", Some("decode")),
            ("v2", "model", Some("decode")),
        ];
        for (number, (version, service, stage)) in stages.into_iter().enumerate() {
            let server = Server::start(&format!("i-{number}"), Behavior::Good).await;
            let proxy = Proxy::start(server.address).await;
            let entry = server.entry_of(version, service, "ready", stage);
            let entry = entry.replace(&server.address.to_string(), &proxy.address.to_string());
            let key = format!("servers/{}", server.id);
            store.put(&key, &entry);
            entries.push((key, entry));
            servers.push(server);
            proxies.push(proxy);
        }
        let address = store.clone().serve().await;
        let mut hosts = Vec::new();
        for number in 0..count {
            let proxy = Proxy::start(address).await;
            hosts.push(Process::new(&format!("h{number}"), proxy.address, folder));
            proxies.push(proxy);
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        for host in &hosts {
            host.write_settings("bootstrapEnabled=false\n");
        }
        Self { store, servers, proxies, hosts, version: AtomicU64::new(1), entries }
    }

    /// Restores the store from a copy made shortly before. The operators and the servers write
    /// theirs again.
    async fn roll_back(&self, random: &mut StdRng) {
        let copy = self.store.copy();
        tokio::time::sleep(Duration::from_millis(random.random_range(50..600))).await;
        self.store.restore(&copy);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..300))).await;
        self.store.put("op/config", &configuration(self.version.load(Ordering::Relaxed)));
        self.entries.iter().for_each(|(key, entry)| self.store.put(key, entry));
    }

    /// Injects one random fault and pauses.
    async fn inject_fault(&mut self, random: &mut StdRng) {
        let index = random.random_range(0..self.hosts.len());
        let host = &mut self.hosts[index];
        match random.random_range(0..18) {
            0 => {
                host.signal("-STOP");
                tokio::time::sleep(Duration::from_millis(random.random_range(50..900))).await;
                host.signal("-CONT");
            }
            1 | 15 => {
                host.signal("-KILL");
                host.wait().await;
                host.start();
            }
            2 => {
                host.signal("-TERM");
                host.wait().await;
                host.start();
            }
            3 => {
                host.write_settings("bootstrapEnabled=false\nsomethingNew=1\n");
                host.signal("-HUP");
            }
            4 => {
                let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
                self.store.put("op/config", &configuration(version));
            }
            5 => {
                let down = random.random_bool(0.5);
                self.store.down.store(down, Ordering::SeqCst);
            }
            6 => self.store.compacted.store(true, Ordering::SeqCst),
            7 | 8 => {
                let behaviors = [
                    Behavior::Good,
                    Behavior::NotRun,
                    Behavior::Reset,
                    Behavior::Disconnect,
                    Behavior::Stall,
                    Behavior::Truncated,
                    Behavior::Paced,
                    Behavior::Paced,
                    Behavior::Extra,
                    Behavior::Resting("0.7"),
                    Behavior::RestingCommand("0.7"),
                ];
                let behavior = behaviors[random.random_range(0..behaviors.len())];
                let server = random.random_range(0..self.servers.len());
                self.servers[server].set_behavior(behavior);
            }
            9 | 10 => {
                let compacted = random.random_bool(0.5);
                self.roll_back(random).await;
                self.store.compacted.store(compacted, Ordering::SeqCst);
            }
            11 => {
                self.store.silence_connections();
                let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
                self.store.put("op/config", &configuration(version));
            }
            12 => {
                let delay = Duration::from_millis(random.random_range(300..3_000));
                *self.store.late.lock().unwrap() = Some(("", delay));
            }
            // As if its lease had ended.
            13 => self.store.remove(&format!("hosts/h{index}")),
            14 => {
                host.signal("-STOP");
                tokio::time::sleep(Duration::from_millis(random.random_range(1_000..2_500))).await;
                host.signal("-CONT");
            }
            _ => self.proxies[random.random_range(0..self.proxies.len())].set_random_mode(random),
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..FAULT_PAUSE_MS))).await;
    }

    /// Ends the faults of the proxies, the servers and the store.
    fn clear_faults(&self) {
        self.proxies.iter().for_each(Proxy::clear_fault);
        self.servers.iter().for_each(|server| server.set_behavior(Behavior::Good));
        self.store.down.store(false, Ordering::SeqCst);
        self.store.late.lock().unwrap().take();
    }
}

/// Compares the recorded responses with the requests that servers executed, and returns every
/// violated invariant.
fn find_violations(responses: &Responses, servers: &[Server]) -> Vec<String> {
    let mut violations = responses.invalid.lock().unwrap().clone();
    let mut runs: HashMap<String, u32> = HashMap::new();
    let mut keys = HashSet::new();
    let mut greedy = Vec::new();
    let mut tales: HashMap<String, Vec<(Instant, bool, &str)>> = HashMap::new();
    for (server, request) in servers.iter().flat_map(|s| s.ran().into_iter().map(move |r| (s, r))) {
        let attempt = request.header("rosemarypitch-attempt-id").unwrap_or_default().to_owned();
        if request.line.contains("/tale/") {
            let resumed = request.header("last-event-id").is_some();
            // A take-up goes on with the stream of another attempt.
            let first = attempt.trim_end_matches(clients::TAKEUP).to_owned();
            tales.entry(first).or_default().push((request.at, resumed, &server.id));
        }
        *runs.entry(attempt.clone()).or_default() += 1;
        let retryable =
            ["/look/", "/tale/", "/feed/"].iter().any(|path| request.line.contains(path));
        if !retryable && runs[&attempt] > 1 {
            violations.push(format!("executed more than once: {attempt} {}", request.line));
        }
        if request.header("rosemarypitch-tenant") == Some("greedy") && runs[&attempt] == 1 {
            greedy.push(request.at);
        }
        keys.extend(request.header("rosemarypitch-credential").map(str::to_owned));
    }
    for (attempt, mut tale) in tales {
        tale.sort();
        // Runs before the last one from the start brought no event.
        let start = tale.iter().rposition(|(_, resumed, _)| !resumed).unwrap_or(0);
        let engines: HashSet<&str> = tale[start..].iter().map(|(_, _, id)| *id).collect();
        if engines.len() > 1 {
            violations.push(format!("{attempt}: went on at another version: {tale:?}"));
        }
    }
    for (attempt, status) in responses.statuses.lock().unwrap().iter() {
        if [401, 404, 408, 421, 429, 503].contains(status) && runs.contains_key(attempt) {
            violations.push(format!("{attempt}: status {status}, but a server executed it"));
        }
    }
    for attempt in responses.unauthorized.lock().unwrap().iter().filter(|id| runs.contains_key(*id))
    {
        violations.push(format!("{attempt}: executed with a revoked or unknown key"));
    }
    violations.extend(keys.into_iter().map(|key| format!("a server received the API key {key}")));
    violations.extend(find_overrun(greedy));
    violations
}

/// Returns a violation if a window admitted more tokens of `greedy` than its limit tolerates.
fn find_overrun(mut runs: Vec<Instant>) -> Option<String> {
    runs.sort();
    let max_runs = (0..runs.len())
        .map(|first| runs[first..].iter().take_while(|at| **at < runs[first] + WINDOW).count())
        .max()?;
    let tokens = max_runs as f64 * TOKENS_PER_REQUEST;
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + ALLOWANCE;
    (tokens > allowed).then(|| format!("{tokens} tokens admitted in a window, {allowed} allowed"))
}

/// Sends requests with a revoked key and with an unknown key to every host.
async fn send_unauthorized(responses: &Responses, hosts: &[SocketAddr], version: u64) {
    for (number, host) in hosts.iter().enumerate() {
        for key in [format!("key-{}", version - 1), "unknown".to_owned()] {
            let attempt = format!("w{number}-{key}");
            responses.unauthorized.lock().unwrap().push(attempt.clone());
            clients::send(responses, *host, &Call { attempt, path: "/look/", key }).await;
        }
    }
}

async fn soak(seed: u64, count: usize) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut random = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(&folder, count).await;
    cluster.servers.iter().for_each(|server| server.set_behavior(Behavior::Paced));
    let hosts: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let responses = Arc::new(Responses::default());
    let key = |random: &mut StdRng| {
        let greedy = random.random_bool(0.6);
        if greedy { "greedy".to_owned() } else { "key".to_owned() }
    };
    let time = Duration::from_millis(FAULT_PAUSE_MS * FAULTS as u64);
    let calls = tokio::spawn(clients::load(responses.clone(), hosts.clone(), seed, "a", time, key));
    let mut violations = Vec::new();
    for _ in 0..FAULTS {
        cluster.inject_fault(&mut random).await;
        if cluster.hosts.iter_mut().any(Process::has_exited) {
            violations.push("a router exited unexpectedly".to_owned());
        }
    }
    cluster.clear_faults();
    let version = cluster.version.load(Ordering::Relaxed) + 1;
    cluster.store.put("op/config", &configuration(version));
    calls.await.unwrap();
    tokio::time::sleep((RECOVERY / 4).max(APPLY_TIME)).await;
    send_unauthorized(&responses, &hosts, version).await;
    let served_before = responses.served.load(Ordering::Relaxed);
    let current_key = move |_: &mut StdRng| format!("key-{version}");
    clients::load(responses.clone(), hosts, seed, "b", Duration::from_millis(600), current_key)
        .await;
    let served = responses.served.load(Ordering::Relaxed) - served_before;
    let is_after_faults = |attempt: &&String| attempt.starts_with('b');
    let sent = responses.statuses.lock().unwrap().keys().filter(is_after_faults).count() as u64;
    violations.extend(find_violations(&responses, &cluster.servers));
    let entries = cluster.store.keys("hosts/").len();
    if entries != count {
        violations.push(format!("{entries} of {count} hosts have entries in the store"));
    }
    let count_of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "seed {seed}: {} streams broke off, {} of them went on",
        count_of(&responses.broken),
        count_of(&responses.taken_up),
    );
    // Required: at least a quarter of the requests is served once the faults are over.
    if sent == 0 || served * 4 < sent {
        violations.push(format!("{served} of {sent} served after the faults"));
    }
    assert!(violations.is_empty(), "seed {seed}, logs in {}: {violations:#?}", folder.display());
    std::fs::remove_dir_all(&folder).unwrap();
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// First seed and number of seeds.
fn seeds() -> (u64, u64) {
    (number("SOAK_FROM").unwrap_or(1), number("SOAK_SEEDS").unwrap_or(SEEDS))
}

#[test]
fn invariants_hold_under_faults() {
    let (from, count) = seeds();
    let hosts = number("SOAK_HOSTS").map_or(HOSTS, |hosts| hosts as usize);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in FAILED_SEEDS.into_iter().chain(from..from + count) {
        runtime.block_on(soak(seed, hosts));
    }
}
