//! The `demo` command: simulated upstreams, a store and two entry hosts in one process.
//!
//! The demo sends streaming completions through both hosts, then one idempotent service call
//! through each host to show that the service executes it once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use rosemarypitch_config::{Document, Patch, Secret, Settings};
use rosemarypitch_gateway::{PatchOutcome, ServerHandle};
use rosemarypitch_standin::{
    Engine, EngineShape, MemoryStore, RecordingService, serve_engine, serve_recording_service,
    serve_store,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::cli::DemoOptions;
use crate::client::{CallResult, CompletionRequest, RouterClient};
use crate::failure::Failure;

/// Number of entry hosts.
const HOSTS: usize = 2;
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Time for the rate limiter's token buckets to fill after the hosts claim their shares.
const BUCKET_FILL_TIME: Duration = Duration::from_millis(500);
/// Longest wait until all hosts serve the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the demo; fails if a response is incomplete or the service call is rejected.
pub fn run(options: &DemoOptions) -> Result<(), Failure> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run_demo(options.requests))
}

async fn run_demo(requests: u32) -> Result<(), Failure> {
    let cluster = DemoCluster::start().await?;
    println!("{HOSTS} entry hosts, 1 prefill engine, 2 decode engines, 1 plain service");
    println!();
    println!("{:>3}  {:<5} {:>8} {:>10} {:>10}  outcome", "#", "host", "tokens", "TTFT", "TPOT");
    let start = Instant::now();
    let results = send_completions(&cluster, requests).await;
    let elapsed = start.elapsed();
    for (number, host, result) in &results {
        print_result(*number, *host, result);
    }
    register_team(&cluster).await?;
    let tokens: u32 = results.iter().map(|(_, _, result)| result.tokens).sum();
    let complete = results.iter().filter(|(_, _, result)| result.complete).count();
    println!();
    println!(
        "{complete} of {requests} complete, {tokens} tokens in {:.2} s",
        elapsed.as_secs_f64()
    );
    for server in cluster.hosts {
        server.stop(std::future::pending()).await;
    }
    if complete == requests as usize {
        return Ok(());
    }
    Err(Failure::System("some responses were incomplete".to_owned()))
}

/// Sends completions to the hosts in turn and returns the number, host and outcome of each.
async fn send_completions(cluster: &DemoCluster, requests: u32) -> Vec<(u32, usize, CallResult)> {
    let mut tasks = JoinSet::new();
    for number in 1..=requests {
        let host = number as usize % HOSTS;
        let client = RouterClient::new(cluster.hosts[host].callers);
        let request = CompletionRequest {
            key: cluster.key.clone(),
            model: "verdict".to_owned(),
            text: format!("Packet {number}: {}", "the bylaws of the flying ground. ".repeat(40)),
            max_output: 24,
        };
        tasks.spawn(async move {
            (number, host, client.complete_streaming(&request, Instant::now()).await)
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut results = tasks.join_all().await;
    results.sort_by_key(|(number, _, _)| *number);
    results
}

fn print_result(number: u32, host: usize, result: &CallResult) {
    let millis = |time: Option<Duration>| {
        time.map_or_else(|| "-".to_owned(), |time| format!("{:.1} ms", time.as_secs_f64() * 1e3))
    };
    let outcome =
        if result.complete { "complete".to_owned() } else { format!("status {}", result.status) };
    let (ttft, tpot) = (millis(result.ttft), millis(result.tpot()));
    println!("{number:>3}  {host:<5} {:>8} {ttft:>10} {tpot:>10}  {outcome}", result.tokens);
}

/// Sends the same registration through every host with one idempotency key.
async fn register_team(cluster: &DemoCluster) -> Result<(), Failure> {
    let body = json!({ "team": "Salt Lake Patangs" });
    let headers = [("idempotency-key", "team-1")];
    println!();
    for (host, server) in cluster.hosts.iter().enumerate() {
        let client = RouterClient::new(server.callers);
        let path = "/entry-desk/teams";
        let (status, response) =
            client.send(Method::POST, path, &cluster.key, &headers, &body).await?;
        println!(
            "registration through host {host}: {status} {}",
            String::from_utf8_lossy(&response)
        );
        if status != StatusCode::OK {
            return Err(Failure::System("the registration was rejected".to_owned()));
        }
    }
    println!("the service executed {} call(s)", cluster.service.calls().len());
    Ok(())
}

/// Entry hosts, the simulated plain service and the key of the only customer.
struct DemoCluster {
    hosts: Vec<ServerHandle>,
    key: String,
    service: Arc<RecordingService>,
}

impl DemoCluster {
    async fn start() -> Result<Self, Failure> {
        let listener = bind().await?;
        let platform = listener.local_addr()?;
        tokio::spawn(serve_store(listener, MemoryStore::new(Duration::from_millis(100))));
        let mut engines = Vec::new();
        for prefill in [true, false, false] {
            let listener = bind().await?;
            engines.push((prefill, listener.local_addr()?));
            let shape = EngineShape { prefill, ..EngineShape::default() };
            tokio::spawn(serve_engine(listener, Engine::new(shape)));
        }
        let service = Arc::new(RecordingService::default());
        let listener = bind().await?;
        let service_address = listener.local_addr()?;
        tokio::spawn(serve_recording_service(listener, service.clone()));
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            let text = settings(number, platform).to_string();
            let settings = Settings::parse(&text, &[]);
            let settings = settings.map_err(|faults| Failure::System(faults.to_string()))?;
            hosts.push(rosemarypitch_gateway::start(settings).await?);
        }
        let key = Secret::random();
        let patch = Patch::Merge(document(&key, &engines, service_address));
        let outcome = hosts[0].host.config_sync.patch(patch, 0, Arc::from("demo")).await;
        let PatchOutcome::Accepted(document) = outcome else {
            return Err(Failure::System(format!("the configuration was rejected: {outcome:?}")));
        };
        let cluster = Self { hosts, key: key.text().to_owned(), service };
        cluster.wait_until_ready(&document).await?;
        Ok(cluster)
    }

    /// Waits until all hosts use the document and their token buckets have filled.
    async fn wait_until_ready(&self, document: &Document) -> Result<(), Failure> {
        let start = Instant::now();
        for server in &self.hosts {
            while !server.host.is_ready() || server.host.snapshot().number() < document.number {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(Failure::System("a host did not become ready in time".to_owned()));
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        tokio::time::sleep(BUCKET_FILL_TIME).await;
        Ok(())
    }
}

async fn bind() -> Result<TcpListener, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0").await?)
}

/// Settings of one entry host; the system chooses its ports.
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

/// Configuration with one customer, one model and one plain service.
fn document(key: &Secret, engines: &[(bool, SocketAddr)], service: SocketAddr) -> Value {
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
            "address": service,
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
