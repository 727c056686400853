//! A crowd of clients with large heads, beside ordinary callers, at a host of 96 MB.
//!
//! The platform ends a process whose memory exceeds that of its machine, and starts it again.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::desk::{self, CALLERS, DESKS, Platform, Runs};
use crate::host::{Host, MEMORY_MB};
use crate::util::{Report, Store, read_request, response, spawn};

const HEAD_BYTES: usize = 16_100;
const BODY_BYTES: usize = 24 << 10;
const CHUNK_BYTES: usize = 512;
const CROWD: usize = 740;
const CROWD_TIME: Duration = Duration::from_secs(35);
const ENGINES: usize = 20;
const ENGINE_SLOTS: usize = 64;
const EVENTS: usize = 35;
const EVENT_GAP: Duration = Duration::from_millis(280);

/// Starts a decode engine, which streams events to as many requests as it has slots.
fn start_engine(store: &Store, number: usize, streams: Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let entry = format!(
        r#"{{"service":"petal","address":"{address}","zone":"dokki","version":"1","slots":{ENGINE_SLOTS},"state":"ready","stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"coldRemainingMs":0,"sequence":1,"born":1700000000000}}"#
    );
    store.put(&format!("servers/i-engine{number}"), &entry);
    let taken = Arc::new(AtomicUsize::new(0));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (taken, streams) = (taken.clone(), streams.clone());
            spawn(move || {
                let (mut stream, mut buffer) = (stream, Vec::new());
                let _ = stream.set_nodelay(true);
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    let id = request.header("rosemarypitch-attempt-id").unwrap_or("").to_owned();
                    let free = taken.load(Ordering::SeqCst) < ENGINE_SLOTS;
                    let reply = match request.target.as_str() {
                        "/api/hold-take" if free => response("200 OK", "", br#"{"hold":"h1"}"#),
                        "/api/hold-take" => response("503 Full", "", b""),
                        path if path.starts_with("/api/") => response("200 OK", "", b""),
                        _ if !free => {
                            let headers = format!(
                                "rosemarypitch-attempt-id: {id}\r\nrosemarypitch-not-executed: 1\r\n"
                            );
                            response("503 Full", &headers, b"")
                        }
                        _ => {
                            taken.fetch_add(1, Ordering::SeqCst);
                            streams.fetch_add(1, Ordering::SeqCst);
                            let sent = send_stream(&mut stream, &id, number);
                            taken.fetch_sub(1, Ordering::SeqCst);
                            if sent.is_err() {
                                return;
                            }
                            continue;
                        }
                    };
                    if stream.write_all(&reply).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn send_stream(stream: &mut TcpStream, id: &str, number: usize) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
         rosemarypitch-attempt-id: {id}\r\nrosemarypitch-server-seal: e.{number}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        std::thread::sleep(EVENT_GAP);
        let text = format!("id: {event}\ndata: {}\n\n", "w".repeat(320));
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// One client of the crowd: sends a request with a large head and a chunked body, reads the answer
/// and sends the next one at once.
fn crowd_client(port: u16, number: usize, end: Instant, counts: &Mutex<BTreeMap<String, u64>>) {
    let mut round = 0;
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else {
            count(counts, "no connection");
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(14)));
        round += 1;
        let outcome = match stream.write_all(&crowd_request(number, round)) {
            Ok(()) => read_status(&mut stream),
            Err(_) => "closed while it sent".to_owned(),
        };
        count(counts, &outcome);
    }
}

fn count(counts: &Mutex<BTreeMap<String, u64>>, what: &str) {
    *counts.lock().unwrap().entry(what.to_owned()).or_default() += 1;
}

fn crowd_request(number: usize, round: usize) -> Vec<u8> {
    let mut text = format!(
        "POST /brief/x HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\
         rosemarypitch-attempt-id: crowd-{number}-{round}\r\nrosemarypitch-model-name: m\r\n\
         rosemarypitch-token-count: 100,70\r\nrosemarypitch-prefix-hash: {number:x}:100\r\n\
         rosemarypitch-deadline-ms: 14000\r\ntransfer-encoding: chunked\r\n"
    );
    let mut field = 0;
    while text.len() + 200 < HEAD_BYTES {
        text.push_str(&format!("x-field-{field}: {}\r\n", "v".repeat(172)));
        field += 1;
    }
    text.push_str("\r\n");
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        text.push_str(&format!("{CHUNK_BYTES:x}\r\n{}\r\n", "p".repeat(CHUNK_BYTES)));
    }
    text.push_str("0\r\n\r\n");
    text.into_bytes()
}

/// Reads an answer to its end; returns its status and whether it was complete.
fn read_status(stream: &mut TcpStream) -> String {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1).unwrap_or("closed without an answer").to_owned();
    let whole = !status.starts_with("200") || text.ends_with("0\r\n\r\n");
    if whole { status } else { format!("{status}, cut") }
}

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"book","host":"a.example","prefix":"/book/","routeType":"non_idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false},
{"name":"brief","host":"a.example","prefix":"/brief/","routeType":"streaming","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"priority":1,"service":"petal","maxAttempts":2,"public":false,"sticky":true,"resumable":true}],
"services":[{"name":"desk","healthPath":"/healthz","maxConnections":420},
{"name":"petal","healthPath":"/healthz","maxConnections":680,"engine":{"slots":64,"kvTokens":64783,"kvBytes":18432,"linkMbps":1500000.0,"stride":2,"kvHoldS":0.5,"holdMs":2000.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

pub fn run(scratch: &Path, trouble: bool) -> Report {
    let start = Instant::now();
    let (store, runs) = (Store::start(), Runs::default());
    let streams = Arc::new(AtomicU64::new(0));
    store.put("op/config", CONFIG);
    (0..DESKS).for_each(|number| desk::start_desk(&store, number, start, runs.clone()));
    (0..ENGINES).for_each(|number| start_engine(&store, number, streams.clone()));
    let mut host = Host::new(scratch, "edge-dokki-1", &store.address, true);
    host.start();
    if !host.wait_open(Duration::from_secs(10)) {
        return Report { lines: vec!["the router does not start".to_owned()], broken: None };
    }
    std::thread::sleep(Duration::from_secs(2));
    let (port, stop) = (host.port, Arc::new(AtomicBool::new(false)));
    let (calls, counts) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(BTreeMap::new())));
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let (stop, calls) = (stop.clone(), calls.clone());
        threads.push(spawn(move || desk::ordinary_caller(port, number, start, &stop, &calls)));
    }
    std::thread::sleep(Duration::from_secs(5));
    let end = Instant::now() + CROWD_TIME;
    if trouble {
        for number in 0..CROWD {
            let counts = counts.clone();
            threads.push(spawn(move || crowd_client(port, number, end, &counts)));
        }
    }
    let mut lines = vec![
        format!(
            "memory of the machine: {MEMORY_MB} MB; crowd: {}",
            if trouble { CROWD } else { 0 }
        ),
        "time s | anonymous memory kB | descriptors".to_owned(),
    ];
    let mut platform = Platform::new();
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
        platform.look(start, &mut host, &mut lines);
    }
    stop.store(true, Ordering::SeqCst);
    threads.drain(..CALLERS).for_each(|thread| thread.join().unwrap());
    host.kill();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    lines.push(format!("answers to the crowd: {:?}", counts.lock().unwrap()));
    lines.push(format!("streams run: {}", streams.load(Ordering::SeqCst)));
    let broken = platform.judge(&calls.lock().unwrap(), &runs, &mut lines);
    Report { lines, broken: Some(broken) }
}
