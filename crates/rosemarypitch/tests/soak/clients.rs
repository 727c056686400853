//! Clients of the routers: they send requests and record the responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::standin::{full_stream, request};

/// Longest wait for a response; longer than the timeout of any route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// End of the identifier of an attempt that takes a stream up.
pub const TAKEUP: char = 't';

/// Responses of all clients.
#[derive(Default)]
pub struct Responses {
    /// HTTP status by attempt identifier.
    pub statuses: Mutex<HashMap<String, u16>>,
    /// Complete 200 responses with the wrong attempt, seal or body.
    pub invalid: Mutex<Vec<String>>,
    /// Attempts sent with a revoked or unknown key.
    pub unauthorized: Mutex<Vec<String>>,
    /// Number of complete 200 responses.
    pub served: AtomicU64,
    /// Number of streams that broke off after some events.
    pub broken: AtomicU64,
    /// Number of these that went on to their end when they were taken up.
    pub taken_up: AtomicU64,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: String,
    pub path: &'static str,
    pub key: String,
}

/// Sends one request and records the response.
pub async fn send(responses: &Responses, host: SocketAddr, call: &Call) {
    exchange(responses, host, call, "", 0).await;
}

/// Sends a request; a stream that breaks off after some events is taken up at `next`.
async fn send_stream(responses: &Responses, host: SocketAddr, next: SocketAddr, call: &Call) {
    let events = exchange(responses, host, call, "", 0).await;
    if events == 0 || call.path != "/tale/" {
        return;
    }
    let first = &call.attempt;
    let takeup = format!("last-event-id: {events}\r\nresumes: {first}\r\n");
    let again = Call { attempt: format!("{first}{TAKEUP}"), ..call.clone() };
    responses.broken.fetch_add(1, Ordering::Relaxed);
    exchange(responses, next, &again, &takeup, events).await;
}

/// Sends a request with more headers for the rest of its body after `events`, and records the
/// response. Returns the number of events received if the response breaks off.
async fn exchange(
    responses: &Responses,
    host: SocketAddr,
    call: &Call,
    headers: &str,
    events: usize,
) -> usize {
    let Call { attempt, path, key } = call;
    let text = request("POST", path, key)
        .replace("attempt-id: a1", &format!("attempt-id: {attempt}"))
        .replace("token-count: 5,5", "token-count: 100,100")
        .replacen("\r\n", &format!("\r\n{headers}"), 1);
    let Ok(mut stream) = TcpStream::connect(host).await else { return 0 };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return 0;
    }
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let ended = matches!(tokio::time::timeout(RESPONSE_TIMEOUT, read).await, Ok(Ok(_)));
    let response = String::from_utf8_lossy(&response);
    let status = response.split(' ').nth(1).and_then(|text| text.parse::<u16>().ok());
    let Some(status) = status else { return 0 };
    responses.statuses.lock().unwrap().insert(attempt.clone(), status);
    if status != 200 {
        return 0;
    }
    if !ended || !looks_complete(&response) {
        return response.matches("\n\n").count();
    }
    let own_attempt = response.contains(&format!("attempt-id: {attempt}\r\n"));
    if !own_attempt
        || !response.contains("server-seal: ")
        || !has_expected_body(path, &response, events)
    {
        responses.invalid.lock().unwrap().push(format!("{attempt} {path}: {response}"));
    }
    responses.served.fetch_add(1, Ordering::Relaxed);
    responses.taken_up.fetch_add(u64::from(events > 0), Ordering::Relaxed);
    0
}

/// Whether the HTTP framing of a response marks its body as complete.
fn looks_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.is_none_or(|text| text.trim().parse() == Ok(body.len()))
}

/// Whether the body is the complete one that the server sends for a path after some events.
fn has_expected_body(path: &str, response: &str, events: usize) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let body: String = if head.contains("transfer-encoding: chunked") {
        let is_data = |part: &&str| !part.chars().all(|c| c.is_ascii_hexdigit());
        body.split("\r\n").filter(is_data).collect()
    } else {
        body.to_owned()
    };
    let full = full_stream();
    let rest: String = full.split_inclusive("\n\n").skip(events).collect();
    if matches!(path, "/tale/" | "/feed/") { body == rest } else { body == "whole" }
}

/// Sends requests to random hosts and routes for `time`, then waits for their responses.
///
/// `prefix` starts the attempt identifiers; `key` draws the API key of each request.
pub async fn load(
    responses: Arc<Responses>,
    hosts: Vec<SocketAddr>,
    seed: u64,
    prefix: &str,
    time: Duration,
    key: impl Fn(&mut StdRng) -> String,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut tasks = Vec::new();
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let host = hosts[random.random_range(0..hosts.len())];
        let paths = ["/book/", "/look/", "/draft/", "/tale/", "/feed/"];
        let path = paths[random.random_range(0..paths.len())];
        let call = Call { attempt: format!("{prefix}{number:x}"), path, key: key(&mut random) };
        let responses = responses.clone();
        let next = hosts[random.random_range(0..hosts.len())];
        tasks.push(tokio::spawn(async move { send_stream(&responses, host, next, &call).await }));
        tokio::time::sleep(Duration::from_millis(random.random_range(1..20))).await;
    }
    for task in tasks {
        task.await.unwrap();
    }
}

/// A request on a kept connection that a client has sent in full.
#[derive(Clone, Debug)]
pub struct KeptCall {
    pub attempt: String,
    pub host: SocketAddr,
    pub sent: Instant,
    /// Whether it got a complete answer.
    pub complete: bool,
}

/// Sends requests one after another for `time`, on one connection for as long as the host keeps
/// it open.
pub async fn keep_connections(
    hosts: Vec<SocketAddr>,
    seed: u64,
    prefix: String,
    time: Duration,
) -> Vec<KeptCall> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut calls, mut connection) = (Vec::new(), None);
    let end = Instant::now() + time;
    while Instant::now() < end {
        let host = hosts[random.random_range(0..hosts.len())];
        let (host, mut stream) = match connection.take() {
            Some(kept) => kept,
            None => match TcpStream::connect(host).await {
                Ok(stream) => (host, stream),
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let paths = ["/book/", "/draft/", "/tale/", "/tale/", "/feed/"];
        let attempt = format!("{prefix}{:x}", calls.len());
        let text = request("POST", paths[random.random_range(0..paths.len())], "key")
            .replace("connection: close\r\n", "")
            .replace("attempt-id: a1", &format!("attempt-id: {attempt}"))
            .replace("token-count: 5,5", "token-count: 100,100");
        if stream.write_all(text.as_bytes()).await.is_err() {
            continue;
        }
        let sent = Instant::now();
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, read_kept(&mut stream)).await;
        let response = response.ok().flatten();
        if response.as_ref().is_some_and(|text| !text.contains("connection: close\r\n")) {
            connection = Some((host, stream));
        }
        calls.push(KeptCall { attempt, host, sent, complete: response.is_some() });
    }
    calls
}

/// Reads one response; none if the connection ends before it is complete.
async fn read_kept(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if text.contains("\r\n\r\n") && looks_complete(&text) {
            return Some(text.into_owned());
        }
        stream.read_buf(&mut bytes).await.ok().filter(|count| *count > 0)?;
    }
}
