//! Servers of a service: plain ones and engines, which register in the store.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::util::{Message, Reader, identifier, respond, unix_ms};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 60;
/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(5);

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: &'static str,
    /// Stage of an engine; none for a plain server.
    pub stage: Option<&'static str>,
    /// Version of its software.
    pub version: &'static str,
    pub zone: &'static str,
}

pub struct Server {
    pub id: String,
    pub kind: Kind,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    born: u64,
}

impl Server {
    pub fn start(id: &str, kind: Kind) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            kind,
            address: listener.local_addr().expect("address of a server"),
            runs: Mutex::default(),
            born: unix_ms(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Writes its entry. A heartbeat changes nothing but the entry's sequence, and is no change.
    pub fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), &self.entry());
    }

    fn entry(&self) -> String {
        let Kind { service, stage, version, zone } = &self.kind;
        let (address, born) = (self.address, self.born);
        let engine = stage.map_or(String::new(), |stage| {
            format!(r#""stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"#)
        });
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}",{engine}"slots":12,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born}}}"#
        )
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut answers) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            if self.answer(&mut answers, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("rosemarypitch-attempt-id").unwrap_or("").to_owned();
        let echo = if attempt.is_empty() {
            String::new()
        } else {
            format!("rosemarypitch-attempt-id: {attempt}\r\n")
        };
        let not_run = format!("{echo}rosemarypitch-not-executed: 1\r\n");
        let expected = request.header("rosemarypitch-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return respond(stream, "421 Misdirected Request", &not_run, "");
        }
        let path = request.target().split('?').next().unwrap_or("");
        if path == "/healthz" {
            let id = format!("rosemarypitch-instance-id: {}\r\n", self.id);
            return respond(stream, "200 OK", &id, "");
        }
        let json = "content-type: application/json\r\n";
        if path == "/api/hold-take" {
            let body = format!(r#"{{"hold":"{}"}}"#, identifier());
            return respond(stream, "200 OK", json, &body);
        }
        if path.starts_with("/api/") {
            return respond(stream, "200 OK", json, "{}");
        }
        if attempt.is_empty() {
            return respond(stream, "400 Bad Request", &not_run, "");
        }
        let prefill = request.header("rosemarypitch-serving-stage") == Some("prefill");
        let right = match self.kind.stage {
            Some(stage) => prefill == (stage == "prefill"),
            None => !prefill,
        };
        if !right {
            return respond(stream, "421 Misdirected Request", &not_run, "");
        }
        let seal = format!("{echo}rosemarypitch-server-seal: {}.{}\r\n", self.id, identifier());
        if prefill {
            thread::sleep(Duration::from_millis(30));
            let body = format!(r#"{{"handle":"{}","tokens":5200,"version":1}}"#, identifier());
            return respond(stream, "200 OK", &format!("{seal}{json}"), &body);
        }
        self.runs.lock().expect("runs").push(Run { attempt, at: Instant::now() });
        if self.kind.stage.is_none() {
            thread::sleep(WORK);
            return respond(stream, "200 OK", &seal, &"x".repeat(800));
        }
        self.stream(stream, request, &seal)
    }

    /// Sends the events after the position in the request. Each names its server.
    fn stream(&self, stream: &mut TcpStream, request: &Message, seal: &str) -> std::io::Result<()> {
        let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for id in after + 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {id}\ndata: {} {}\n\n", self.kind.version, self.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
