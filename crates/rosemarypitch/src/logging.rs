//! Log lines: on standard error, or on standard output through a bounded queue.
//!
//! A router never waits for its log. Lines go through a queue to a thread of their own;
//! when the queue is full, or a second has seen too many lines, lines are dropped, counted,
//! and the count is logged.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use fern::Dispatch;
use log::LevelFilter;
use rosemarypitch_config::{LogFormat, LogSettings};
use serde_json::json;

use crate::failure::Failure;

/// Starts logging; messages carry their part's prefix, such as `config:`.
pub fn start(settings: LogSettings) -> Result<(), Failure> {
    let level: LevelFilter = settings
        .level
        .parse()
        .map_err(|_| Failure::Usage(format!("log level {}", settings.level)))?;
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rosemarypitch", level)
        .level_for("rosemarypitch_gateway", level)
        .level_for("rosemarypitch_once", level)
        .level_for("rosemarypitch_peer", level)
        .level_for("rosemarypitch_store", level)
        .chain(std::io::stderr());
    let dispatch = match settings.format {
        LogFormat::Text => dispatch.format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{time} {:5} {message}", record.level()));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let line = json!({
                "time": time.to_string(),
                "level": record.level().as_str(),
                "part": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    dispatch.apply().map_err(|error| Failure::System(error.to_string()))
}

/// Lines that wait to be written; about a second's worth.
const QUEUE_LINES: usize = 2_048;
/// Lines a second, several times what a host's share of the usual load writes.
const MAX_LINES_PER_SECOND: u64 = 1_000;
/// Longest wait for the last lines when the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<SyncSender<Line>> = OnceLock::new();

enum Line {
    Text(String),
    /// Asks to be told when all lines before it are written.
    Flush(SyncSender<()>),
}

/// Starts logging to standard output without ever waiting for it.
pub fn start_bounded(level: &str) -> Result<(), Failure> {
    let level: LevelFilter =
        level.parse().map_err(|_| Failure::Usage(format!("log level {level}")))?;
    let (queue, lines) = mpsc::sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    writer.spawn(move || write_lines(&lines)).map_err(|e| Failure::System(e.to_string()))?;
    let sender = queue.clone();
    QUEUE.set(queue).map_err(|_| Failure::System("logging started twice".to_owned()))?;
    let bound = Mutex::new(Bound { second: Instant::now(), lines: 0 });
    let dropped = AtomicU64::new(0);
    let output = fern::Output::call(move |record| {
        let line = format!(
            "time={} level={} {}",
            humantime::format_rfc3339_millis(SystemTime::now()),
            record.level(),
            record.args(),
        );
        let allowed = bound.lock().is_ok_and(|mut bound| bound.allow());
        let sent = allowed && try_send(&sender, line);
        if !sent {
            dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 && !try_send(&sender, format!("level=WARN log: dropped lines={lost}")) {
            dropped.fetch_add(lost, Ordering::Relaxed);
        }
    });
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rosemarypitch", level)
        .level_for("rosemarypitch_forward", level)
        .level_for("rosemarypitch_peer", level)
        .level_for("rosemarypitch_platform", level)
        .chain(output);
    dispatch.apply().map_err(|error| Failure::System(error.to_string()))
}

/// Waits a moment until what was logged is written.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = mpsc::sync_channel(1);
    if queue.try_send(Line::Flush(done)).is_ok() {
        // A log that cannot be written does not keep the process.
        let _ = written.recv_timeout(FLUSH_TIME);
    }
}

fn try_send(queue: &SyncSender<Line>, line: String) -> bool {
    !matches!(
        queue.try_send(Line::Text(line)),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
    )
}

fn write_lines(lines: &Receiver<Line>) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        match line {
            // There is nowhere else to say that the log cannot be written.
            Line::Text(text) => drop(writeln!(out, "{text}")),
            Line::Flush(done) => {
                let _ = out.flush();
                let _ = done.send(());
            }
        }
    }
}

/// Bounds the lines of each second.
struct Bound {
    second: Instant,
    lines: u64,
}

impl Bound {
    fn allow(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}
