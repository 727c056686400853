//! Stand-ins for servers of a plain service and for engines. They follow the users' pages.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::record::Record;
use crate::store::Store;

/// Time between the writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Plain,
    Prefill,
    Decode,
}

/// A request that reached a server and was not turned away.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub attempt: String,
    pub at: Instant,
}

/// Speed of a server.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time to answer a plain request, or to read a prompt.
    pub work: Duration,
    /// Time between two events of a stream.
    pub gap: Duration,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    kind: Kind,
    service: &'static str,
    slots: usize,
    pace: Pace,
    record: Record,
    store: Arc<Store>,
    /// Prompts are read, and their answers are never sent.
    mute: AtomicBool,
    /// It has announced that it leaves.
    draining: AtomicBool,
    /// It no longer writes its entry.
    silent: AtomicBool,
    exited: AtomicBool,
    sequence: AtomicU64,
    next_id: AtomicU64,
    running: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    arrivals: Vec<Arrival>,
    connections: Vec<TcpStream>,
    holds: HashMap<String, Instant>,
    handles: HashMap<String, Instant>,
}

impl Server {
    pub fn start(
        id: &str,
        kind: Kind,
        service: &'static str,
        pace: Pace,
        store: &Arc<Store>,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            kind,
            service,
            slots: 12,
            pace,
            record: record.clone(),
            store: store.clone(),
            mute: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            exited: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            running: AtomicU64::new(0),
            state: Mutex::default(),
        });
        let (accepting, beating) = (server.clone(), server.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_exited() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.lock().connections.push(copy);
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        server.beat();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.has_exited() || beating.silent.load(Ordering::SeqCst) {
                    return;
                }
                beating.beat();
            }
        });
        Ok(server)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn has_exited(&self) -> bool {
        self.exited.load(Ordering::SeqCst)
    }

    /// Writes its entry in the store.
    fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let stage = match self.kind {
            Kind::Plain => "",
            Kind::Prefill => {
                r#""stage":"prefill","models":[{"name":"m","version":1,"adapters":[]}],"#
            }
            Kind::Decode => {
                r#""stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"#
            }
        };
        let (address, slots) = (self.address, self.slots);
        self.store.put(
            &format!("servers/{}", self.id),
            &format!(
                r#"{{"service":"{}","address":"{address}","zone":"arima","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,{stage}"born":1,"sequence":{sequence}}}"#,
                self.service
            ),
        );
    }

    /// Announces that it leaves; the store accepts that when this returns.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.beat();
        self.record.add(&self.id, "the store has accepted that it is draining");
    }

    /// Leaves without announcing it: its entry is removed, and it goes on serving.
    pub fn deregister(&self) {
        self.silent.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
        self.record.add(&self.id, "its entry is removed");
    }

    /// Ends the server as the end of its process does.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        for connection in self.lock().connections.drain(..) {
            // It may be closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add(&self.id, "exits");
    }

    /// Sets whether answers to prompts that are read are never sent.
    pub fn set_mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::SeqCst);
    }

    /// Number of reserved slots.
    pub fn holds(&self) -> usize {
        self.lock().holds.len()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.request() {
            if self.has_exited() || self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Request) -> std::io::Result<()> {
        let json = "Content-Type: application/json\r\n";
        if request.header("rosemarypitch-expect-instance").is_some_and(|id| id != self.id) {
            let own = format!("Rosemarypitch-Instance-Id: {}\r\n", self.id);
            return connection.respond("421 Misdirected Request", &own, b"");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => {
                let draining = self.draining.load(Ordering::SeqCst);
                let status = if draining { "503 Service Unavailable" } else { "200 OK" };
                let own = format!("Rosemarypitch-Instance-Id: {}\r\n", self.id);
                connection.respond(status, &own, b"")
            }
            ("POST", "/api/hold-take") if self.kind == Kind::Decode => {
                let id = format!("{}-hold-{}", self.id, self.next());
                self.lock().holds.insert(id.clone(), Instant::now());
                connection.respond("200 OK", json, format!(r#"{{"hold":"{id}"}}"#).as_bytes())
            }
            ("DELETE", path) if path.starts_with("/api/") => {
                let id = path.rsplit('/').next().unwrap_or_default();
                let mut state = self.lock();
                state.holds.remove(id);
                state.handles.remove(id);
                drop(state);
                connection.respond("200 OK", json, b"{}")
            }
            (_, path) if path.starts_with("/api/") => {
                connection.respond("404 Not Found", json, b"{}")
            }
            _ => self.run(connection, request),
        }
    }

    fn next(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::SeqCst)
    }

    fn run(&self, connection: &mut Connection, request: &Request) -> std::io::Result<()> {
        let not_run = "Rosemarypitch-Not-Executed: 1\r\n";
        let Some(attempt) = request.header("rosemarypitch-attempt-id") else {
            return connection.respond("400 Bad Request", not_run, b"");
        };
        let prefill = request.header("rosemarypitch-serving-stage") == Some("prefill");
        if self.kind != Kind::Plain && prefill != (self.kind == Kind::Prefill) {
            return connection.respond("421 Misdirected Request", not_run, b"");
        }
        if let Some(hold) = request.header("rosemarypitch-kv-hold") {
            self.lock().holds.remove(hold);
        }
        let arrival = Arrival { attempt: attempt.to_owned(), at: Instant::now() };
        self.lock().arrivals.push(arrival);
        let what = if prefill { "reads the prompt of" } else { "runs" };
        self.record.add(&self.id, &format!("{what} {attempt}"));
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let mut headers = format!(
            "Rosemarypitch-Attempt-Id: {attempt}\r\nRosemarypitch-Server-Seal: {}.{}\r\n\
             Rosemarypitch-Instance-Load: {running},0,{}\r\n",
            self.id,
            self.next(),
            self.slots
        );
        if self.draining.load(Ordering::SeqCst) {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        let result = match self.kind {
            Kind::Plain => {
                thread::sleep(self.pace.work);
                connection.respond("200 OK", &headers, format!("answer to {attempt}").as_bytes())
            }
            Kind::Prefill => {
                thread::sleep(self.pace.work);
                while self.mute.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                let handle = format!("{:012x}", 0x3fa0_9c41_0000 + self.next());
                self.lock().handles.insert(handle.clone(), Instant::now());
                let body = format!(r#"{{"handle":"{handle}","tokens":1000,"version":1}}"#);
                headers.push_str("Content-Type: application/json\r\n");
                connection.respond("200 OK", &headers, body.as_bytes())
            }
            Kind::Decode => self.stream(connection, request, &headers),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let end = if result.is_ok() { "has answered" } else { "lost the connection of" };
        self.record.add(&self.id, &format!("{end} {attempt}"));
        result
    }

    /// Sends one event for each output token of the request.
    fn stream(
        &self,
        connection: &mut Connection,
        request: &Request,
        headers: &str,
    ) -> std::io::Result<()> {
        let count = request.header("rosemarypitch-token-count").unwrap_or("1,1");
        let events: u64 = count.split(',').nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n{headers}\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        for number in after + 1..=events {
            thread::sleep(self.pace.gap);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.stream.write_all(chunk.as_bytes())?;
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }
}
