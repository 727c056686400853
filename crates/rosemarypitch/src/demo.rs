//! The whole path inside one process: stand-ins, two entry hosts, and some requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use rosemarypitch_config::{Document, Patch, Secret, Settings};
use rosemarypitch_gateway::{PatchOutcome, ServerHandle};
use rosemarypitch_standin::{
    Desk, Engine, EngineShape, MemoryStore, serve_desk, serve_engine, serve_store,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{Caller, Prompt, Streamed};
use crate::cli::DemoOptions;
use crate::failure::Failure;

/// Entry hosts of the demo.
const HOSTS: usize = 2;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(60);
/// Time in which the limit's buckets fill after the shares were claimed.
const FILL_TIME: Duration = Duration::from_millis(500);
/// Longest wait for the hosts to have the configuration.
const READY_TIME: Duration = Duration::from_secs(10);

/// Runs the demo; it ends by itself.
pub fn run(options: &DemoOptions) -> Result<(), Failure> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(show(options.requests))
}

async fn show(requests: u32) -> Result<(), Failure> {
    let site = Site::start().await?;
    println!("{HOSTS} entry hosts, 1 prefill engine, 2 decode engines, 1 plain service");
    println!();
    println!("{:>3}  {:<5} {:>8} {:>10} {:>10}  outcome", "#", "host", "tokens", "first", "pace");
    let begun = Instant::now();
    let results = complete(&site, requests).await;
    let elapsed = begun.elapsed();
    for (number, host, result) in &results {
        print_result(*number, *host, result);
    }
    register(&site).await?;
    let tokens: u32 = results.iter().map(|(_, _, result)| result.tokens).sum();
    let whole = results.iter().filter(|(_, _, result)| result.whole).count();
    println!();
    println!("{whole} of {requests} whole, {tokens} tokens in {:.2} s", elapsed.as_secs_f64());
    for served in site.hosts {
        served.stop(std::future::pending()).await;
    }
    if whole == requests as usize {
        return Ok(());
    }
    Err(Failure::System("some requests were not answered whole".to_owned()))
}

async fn complete(site: &Site, requests: u32) -> Vec<(u32, usize, Streamed)> {
    let mut tasks = JoinSet::new();
    for number in 1..=requests {
        let host = number as usize % HOSTS;
        let caller = Caller::new(site.hosts[host].callers);
        let prompt = Prompt {
            key: site.key.clone(),
            model: "verdict".to_owned(),
            text: format!("Packet {number}: {}", "the bylaws of the flying ground. ".repeat(40)),
            output: 24,
        };
        tasks.spawn(async move { (number, host, caller.stream(&prompt, Instant::now()).await) });
        tokio::time::sleep(GAP).await;
    }
    let mut results = tasks.join_all().await;
    results.sort_by_key(|(number, _, _)| *number);
    results
}

fn print_result(number: u32, host: usize, result: &Streamed) {
    let millis = |time: Option<Duration>| {
        time.map_or_else(|| "-".to_owned(), |time| format!("{:.1} ms", time.as_secs_f64() * 1e3))
    };
    let outcome =
        if result.whole { "whole".to_owned() } else { format!("status {}", result.status) };
    let (first, pace) = (millis(result.first), millis(result.pace()));
    println!("{number:>3}  {host:<5} {:>8} {first:>10} {pace:>10}  {outcome}", result.tokens);
}

/// Sends one registration twice under one idempotency key.
async fn register(site: &Site) -> Result<(), Failure> {
    let body = json!({ "team": "Salt Lake Patangs" });
    let fields = [("idempotency-key", "team-1")];
    println!();
    for (host, served) in site.hosts.iter().enumerate() {
        let caller = Caller::new(served.callers);
        let path = "/entry-desk/teams";
        let (status, answer) = caller.send(Method::POST, path, &site.key, &fields, &body).await?;
        println!("registration by host {host}: {status} {}", String::from_utf8_lossy(&answer));
        if status != StatusCode::OK {
            return Err(Failure::System("the registration was refused".to_owned()));
        }
    }
    println!("the service was called {} time(s)", site.desk.calls().len());
    Ok(())
}

