//! Clients, one connection a request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::util::{Reader, identifier, reset};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub attempt: String,
    pub method: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub deadline_ms: u64,
    /// Prompt and output tokens of a model request.
    pub tokens: Option<(u64, u64)>,
    /// Last event that the client has, and the attempt that brought the first one.
    pub takeup: Option<(u64, String)>,
}

impl Request {
    pub fn new(
        method: &'static str,
        path: &'static str,
        key: &'static str,
        deadline_ms: u64,
    ) -> Self {
        let attempt = identifier();
        Self { attempt, method, path, key, deadline_ms, tokens: None, takeup: None }
    }

    fn text(&self) -> String {
        let Self { attempt, method, path, key, deadline_ms, tokens, takeup } = self;
        let model = tokens.map_or(String::new(), |(prompt, output)| {
            format!(
                "Rosemarypitch-Model-Name: m\r\nRosemarypitch-Token-Count: {prompt},{output}\r\n\
                 Rosemarypitch-Prefix-Hash: 5c1e07a2:200,{attempt}:{}\r\n",
                prompt.saturating_sub(200)
            )
        });
        let takeup = takeup.as_ref().map_or(String::new(), |(event, first)| {
            format!("Last-Event-Id: {event}\r\nResumes: {first}\r\n")
        });
        format!(
            "{method} {path} HTTP/1.1\r\nHost: guild.example\r\n\
             Rosemarypitch-Attempt-Id: {attempt}\r\nRosemarypitch-Deadline-Ms: {deadline_ms}\r\n\
             Rosemarypitch-Credential: {key}\r\n{model}{takeup}Content-Length: 4\r\n\r\nbody"
        )
    }
}

/// An event of a stream, as the client got it.
#[derive(Clone, Debug)]
pub struct Event {
    pub id: u64,
    pub data: String,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer was complete.
    Complete,
    /// The client's connection was reset while events arrived.
    Reset,
    /// The connection ended early, or gave nothing in time.
    Broken,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub events: Vec<Event>,
    pub end: End,
    pub retry_after: Option<f64>,
}

/// Sends a request and reads the answer. Its connection is reset once `cut` is set.
pub fn send(host: SocketAddr, request: &Request, cut: Option<&AtomicBool>) -> Answer {
    let mut answer = Answer { status: 0, events: Vec::new(), end: End::Broken, retry_after: None };
    let Ok(stream) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 500)));
    let Ok(mut writer) = stream.try_clone() else { return answer };
    if writer.write_all(request.text().as_bytes()).is_err() {
        return answer;
    }
    let mut reader = Reader::new(stream);
    let Ok(Some(head)) = reader.head() else { return answer };
    answer.status = head.status();
    answer.retry_after = head.header("retry-after").and_then(|text| text.parse().ok());
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if matches!(reader.bytes(length), Ok(Some(_))) {
            answer.end = End::Complete;
        }
        return answer;
    }
    let mut text = String::new();
    while Instant::now() < deadline {
        if cut.is_some_and(|cut| cut.load(Ordering::SeqCst)) {
            reset(&reader.stream);
            answer.end = End::Reset;
            return answer;
        }
        let Ok(Some(data)) = reader.chunk() else { return answer };
        if data.is_empty() {
            answer.end = End::Complete;
            return answer;
        }
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| {
                event
                    .lines()
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or("")
                    .trim()
                    .to_owned()
            };
            let id = field("id:").parse().unwrap_or(0);
            answer.events.push(Event { id, data: field("data:") });
        }
    }
    answer
}
