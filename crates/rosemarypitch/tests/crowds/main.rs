//! Clients that keep to no limits, against a real process on loopback.
//!
//! A small crowd opens connections and keeps them: chunked bodies in tiny and in large chunks that
//! stop just short of their end, bodies far over the limit, announced or just sent, heads that
//! trickle, and connections that say nothing. The settings make the host small in proportion. The
//! checks do not depend on the machine's speed: the process lives, its memory and its open
//! descriptors stay under the bounds of its settings, and an ordinary request is answered
//! afterwards, while the crowd is still there.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

// Other tests use the other items.
#[allow(dead_code)]
#[path = "../soak/process.rs"]
mod process;
#[allow(dead_code)]
#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use process::Process;
use rstest::rstest;
use serde_json::json;
use standin::{Behavior, Server, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Tolerances of limits in the settings that this test shares with the soak.
const ALLOWANCE: f64 = 120_000.0;
const OVERRUN: f64 = 0.1;
const WINDOW: Duration = Duration::from_secs(8);

/// Memory of the host, in MiB; a test build without any connection takes less than half.
const MEMORY_MB: u64 = 64;
/// Descriptors of the host.
const DESCRIPTORS: usize = 100;
/// Largest body, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Number of connections of each kind of client.
const CROWD: usize = 120;
/// Largest part of a body over the limit that a client sends, in bytes.
const FLOOD_BYTES: usize = 8 << 20;

/// Time in which a host reads what the crowd has sent, so that a fault shows; nothing is measured
/// by it.
const READ_TIME: Duration = Duration::from_secs(2);

/// One test runs at a time.
static TURN: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// What a client of the crowd sends before it falls silent and stays.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// A chunked body in chunks of this size that ends just short of the limit.
    Stopping { chunk: usize },
    /// A body of a gigabyte with a length.
    Announced,
    /// A chunked body far over the limit.
    Flooding,
    /// A request head, one byte at a time.
    Trickling,
    /// Nothing.
    Silent,
}

const ALL: [Client; 6] = [
    Client::Stopping { chunk: 1 },
    Client::Stopping { chunk: 1 << 18 },
    Client::Announced,
    Client::Flooding,
    Client::Trickling,
    Client::Silent,
];

fn head(framing: &str) -> String {
    format!(
        "POST /book/ HTTP/1.1\r\nhost: a.example\r\nrosemarypitch-attempt-id: a1\r\n\
         rosemarypitch-credential: key\r\nrosemarypitch-deadline-ms: 3000\r\n{framing}\r\n\r\n"
    )
}

