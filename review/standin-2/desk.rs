//! Servers of a plain service, and ordinary callers that book there on kept connections.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::host::{Host, MEMORY_MB};
use crate::util::{Store, read_message, read_request, response, spawn};

/// Number of ordinary callers.
pub const CALLERS: usize = 24;
/// Number of servers.
pub const DESKS: usize = 4;
const DESK_SLOTS: usize = 6;
const DESK_QUEUE: usize = 24;
const DESK_WORK: Duration = Duration::from_millis(30);

/// Slots of a plain server, and its queue.
#[derive(Default)]
struct Slots {
    state: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    fn enter(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.0 >= DESK_SLOTS && state.1 >= DESK_QUEUE {
            return false;
        }
        state.1 += 1;
        while state.0 >= DESK_SLOTS {
            state = self.freed.wait(state).unwrap();
        }
        *state = (state.0 + 1, state.1 - 1);
        true
    }

    fn leave(&self) {
        self.state.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// When each request began to run, in seconds.
pub type Runs = Arc<Mutex<HashMap<String, f64>>>;

/// Starts a server of the plain service, which records the requests that it runs.
pub fn start_desk(store: &Store, number: usize, start: Instant, runs: Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let entry = format!(
        r#"{{"service":"desk","address":"{address}","zone":"dokki","version":"1","slots":{DESK_SLOTS},"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}}"#
    );
    store.put(&format!("servers/i-desk{number}"), &entry);
    let slots = Arc::new(Slots::default());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (slots, runs) = (slots.clone(), runs.clone());
            spawn(move || {
                let (mut stream, mut buffer) = (stream, Vec::new());
                let _ = stream.set_nodelay(true);
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    let id = request.header("rosemarypitch-attempt-id").unwrap_or("").to_owned();
                    let echo = format!("rosemarypitch-attempt-id: {id}\r\n");
                    let reply = if slots.enter() {
                        runs.lock().unwrap().insert(id, start.elapsed().as_secs_f64());
                        std::thread::sleep(DESK_WORK);
                        slots.leave();
                        let headers = format!("{echo}rosemarypitch-server-seal: s.{number}\r\n");
                        response("200 OK", &headers, b"booked")
                    } else {
                        let headers = format!("{echo}rosemarypitch-not-executed: 1\r\n");
                        response("503 Full", &headers, b"")
                    };
                    if stream.write_all(&reply).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A request of an ordinary caller.
pub struct Call {
    id: String,
    sent_s: f64,
    /// Whether the connection had served a request before.
    kept: bool,
    /// Status of the answer; none if the connection ended without one.
    status: Option<u16>,
    took_ms: u128,
}

/// An ordinary caller: one request after the other on a kept connection.
pub fn ordinary_caller(
    port: u16,
    number: usize,
    start: Instant,
    stop: &AtomicBool,
    calls: &Mutex<Vec<Call>>,
) {
    let (mut kept, mut round) = (None::<(TcpStream, Vec<u8>)>, 0);
    while !stop.load(Ordering::SeqCst) {
        let is_kept = kept.is_some();
        let Some((mut stream, mut buffer)) = kept.take().or_else(|| {
            let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(1_500))).ok()?;
            Some((stream, Vec::new()))
        }) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        round += 1;
        let id = format!("call-{number}-{round}");
        let text = format!(
            "POST /book/x HTTP/1.1\r\nhost: a.example\r\nrosemarypitch-attempt-id: {id}\r\n\
             rosemarypitch-deadline-ms: 1500\r\ncontent-length: 4\r\n\r\nbook"
        );
        let sent = Instant::now();
        let written = stream.write_all(text.as_bytes()).is_ok();
        let answer = if written { read_message(&mut stream, &mut buffer) } else { None };
        let status = answer.as_ref().and_then(|(first, ..)| first.split(' ').nth(1)?.parse().ok());
        let closes = answer.as_ref().is_none_or(|(_, headers, _)| {
            headers.iter().any(|(name, value)| name == "connection" && value == "close")
        });
        calls.lock().unwrap().push(Call {
            id,
            sent_s: (sent - start).as_secs_f64(),
            kept: is_kept,
            status,
            took_ms: sent.elapsed().as_millis(),
        });
        if !closes {
            kept = Some((stream, buffer));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Watches the memory of a host until `end`, as the platform does: a process over the memory of its
/// machine is killed and started again.
pub struct Platform {
    pub kills: Vec<f64>,
    pub peak: u64,
    next_line: Instant,
}

impl Platform {
    pub fn new() -> Self {
        Self { kills: Vec::new(), peak: 0, next_line: Instant::now() }
    }

    /// Looks at the host once.
    pub fn look(&mut self, start: Instant, host: &mut Host, lines: &mut Vec<String>) {
        let now = start.elapsed().as_secs_f64();
        let Some((memory, descriptors)) = host.usage() else { return };
        self.peak = self.peak.max(memory);
        if Instant::now() >= self.next_line {
            lines.push(format!("{now:.1} | {memory} | {descriptors}"));
            self.next_line = Instant::now() + Duration::from_secs(1);
        }
        if memory > MEMORY_MB * 1024 || host.has_ended() {
            lines.push(format!("{now:.3} | {memory} | {descriptors} | over its memory: killed"));
            self.kills.push(now);
            host.kill();
            std::thread::sleep(Duration::from_millis(500));
            host.start();
            host.wait_open(Duration::from_secs(5));
        }
    }

    /// Judges the rule, and records the ordinary callers' requests.
    pub fn judge(&self, calls: &[Call], runs: &Runs, lines: &mut Vec<String>) -> bool {
        let runs = runs.lock().unwrap();
        lines.push(
            "ordinary callers: id | sent at s | kept connection | ran | answer | took ms".into(),
        );
        let (mut lost, mut answered) = (0, BTreeMap::<String, u64>::new());
        for call in calls {
            let ran = runs.contains_key(&call.id);
            let ended = call.status.is_none() && call.took_ms < 1_450;
            lost += u64::from(call.kept && ran && ended);
            let status = match call.status {
                Some(status) => status.to_string(),
                None if ended => "closed".to_owned(),
                None => "none in time".to_owned(),
            };
            *answered.entry(status.clone()).or_default() += 1;
            if call.status != Some(200) {
                lines.push(format!(
                    "{} | {:.3} | {} | {ran} | {status} | {}",
                    call.id, call.sent_s, call.kept, call.took_ms
                ));
            }
        }
        let mut seconds = BTreeMap::<u64, [u64; 3]>::new();
        for call in calls {
            let second = seconds.entry(call.sent_s as u64).or_default();
            second[0] += 1;
            second[1] += u64::from(call.status.is_some());
            second[2] += u64::from(runs.contains_key(&call.id));
        }
        lines.push("ordinary callers by second: s | sent | answered | ran".into());
        for (second, [sent, got, ran]) in seconds {
            lines.push(format!("{second} | {sent} | {got} | {ran}"));
        }
        lines.push(format!("ordinary callers' answers: {answered:?}"));
        let broken = !self.kills.is_empty() && lost > 3;
        lines.push(format!(
            "peak {} kB of {} kB; killed {} times; requests on kept connections passed on and \
             closed without an answer: {lost}; rule {}",
            self.peak,
            MEMORY_MB * 1024,
            self.kills.len(),
            if broken { "broken" } else { "held" },
        ));
        broken
    }
}