/// Stand-ins and hosts of the demo.
struct Site {
    hosts: Vec<ServerHandle>,
    key: String,
    desk: Arc<Desk>,
}

impl Site {
    async fn start() -> Result<Self, Failure> {
        let store = listen().await?;
        let platform = store.local_addr()?;
        tokio::spawn(serve_store(store, MemoryStore::new(Duration::from_millis(100))));
        let mut engines = Vec::new();
        for prefill in [true, false, false] {
            let listener = listen().await?;
            engines.push((prefill, listener.local_addr()?));
            let shape = EngineShape { prefill, ..EngineShape::default() };
            tokio::spawn(serve_engine(listener, Engine::new(shape)));
        }
        let desk = Arc::new(Desk::default());
        let listener = listen().await?;
        let desk_address = listener.local_addr()?;
        tokio::spawn(serve_desk(listener, desk.clone()));
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            let text = settings(number, platform).to_string();
            let settings = Settings::parse(&text, &[]);
            let settings = settings.map_err(|faults| Failure::System(faults.to_string()))?;
            hosts.push(rosemarypitch_gateway::start(settings).await?);
        }
        let key = Secret::random();
        let patch = Patch::Merge(document(&key, &engines, desk_address));
        let outcome = hosts[0].host.config_sync.patch(patch, 0, Arc::from("demo")).await;
        let PatchOutcome::Accepted(document) = outcome else {
            return Err(Failure::System(format!("the configuration was refused: {outcome:?}")));
        };
        let site = Self { hosts, key: key.text().to_owned(), desk };
        site.until_ready(&document).await?;
        Ok(site)
    }

    async fn until_ready(&self, document: &Document) -> Result<(), Failure> {
        let begun = Instant::now();
        for served in &self.hosts {
            while !served.host.is_ready() || served.host.snapshot().number() < document.number {
                if begun.elapsed() > READY_TIME {
                    return Err(Failure::System("a host did not become ready".to_owned()));
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        tokio::time::sleep(FILL_TIME).await;
        Ok(())
    }
}

async fn listen() -> Result<TcpListener, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0").await?)
}

fn settings(number: usize, platform: SocketAddr) -> Value {
    json!({
        "host": format!("demo-{number}"),
        "data_centre": "demo",
        "region": "demo",
        "callers": { "listen": "127.0.0.1:0" },
        "operators": { "listen": "127.0.0.1:0" },
        "peers": {
            "listen": "127.0.0.1:0",
            "secret": "demo-secret-of-the-fleet",
            "heartbeat_ms": 100,
            "silence_ms": 2000,
        },
        "platform": { "address": platform.to_string() },
        "grace_ms": 4000,
    })
}

fn document(key: &Secret, engines: &[(bool, SocketAddr)], desk: SocketAddr) -> Value {
    let mut upstreams = serde_json::Map::new();
    for (number, (prefill, address)) in engines.iter().enumerate() {
        let kind = if *prefill {
            json!({ "prefill": { "model": "verdict" } })
        } else {
            json!({ "decode": { "model": "verdict", "slots": 20 } })
        };
        let upstream = json!({ "kind": kind, "address": address, "data_centre": "demo" });
        upstreams.insert(format!("engine-{number}"), upstream);
    }
    upstreams.insert(
        "desk-0".to_owned(),
        json!({
            "kind": { "service": { "service": "entry-desk" } },
            "address": desk,
            "data_centre": "demo",
        }),
    );
    json!({
        "customers": {
            "clubs": {
                "limit": { "rate": 100_000, "burst": 400_000 },
                "keys": { key.digest().text(): { "label": "demo" } },
            },
        },
        "models": {
            "verdict": {
                "token_bytes": 4, "max_prompt": 60_000, "max_output": 2_000, "default_output": 200,
            },
        },
        "upstreams": upstreams,
        "services": { "entry-desk": { "prefix": "/entry-desk", "cost": 10 } },
        "shares": { "demo": 4 },
    })
}