fn chunk(size: usize) -> Vec<u8> {
    let mut bytes = format!("{size:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + size, b'x');
    bytes.extend_from_slice(b"\r\n");
    bytes
}

impl Client {
    /// Connects and sends; an error or a refusal ends that, and the connection is kept if it is
    /// still open.
    async fn run(self, host: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(host).await.ok()?;
        let sending = self.send(&mut stream);
        // The host need not read on.
        let _ = tokio::time::timeout(Duration::from_secs(3), sending).await;
        Some(stream)
    }

    async fn send(self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self {
            Self::Stopping { chunk: size } => {
                stream.write_all(head("transfer-encoding: chunked").as_bytes()).await?;
                // In tiny chunks, less of the body takes as many bytes on the wire.
                let total = if size == 1 { BODY_BYTES / 8 } else { BODY_BYTES - 1_024 };
                let count = ((1 << 14) / size).max(1);
                let batch = chunk(size).repeat(count);
                for _ in 0..total / (size * count) {
                    stream.write_all(&batch).await?;
                }
                stream.write_all(&chunk(total % (size * count))).await?;
                Ok(())
            }
            Self::Announced => {
                stream.write_all(head("content-length: 1073741824").as_bytes()).await?;
                flood(stream, &vec![b'x'; 1 << 16]).await
            }
            Self::Flooding => {
                stream.write_all(head("transfer-encoding: chunked").as_bytes()).await?;
                flood(stream, &chunk(1 << 16)).await
            }
            Self::Trickling => {
                for byte in head("content-length: 2").as_bytes().chunks(1) {
                    stream.write_all(byte).await?;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                Ok(())
            }
            Self::Silent => Ok(()),
        }
    }
}

async fn flood(stream: &mut TcpStream, part: &[u8]) -> std::io::Result<()> {
    for _ in 0..FLOOD_BYTES / part.len() {
        stream.write_all(part).await?;
    }
    Ok(())
}

/// A small host as a real process, with one server.
struct Small {
    process: Process,
    _server: Server,
    _folder: Folder,
}

/// A temporary folder, removed on drop.
struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Small {
    async fn start() -> Self {
        let store = Arc::new(Store::default());
        let mut config: serde_json::Value =
            serde_json::from_str(&standin::config(1, &["key"])).unwrap();
        config["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
        store.put("op/config", &config.to_string());
        let server = Server::start("i-0", Behavior::Good).await;
        store.put("servers/i-0", &server.entry("desk", "ready", None));
        let address = store.serve().await;
        let name = format!("crowds-{}", std::process::id());
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).unwrap();
        let mut process = Process::new("howrah-1", address, &folder.0);
        // Started again with the limits of a small host.
        process.signal("-KILL");
        process.wait().await;
        process.write_settings(&format!(
            "bootstrapEnabled=true\nlimits.memoryMb={MEMORY_MB}\nlimits.maxFds={DESCRIPTORS}\n"
        ));
        process.start();
        let small = Self { process, _server: server, _folder: folder };
        while !small.answers().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        small
    }

    /// Whether an ordinary request is answered; a caller that was refused comes back.
    async fn answers(&self) -> bool {
        for _ in 0..20 {
            if self.call().await.is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        false
    }

    async fn call(&self) -> Option<String> {
        let mut stream = TcpStream::connect(self.process.callers).await.ok()?;
        stream.write_all(standin::request("POST", "/book/", "key").as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        tokio::time::timeout(Duration::from_secs(3), reading).await.ok()?.ok()?;
        Some(String::from_utf8_lossy(&answer).into_owned())
    }

    /// Largest memory of the process so far, in KiB.
    fn peak_memory(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").trim().parse().unwrap()
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).unwrap().count()
    }
}

/// Clients that stopped just short of the end of their bodies ended a process: it ran out of memory.
#[rstest]
#[case::tiny_chunks(&ALL[..1])]
#[case::large_chunks(&ALL[1..2])]
#[case::announced_over_the_limit(&ALL[2..3])]
#[case::sent_over_the_limit(&ALL[3..4])]
#[case::trickling_heads(&ALL[4..5])]
#[case::silent(&ALL[5..])]
#[case::all_at_once(&ALL)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_without_limits_leaves_a_host_within_its_memory_and_others_served(
    #[case] clients: &[Client],
) {
    let _turn = TURN.lock().await;
    let mut small = Small::start().await;
    let mut crowd = tokio::task::JoinSet::new();
    for number in 0..CROWD {
        crowd.spawn(clients[number % clients.len()].run(small.process.callers));
    }
    let mut kept = Vec::new();
    let mut most_descriptors = 0;
    while let Some(stream) = crowd.join_next().await {
        kept.push(stream.unwrap());
        most_descriptors = most_descriptors.max(small.descriptors());
    }
    // What was sent lies in the sockets, and the host reads it now.
    tokio::time::sleep(READ_TIME).await;
    assert!(!small.process.has_exited());
    most_descriptors = most_descriptors.max(small.descriptors());
    assert!(small.answers().await, "an ordinary request is not answered");
    drop(kept);
    assert!(!small.process.has_exited());
    let memory = small.peak_memory();
    eprintln!("peak {memory} KiB, {most_descriptors} descriptors");
    assert!(memory <= MEMORY_MB << 10, "{memory} KiB");
    assert!(most_descriptors <= DESCRIPTORS, "{most_descriptors} descriptors");
}

/// A largest body is served when nothing else is there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_request_with_the_largest_body_is_served() {
    let _turn = TURN.lock().await;
    let small = Small::start().await;
    for framing in ["chunked", "length"] {
        let mut stream = TcpStream::connect(small.process.callers).await.unwrap();
        let end = "connection: close\r\n";
        if framing == "chunked" {
            let head = head(&format!("{end}transfer-encoding: chunked"));
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&chunk(BODY_BYTES)).await.unwrap();
            stream.write_all(b"0\r\n\r\n").await.unwrap();
        } else {
            let head = head(&format!("{end}content-length: {BODY_BYTES}"));
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&vec![b'x'; BODY_BYTES]).await.unwrap();
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{framing}: {answer}");
    }
}
