//! Small HTTP stand-ins on loopback: a store, servers and clients, with threads and std only.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A request as read from a socket; header names in lower case.
#[allow(dead_code)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').find_map(|part| {
            let (key, value) = part.split_once('=')?;
            (key == name).then(|| value.to_owned())
        });
        pair.map(|text| percent_decode(&text))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message with a `Content-Length`; none at the end of the connection. Returns the
/// first line, the headers and the body.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut chunk = [0; 16384];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.lines();
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some((first, headers, body))
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (first, headers, body) = read_message(stream, buffer)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Request { method, target, headers, body })
}

pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n", body.len())
        .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                out.push(char::from(SET[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The platform's store: keys, ranges, watches, leases that never end, and transactions.
pub struct Store {
    items: Mutex<Items>,
    changed: Condvar,
    next_lease: AtomicU64,
    /// Whether every call is answered 503.
    pub busy: AtomicBool,
    pub address: String,
}

struct Items {
    revision: u64,
    /// Revision and value in Base64 by key; none for a key that was removed.
    by_key: BTreeMap<String, (u64, Option<String>)>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let items = Mutex::new(Items { revision: 1, by_key: BTreeMap::new() });
        let store = Arc::new(Self {
            items,
            changed: Condvar::new(),
            next_lease: AtomicU64::new(1),
            busy: AtomicBool::new(false),
            address,
        });
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())));
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.by_key.insert(key.to_owned(), (revision, value));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let reply = self.answer(&request);
            if stream.write_all(&reply).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let json = "content-type: application/json\r\n";
        let path = request.target.split('?').next().unwrap_or("").to_owned();
        if self.busy.load(Ordering::SeqCst) {
            return response("503 Busy", "", b"");
        }
        let body = match path.as_str() {
            "/api/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let items = self.items.lock().unwrap();
                let rows = items.by_key.iter().filter(|(key, _)| key.starts_with(&prefix));
                let rows: Vec<String> = rows.filter_map(|(key, item)| live(key, item)).collect();
                format!(
                    r#"{{"items":[{}],"hasMore":false,"at":{}}}"#,
                    rows.join(","),
                    items.revision
                )
            }
            "/api/kv-watch" => {
                let after: u64 = request.query("after").and_then(|t| t.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("waitMs").and_then(|t| t.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut items = self.items.lock().unwrap();
                loop {
                    let mut rows: Vec<(u64, String)> = items
                        .by_key
                        .iter()
                        .filter(|(_, (revision, _))| *revision > after)
                        .map(|(key, item)| {
                            let gone = format!(
                                r#"{{"key":"{key}","revision":{},"deleted":true}}"#,
                                item.0
                            );
                            (item.0, live(key, item).unwrap_or(gone))
                        })
                        .collect();
                    let now = Instant::now();
                    if !rows.is_empty() || now >= end {
                        rows.sort();
                        let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                        let at = items.revision;
                        break format!(r#"{{"events":[{}],"at":{at}}}"#, rows.join(","));
                    }
                    let slice = (end - now).min(Duration::from_millis(100));
                    items = self.changed.wait_timeout(items, slice).unwrap().0;
                    if self.busy.load(Ordering::SeqCst) {
                        return response("503 Busy", "", b"");
                    }
                }
            }
            "/api/kv-lease" => {
                let lease = self.next_lease.fetch_add(1, Ordering::SeqCst);
                format!(r#"{{"lease":{lease},"ttlMs":15000}}"#)
            }
            "/api/kv-txn" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let absent = text.contains(r#""revision":0"#);
                let puts = text.split_once(r#""puts":["#).map_or("", |(_, rest)| rest);
                let field = |name: &str| {
                    let (_, rest) = puts.split_once(&format!(r#""{name}":""#))?;
                    rest.split('"').next().map(str::to_owned)
                };
                let (Some(key), Some(value)) = (field("key"), field("value")) else {
                    return response("400 Bad", "", b"");
                };
                let known = self.items.lock().unwrap().by_key.contains_key(&key);
                if absent && known {
                    return response("412 Failed", json, br#"{"items":[]}"#);
                }
                self.write(&key, Some(value));
                format!(r#"{{"revision":{}}}"#, self.items.lock().unwrap().revision)
            }
            _ if path.starts_with("/api/kv-keep/") => r#"{"ttlMs":15000}"#.to_owned(),
            _ => return response("404 Not Found", "", b""),
        };
        response("200 OK", json, body.as_bytes())
    }
}

fn live(key: &str, item: &(u64, Option<String>)) -> Option<String> {
    let value = item.1.as_ref()?;
    Some(format!(
        r#"{{"key":"{key}","value":"{value}","revision":{},"created":1,"lease":0}}"#,
        item.0
    ))
}

/// What a case saw, line by line; whether the rule was broken, none if the case could not run.
pub struct Report {
    pub lines: Vec<String>,
    pub broken: Option<bool>,
}

/// Starts a thread with a small stack, since a case may have a thousand of them.
pub fn spawn(task: impl FnOnce() + Send + 'static) -> std::thread::JoinHandle<()> {
    std::thread::Builder::new().stack_size(128 << 10).spawn(task).unwrap()
}
