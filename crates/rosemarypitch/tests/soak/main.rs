//! A soak: real routers as processes, faults from outside, promises checked throughout.
//!
//! Each seed starts routers between stand-ins for store, servers and callers. Every
//! connection of a router to the store or to a server passes a loopback proxy that can
//! delay, reset, silence or cut it one way. Routers are paused, killed, stopped, started
//! again and told of new settings; the store refuses calls, loses its history and gets new
//! configurations; servers change their manners. All of it comes in series that overlap.
//! Callers and servers write down what they see. Routers use the time of day in logs only,
//! so that it is left alone here.
//!
//! `SOAK_SEEDS=50 SOAK_FROM=100 SOAK_HOSTS=5 cargo test --release -p rosemarypitch --test
//! soak` plays more seeds and hosts than the few that run everywhere.

// Helpers of tests are no tests, so clippy does not know that they may unwrap.
#![allow(clippy::unwrap_used)]

mod callers;
mod process;
mod proxy;
#[path = "../../../../platform/tests/standin/mod.rs"]
#[allow(dead_code)]
mod standin;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use callers::{Call, Told};
use process::Process;
use proxy::Proxy;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use standin::{Behavior, Server, Store, config};

/// Seeds that run everywhere.
const SEEDS: u64 = 3;
/// Seeds that ever failed, each with its cause.
const FAILED_SEEDS: [u64; 1] = [
    // Two listeners got one port: the soak took ports that the system gives out.
    336,
];
/// Routers, unless told otherwise.
const HOSTS: usize = 3;
const FAULTS: usize = 16;
/// Longest pause between faults, so that they overlap.
const FAULT_PAUSE_MS: u64 = 400;
/// Time that the users allow for recovery.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time in which a configuration has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Span in which tokens are counted.
const WINDOW: Duration = Duration::from_secs(8);
/// Part of the limit that may be admitted beyond it.
const OVERRUN: f64 = 0.1;
/// Tokens that may be admitted beyond that.
const ALLOWANCE: f64 = 4_000.0;
/// Rate and burst of the customer that asks for several times as much.
const RATE: f64 = 1_500.0;
const BURST: f64 = 1_500.0;
/// What one of its requests counts.
const TOKENS: f64 = 200.0;

/// The configuration: `version` decides the key of the ordinary customer.
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

/// Everything around the routers.
struct World {
    store: Arc<Store>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    hosts: Vec<Process>,
    version: AtomicU64,
}

impl World {
    async fn start(folder: &std::path::Path, count: usize) -> Self {
        let store = Arc::new(Store::default());
        store.put("op/config", &configuration(1));
        let (mut servers, mut proxies) = (Vec::new(), Vec::new());
        let stages = [
            ("desk", None),
            ("desk", None),
            ("model", Some("prefill")),
            ("model", Some("decode")),
            ("model", Some("decode")),
        ];
        for (number, (service, stage)) in stages.into_iter().enumerate() {
            let server = Server::start(&format!("i-{number}"), Behavior::Good).await;
            let proxy = Proxy::before(server.address).await;
            let entry = server.entry(service, "ready", stage);
            let entry = entry.replace(&server.address.to_string(), &proxy.address.to_string());
            store.put(&format!("servers/{}", server.id), &entry);
            servers.push(server);
            proxies.push(proxy);
        }
        let address = store.clone().serve().await;
        let mut hosts = Vec::new();
        for number in 0..count {
            let proxy = Proxy::before(address).await;
            hosts.push(Process::new(&format!("h{number}"), proxy.address, folder));
            proxies.push(proxy);
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        for host in &hosts {
            host.write("bootstrapEnabled=false\n");
        }
        Self { store, servers, proxies, hosts, version: AtomicU64::new(1) }
    }

    async fn fault(&mut self, random: &mut StdRng) {
        let place = random.random_range(0..self.hosts.len());
        let host = &mut self.hosts[place];
        match random.random_range(0..12) {
            0 => {
                host.signal("-STOP");
                tokio::time::sleep(Duration::from_millis(random.random_range(50..900))).await;
                host.signal("-CONT");
            }
            1 => {
                host.signal("-KILL");
                host.end().await;
                host.start();
            }
            2 => {
                host.signal("-TERM");
                host.end().await;
                host.start();
            }
            3 => {
                host.write("bootstrapEnabled=false\nsomethingNew=1\n");
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
                let manners = [
                    Behavior::Good,
                    Behavior::NotRun,
                    Behavior::Reset,
                    Behavior::Disconnect,
                    Behavior::Stall,
                    Behavior::Truncated,
                    Behavior::Extra,
                ];
                let manner = manners[random.random_range(0..manners.len())];
                let server = random.random_range(0..self.servers.len());
                self.servers[server].set_behavior(manner);
            }
            _ => self.proxies[random.random_range(0..self.proxies.len())].disturb(random),
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..FAULT_PAUSE_MS))).await;
    }

    fn calm(&self) {
        self.proxies.iter().for_each(Proxy::calm);
        self.servers.iter().for_each(|server| server.set_behavior(Behavior::Good));
        self.store.down.store(false, Ordering::SeqCst);
    }
}

