//! Starts the program's processes for tests and speaks HTTP to them.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rosemarypitch");
pub const OPERATOR: &str = "operator-key-of-the-tests";
pub const CLUBS: &str = "key-of-the-clubs";
pub const GUESTS: &str = "key-of-the-guests";
pub const SECRET: &str = "secret-of-the-test-fleet";

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    pub line: String,
}

impl Process {
    /// Starts the program and reads its first line.
    pub fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log_file(arguments))
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("piped");
        BufReader::new(out).read_line(&mut line).expect("a first line");
        assert!(!line.is_empty(), "{arguments:?} ended without a line");
        Self { child, line: line.trim().to_owned() }
    }

    pub fn address(&self) -> SocketAddr {
        self.line.parse().expect("an address")
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(status.success());
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("waited");
    }

    /// Waits until the process has ended by itself.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < limit {
            if self.child.try_wait().expect("waited").is_some() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Resident memory, in kilobytes.
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

fn log_file(arguments: &[&str]) -> Stdio {
    if arguments.first() != Some(&"serve") || std::env::var_os("TEST_LOGS").is_none() {
        return Stdio::null();
    }
    Stdio::inherit()
}

/// An entry host.
pub struct Host {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
}

/// How a host of a site is made.
#[derive(Clone, Debug)]
pub struct HostPlan {
    pub name: String,
    pub data_centre: String,
    pub overrides: Vec<String>,
}

impl HostPlan {
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self { name: name.to_owned(), data_centre: data_centre.to_owned(), overrides: Vec::new() }
    }
}

impl Host {
    pub fn start(plan: &HostPlan, platform: SocketAddr) -> Self {
        let HostPlan { name, data_centre, overrides } = plan;
        let value = json!({
            "host": name,
            "data_centre": data_centre,
            "region": "test",
            "callers": { "listen": "127.0.0.1:0" },
            "operators": { "listen": "127.0.0.1:0" },
            "operator_keys": [digest(OPERATOR)],
            "peers": {
                "listen": "127.0.0.1:0", "secret": SECRET, "heartbeat_ms": 100, "silence_ms": 1500,
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
        let line: Value = serde_json::from_str(&process.line).expect("addresses as JSON");
        let address = |name: &str| line[name].as_str().and_then(|a| a.parse().ok()).expect(name);
        Self {
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            process,
            settings,
        }
    }

    pub async fn until_ready(&self) {
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

/// A platform, engines, a plain service and entry hosts, each a process.
pub struct Site {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub desk: Process,
    pub hosts: Vec<Host>,
    pub client: Client,
}

/// Speeds of the tests' engines.
pub fn shape(prefill: bool) -> String {
    json!({ "prefill": prefill, "step_us": 4_000, "step_each_us": 200 }).to_string()
}

impl Site {
    /// One prefill engine, `decodes` decode engines, one service, and hosts as planned.
    pub async fn start(decodes: usize, plans: &[HostPlan]) -> Self {
        let platform = Process::start(&["standin", "platform", "--list-lag-ms", "100"]);
        let mut engines = Vec::new();
        for number in 0..=decodes {
            let shape = shape(number == 0);
            engines.push(Process::start(&["standin", "engine", "--shape", &shape]));
        }
        let desk = Process::start(&["standin", "service"]);
        let address = platform.address();
        let hosts = plans.iter().map(|plan| Host::start(plan, address)).collect();
        let client = Client::builder().build().expect("client");
        let site = Self { platform, engines, desk, hosts, client };
        let response = site.patch(0, 0, &site.document(plans)).await;
        assert_eq!(response.status(), StatusCode::OK, "{:?}", response.text().await);
        for host in &site.hosts {
            host.until_ready().await;
        }
        site.until_number(1).await;
        // The shares' buckets start empty and fill within a burst's time.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        site
    }

    pub fn document(&self, plans: &[HostPlan]) -> Value {
        let mut upstreams = serde_json::Map::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let kind = if number == 0 {
                json!({ "prefill": { "model": "verdict" } })
            } else {
                json!({ "decode": { "model": "verdict", "slots": 20 } })
            };
            let upstream = json!({ "kind": kind, "address": engine.line, "data_centre": "a" });
            upstreams.insert(format!("engine-{number}"), upstream);
        }
        let kind = json!({ "service": { "service": "entry-desk" } });
        let desk = json!({ "kind": kind, "address": self.desk.line, "data_centre": "a" });
        upstreams.insert("desk-0".to_owned(), desk);
        let mut shares = serde_json::Map::new();
        for plan in plans {
            shares.insert(plan.data_centre.clone(), json!(2));
        }
        json!({
            "customers": {
                "clubs": {
                    "limit": { "rate": 200_000, "burst": 200_000 },
                    "keys": { digest(CLUBS): { "label": "tests" } },
                },
                "guests": {
                    "limit": { "rate": 1_000, "burst": 1_000 },
                    "keys": { digest(GUESTS): { "label": "tests" } },
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

    /// Patches the document through one host.
    pub async fn patch(&self, host: usize, number: u64, patch: &Value) -> Response {
        let url = format!("http://{}/admin/config", self.hosts[host].operators);
        let request = self.client.patch(url).bearer_auth(OPERATOR);
        let request = request.header("if-match", format!("\"{number}\""));
        let request = request.header("content-type", "application/merge-patch+json");
        request.body(patch.to_string()).send().await.expect("an answer")
    }

    /// Waits until all hosts have a number of the configuration in force.
    pub async fn until_number(&self, number: u64) {
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

    pub async fn status(&self, host: usize) -> Value {
        let url = format!("http://{}/admin/status", self.hosts[host].operators);
        let request = self.client.get(url).bearer_auth(OPERATOR);
        request.send().await.expect("an answer").json().await.expect("JSON")
    }

    pub fn url(&self, host: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[host].callers)
    }

    /// Asks for a completion.
    pub async fn complete(&self, host: usize, key: &str, body: &Value) -> Response {
        let url = self.url(host, "/v1/chat/completions");
        self.client.post(url).bearer_auth(key).json(body).send().await.expect("an answer")
    }

    /// Work that an engine lists.
    pub async fn work(&self, engine: usize) -> Vec<Value> {
        let url = format!("http://{}/work", self.engines[engine].line);
        reqwest::get(url).await.expect("an answer").json().await.expect("JSON")
    }

    /// Waits until no engine holds anything.
    pub async fn until_idle(&self) {
        for _ in 0..500 {
            let mut held = 0;
            for engine in 0..self.engines.len() {
                held += self.work(engine).await.len();
            }
            if held == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("engine memory stays held");
    }

    /// Calls that reached the plain service.
    pub async fn desk_calls(&self) -> Vec<Value> {
        let url = format!("http://{}/_calls", self.desk.line);
        reqwest::get(url).await.expect("an answer").json().await.expect("JSON")
    }

    /// Sets the faults of the platform.
    pub async fn platform_faults(&self, faults: Value) {
        let url = format!("http://{}/faults", self.platform.line);
        let response = self.client.put(url).json(&faults).send().await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
    }
}

/// A chat request of one user message.
pub fn chat(text: &str, output: u32, stream: bool) -> Value {
    json!({
        "model": "verdict",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": output,
        "stream": stream,
    })
}

/// The text that a stand-in engine gives for a prompt.
pub fn expected(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| rosemarypitch_standin::token_text(prompt, index)).collect()
}

pub fn digest(key: &str) -> String {
    rosemarypitch_config::Digest::of(key).text().to_owned()
}
