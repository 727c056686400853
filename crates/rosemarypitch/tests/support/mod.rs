//! Starts the program's processes for tests and sends HTTP requests to them.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

/// Path of the program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rosemarypitch");
/// The operator's key.
pub const OPERATOR_KEY: &str = "operator-key-of-the-tests";
/// API key of the customer `clubs`, with a high limit.
pub const CLUBS_KEY: &str = "key-of-the-clubs";
/// API key of the customer `guests`, with a low limit.
pub const GUESTS_KEY: &str = "key-of-the-guests";
/// Secret shared by the hosts.
pub const PEER_SECRET: &str = "secret-of-the-test-fleet";

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    /// First line of its standard output, which holds its addresses.
    pub first_line: String,
}

impl Process {
    /// Starts the program and waits for the first line of its output.
    pub fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(stderr_target(arguments))
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("piped");
        BufReader::new(out).read_line(&mut line).expect("a first line");
        assert!(!line.is_empty(), "{arguments:?} exited without output");
        Self { child, first_line: line.trim().to_owned() }
    }

    /// Address of a stand-in, from its first line.
    pub fn address(&self) -> SocketAddr {
        self.first_line.parse().expect("an address")
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("waited");
    }

    /// Waits at most `timeout` for the process to exit, and returns whether it did.
    pub async fn exits_within(&mut self, timeout: Duration) -> bool {
        let start = tokio::time::Instant::now();
        while start.elapsed() < timeout {
            if self.child.try_wait().expect("waited").is_some() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Resident memory in kilobytes, or 0 if it cannot be read.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Standard error of a process: discarded, except for hosts when TEST_LOGS is set.
fn stderr_target(arguments: &[&str]) -> Stdio {
    if arguments.first() != Some(&"serve") || std::env::var_os("TEST_LOGS").is_none() {
        return Stdio::null();
    }
    Stdio::inherit()
}

/// An entry host process with its listener addresses.
pub struct Host {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
}

/// Name, data centre and settings overrides of a host to start.
#[derive(Clone, Debug)]
pub struct HostSpec {
    pub name: String,
    pub data_centre: String,
    pub overrides: Vec<String>,
}

impl HostSpec {
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self { name: name.to_owned(), data_centre: data_centre.to_owned(), overrides: Vec::new() }
    }
}

impl Host {
    /// Starts a host with a settings file in the temporary directory.
    pub fn start(spec: &HostSpec, platform: SocketAddr) -> Self {
        let HostSpec { name, data_centre, overrides } = spec;
        let value = json!({
            "host": name,
            "data_centre": data_centre,
            "region": "test",
            "callers": { "listen": "127.0.0.1:0" },
            "operators": { "listen": "127.0.0.1:0" },
            "operator_keys": [digest(OPERATOR_KEY)],
            "peers": {
                "listen": "127.0.0.1:0", "secret": PEER_SECRET, "heartbeat_ms": 100, "silence_ms": 1500,
            },
            "platform": { "address": platform.to_string(), "timeout_ms": 500 },
            "log": { "level": "debug" },
            "grace_ms": 10_000,
        });
        let number = std::process::id();
        let settings =
            std::env::temp_dir().join(format!("rosemarypitch-{number}-{name}-{platform}.json"));
        let mut file = std::fs::File::create(&settings).expect("settings file");
        file.write_all(value.to_string().as_bytes()).expect("settings written");
        let mut arguments = vec!["serve", settings.to_str().expect("path is text")];
        for change in overrides {
            arguments.extend(["--set", change.as_str()]);
        }
        let process = Process::start(&arguments);
        let addresses: Value =
            serde_json::from_str(&process.first_line).expect("addresses as JSON");
        let address =
            |name: &str| addresses[name].as_str().and_then(|a| a.parse().ok()).expect(name);
        Self {
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            process,
            settings,
        }
    }

    /// Waits until the host reports that it is ready.
    pub async fn wait_until_ready(&self) {
        for _ in 0..500 {
            let url = format!("http://{}/readyz", self.callers);
            if let Ok(response) = reqwest::get(url).await
                && response.status() == StatusCode::OK
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("host {} did not become ready", self.callers);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A platform, engines, a plain service and entry hosts, each in its own process.
pub struct Cluster {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub service: Process,
    pub hosts: Vec<Host>,
    pub client: Client,
}

/// Shape of the simulated engines: their role and step times.
pub fn engine_shape(prefill: bool) -> String {
    json!({ "prefill": prefill, "step_us": 4_000, "step_each_us": 200 }).to_string()
}

impl Cluster {
    /// Starts one prefill engine, `decodes` decode engines, one service and the given hosts, and
    /// waits until all hosts serve the configuration.
    pub async fn start(decodes: usize, specs: &[HostSpec]) -> Self {
        let platform = Process::start(&["standin", "platform", "--list-lag-ms", "100"]);
        let mut engines = Vec::new();
        for number in 0..=decodes {
            let shape = engine_shape(number == 0);
            engines.push(Process::start(&["standin", "engine", "--shape", &shape]));
        }
        let service = Process::start(&["standin", "service"]);
        let address = platform.address();
        let hosts = specs.iter().map(|spec| Host::start(spec, address)).collect();
        let client = Client::builder().build().expect("client");
        let cluster = Self { platform, engines, service, hosts, client };
        let response = cluster.patch(0, 0, &cluster.document(specs)).await;
        assert_eq!(response.status(), StatusCode::OK, "{:?}", response.text().await);
        for host in &cluster.hosts {
            host.wait_until_ready().await;
        }
        cluster.wait_for_version(1).await;
        // The token buckets start empty and fill within the time of a burst.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        cluster
    }

    /// Builds the configuration document.
    pub fn document(&self, specs: &[HostSpec]) -> Value {
        let mut upstreams = serde_json::Map::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let kind = if number == 0 {
                json!({ "prefill": { "model": "verdict" } })
            } else {
                json!({ "decode": { "model": "verdict", "slots": 20 } })
            };
            let upstream =
                json!({ "kind": kind, "address": engine.first_line, "data_centre": "a" });
            upstreams.insert(format!("engine-{number}"), upstream);
        }
        let kind = json!({ "service": { "service": "entry-desk" } });
        let service =
            json!({ "kind": kind, "address": self.service.first_line, "data_centre": "a" });
        upstreams.insert("desk-0".to_owned(), service);
        let mut shares = serde_json::Map::new();
        for spec in specs {
            shares.insert(spec.data_centre.clone(), json!(2));
        }
        json!({
            "customers": {
                "clubs": {
                    "limit": { "rate": 200_000, "burst": 200_000 },
                    "keys": { digest(CLUBS_KEY): { "label": "tests" } },
                },
                "guests": {
                    "limit": { "rate": 1_000, "burst": 1_000 },
                    "keys": { digest(GUESTS_KEY): { "label": "tests" } },
                },
            },
            "models": {
                "verdict": {
                    "token_bytes": 4, "max_prompt": 20_000, "max_output": 2_000,
                    "default_output": 20,
                },
            },
            "upstreams": upstreams,
            "services": {
                "entry-desk": { "prefix": "/entry-desk" },
                "notices": { "prefix": "/notices", "open": true },
            },
            "shares": shares,
        })
    }

    /// Sends a merge patch against version `number` through one host.
    pub async fn patch(&self, host: usize, number: u64, patch: &Value) -> Response {
        let url = format!("http://{}/admin/config", self.hosts[host].operators);
        let request = self.client.patch(url).bearer_auth(OPERATOR_KEY);
        let request = request.header("if-match", format!("\"{number}\""));
        let request = request.header("content-type", "application/merge-patch+json");
        request.body(patch.to_string()).send().await.expect("a response")
    }

    /// Waits until all hosts use at least version `number` of the configuration.
    pub async fn wait_for_version(&self, number: u64) {
        for host in 0..self.hosts.len() {
            for _ in 0..500 {
                if self.status(host).await["host"]["number"].as_u64() >= Some(number) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            assert!(self.status(host).await["host"]["number"].as_u64() >= Some(number));
        }
    }

    /// Status of a host.
    pub async fn status(&self, host: usize) -> Value {
        let url = format!("http://{}/admin/status", self.hosts[host].operators);
        let request = self.client.get(url).bearer_auth(OPERATOR_KEY);
        request.send().await.expect("a response").json().await.expect("JSON")
    }

    /// URL of a path on a host's client listener.
    pub fn url(&self, host: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[host].callers)
    }

    /// Sends a chat completion request through a host.
    pub async fn send_chat(&self, host: usize, key: &str, body: &Value) -> Response {
        let url = self.url(host, "/v1/chat/completions");
        self.client.post(url).bearer_auth(key).json(body).send().await.expect("a response")
    }

    /// Requests for which an engine holds memory.
    pub async fn engine_work(&self, engine: usize) -> Vec<Value> {
        let url = format!("http://{}/work", self.engines[engine].first_line);
        reqwest::get(url).await.expect("a response").json().await.expect("JSON")
    }

    /// Waits until no engine holds memory for a request.
    pub async fn wait_until_idle(&self) {
        for _ in 0..500 {
            let mut count = 0;
            for engine in 0..self.engines.len() {
                count += self.engine_work(engine).await.len();
            }
            if count == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("engines still hold memory for requests");
    }

    /// Calls that the plain service executed.
    pub async fn service_calls(&self) -> Vec<Value> {
        let url = format!("http://{}/_calls", self.service.first_line);
        reqwest::get(url).await.expect("a response").json().await.expect("JSON")
    }

    /// Replaces the injected faults of the platform.
    pub async fn set_platform_faults(&self, faults: Value) {
        let url = format!("http://{}/faults", self.platform.first_line);
        let response = self.client.put(url).json(&faults).send().await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
    }
}

/// Body of a chat completion request with one user message.
pub fn chat_request(text: &str, output: u32, stream: bool) -> Value {
    json!({
        "model": "verdict",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": output,
        "stream": stream,
    })
}

/// Text that a simulated engine generates for a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| rosemarypitch_standin::token_text(prompt, index)).collect()
}

/// Digest of a key, as settings and documents store it.
pub fn digest(key: &str) -> String {
    rosemarypitch_config::Digest::of(key).text().to_owned()
}
