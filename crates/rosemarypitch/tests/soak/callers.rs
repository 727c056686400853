//! Callers: what they send, and what they are told.

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

/// Longest time for an answer, beyond the time that the routes give.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// What callers were told.
#[derive(Default)]
pub struct Told {
    /// Status by attempt.
    pub statuses: Mutex<HashMap<String, u16>>,
    /// Answers that belong to nobody, or that only look complete.
    pub wrong: Mutex<Vec<String>>,
    /// Attempts of callers whose key was withdrawn for good.
    pub withdrawn: Mutex<Vec<String>>,
    pub served: AtomicU64,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: String,
    pub path: &'static str,
    pub key: String,
}

/// Sends one request and writes down what comes back.
pub async fn send(told: &Told, callers: SocketAddr, call: &Call) {
    let Call { attempt, path, key } = call;
    let text = request("POST", path, key)
        .replace("attempt-id: a1", &format!("attempt-id: {attempt}"))
        .replace("token-count: 5,5", "token-count: 100,100");
    let Ok(mut stream) = TcpStream::connect(callers).await else { return };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = matches!(tokio::time::timeout(ANSWER_TIME, read).await, Ok(Ok(_)));
    let answer = String::from_utf8_lossy(&answer);
    let status = answer.split(' ').nth(1).and_then(|text| text.parse::<u16>().ok());
    let Some(status) = status else { return };
    told.statuses.lock().unwrap().insert(attempt.clone(), status);
    if status != 200 || !ended || !looks_complete(&answer) {
        return;
    }
    let own = answer.contains(&format!("attempt-id: {attempt}\r\n"));
    if !own || !answer.contains("server-seal: ") || !is_whole(path, &answer) {
        told.wrong.lock().unwrap().push(format!("{attempt} {path}: {answer}"));
    }
    told.served.fetch_add(1, Ordering::Relaxed);
}

/// Whether a caller would take an answer's body for whole.
fn looks_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.is_none_or(|text| text.trim().parse() == Ok(body.len()))
}

/// Whether it is the server's whole body.
fn is_whole(path: &str, answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    let body: String = if head.contains("transfer-encoding: chunked") {
        let sizes = |part: &&str| !part.chars().all(|c| c.is_ascii_hexdigit());
        body.split("\r\n").filter(sizes).collect()
    } else {
        body.to_owned()
    };
    if matches!(path, "/tale/" | "/feed/") { body == full_stream() } else { body == "whole" }
}

/// Sends requests of many kinds to all hosts for a time; `key` draws a caller's key.
pub async fn load(
    told: Arc<Told>,
    hosts: Vec<SocketAddr>,
    seed: u64,
    prefix: &str,
    time: Duration,
    key: impl Fn(&mut StdRng) -> String,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let host = hosts[random.random_range(0..hosts.len())];
        let paths = ["/book/", "/look/", "/draft/", "/tale/", "/feed/"];
        let path = paths[random.random_range(0..paths.len())];
        let call = Call { attempt: format!("{prefix}{number:x}"), path, key: key(&mut random) };
        let told = told.clone();
        calls.push(tokio::spawn(async move { send(&told, host, &call).await }));
        tokio::time::sleep(Duration::from_millis(random.random_range(1..20))).await;
    }
    for call in calls {
        call.await.unwrap();
    }
}