/// Checks what callers were told against what servers saw.
fn check(told: &Told, servers: &[Server]) -> Vec<String> {
    let mut faults = told.wrong.lock().unwrap().clone();
    let mut runs: HashMap<String, u32> = HashMap::new();
    let mut keys = HashSet::new();
    let mut greedy = Vec::new();
    for seen in servers.iter().flat_map(Server::ran) {
        let attempt = seen.header("rosemarypitch-attempt-id").unwrap_or_default().to_owned();
        *runs.entry(attempt.clone()).or_default() += 1;
        let repeatable = ["/look/", "/tale/", "/feed/"].iter().any(|path| seen.line.contains(path));
        if !repeatable && runs[&attempt] > 1 {
            faults.push(format!("ran twice: {attempt} {}", seen.line));
        }
        if seen.header("rosemarypitch-tenant") == Some("greedy") && runs[&attempt] == 1 {
            greedy.push(seen.at);
        }
        keys.extend(seen.header("rosemarypitch-credential").map(str::to_owned));
    }
    for (attempt, status) in told.statuses.lock().unwrap().iter() {
        if [401, 404, 408, 421, 429, 503].contains(status) && runs.contains_key(attempt) {
            faults.push(format!("{attempt}: told {status}, but it ran"));
        }
    }
    for attempt in told.withdrawn.lock().unwrap().iter().filter(|id| runs.contains_key(*id)) {
        faults.push(format!("{attempt} ran with a withdrawn key"));
    }
    faults.extend(keys.into_iter().map(|key| format!("a server saw the key {key}")));
    faults.extend(check_limit(greedy));
    faults
}

/// Checks that no window sees more of the greedy customer than its limit tolerates.
fn check_limit(mut runs: Vec<Instant>) -> Option<String> {
    runs.sort();
    let most = (0..runs.len())
        .map(|first| runs[first..].iter().take_while(|at| **at < runs[first] + WINDOW).count())
        .max()?;
    let tokens = most as f64 * TOKENS;
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + ALLOWANCE;
    (tokens > allowed).then(|| format!("{tokens} tokens of {allowed} in a window"))
}

/// After the faults, keys that were withdrawn and that never were must not run.
async fn try_withdrawn(told: &Told, hosts: &[SocketAddr], version: u64) {
    for (number, host) in hosts.iter().enumerate() {
        for key in [format!("key-{}", version - 1), "unknown".to_owned()] {
            let attempt = format!("w{number}-{key}");
            told.withdrawn.lock().unwrap().push(attempt.clone());
            callers::send(told, *host, &Call { attempt, path: "/look/", key }).await;
        }
    }
}

async fn soak(seed: u64, count: usize) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut random = StdRng::seed_from_u64(seed);
    let mut world = World::start(&folder, count).await;
    let hosts: Vec<_> = world.hosts.iter().map(|host| host.callers).collect();
    let told = Arc::new(Told::default());
    let key = |random: &mut StdRng| {
        let greedy = random.random_bool(0.6);
        if greedy { "greedy".to_owned() } else { "key".to_owned() }
    };
    let time = Duration::from_millis(FAULT_PAUSE_MS * FAULTS as u64);
    let calls = tokio::spawn(callers::load(told.clone(), hosts.clone(), seed, "a", time, key));
    let mut faults = Vec::new();
    for _ in 0..FAULTS {
        world.fault(&mut random).await;
        if world.hosts.iter_mut().any(Process::is_gone) {
            faults.push("a router ended by itself".to_owned());
        }
    }
    world.calm();
    let version = world.version.load(Ordering::Relaxed) + 1;
    world.store.put("op/config", &configuration(version));
    calls.await.unwrap();
    tokio::time::sleep((RECOVERY / 4).max(APPLY_TIME)).await;
    try_withdrawn(&told, &hosts, version).await;
    let before = told.served.load(Ordering::Relaxed);
    let known = move |_: &mut StdRng| format!("key-{version}");
    callers::load(told.clone(), hosts, seed, "b", Duration::from_millis(600), known).await;
    let served = told.served.load(Ordering::Relaxed) - before;
    let later = |attempt: &&String| attempt.starts_with('b');
    let sent = told.statuses.lock().unwrap().keys().filter(later).count() as u64;
    faults.extend(check(&told, &world.servers));
    // The users' rule: a quarter is served once the faults are over.
    if sent == 0 || served * 4 < sent {
        faults.push(format!("{served} of {sent} served after the faults"));
    }
    assert!(faults.is_empty(), "seed {seed}, logs in {}: {faults:#?}", folder.display());
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn promises_hold_under_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let (from, count) = (number("SOAK_FROM").unwrap_or(1), number("SOAK_SEEDS").unwrap_or(SEEDS));
    let hosts = number("SOAK_HOSTS").map_or(HOSTS, |hosts| hosts as usize);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in FAILED_SEEDS.into_iter().chain(from..from + count) {
        runtime.block_on(soak(seed, hosts));
    }
}
