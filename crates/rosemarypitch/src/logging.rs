//! Logging to standard error, or to standard output through a bounded queue.
//!
//! The `router` command must never block on its log. Its lines go through a bounded queue to a
//! writer thread. Lines are dropped when the queue is full or the rate limit of a second is
//! reached; the next line that gets through is followed by the number of dropped lines.

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

/// Starts logging to standard error in the format of the settings.
///
/// Each message starts with the name of its subsystem, such as `config:`.
pub fn start(settings: LogSettings) -> Result<(), Failure> {
    let level: LevelFilter = settings
        .level
        .parse()
        .map_err(|_| Failure::Usage(format!("unknown log level {}", settings.level)))?;
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

/// Capacity of the queue in lines, about two seconds at the rate limit.
const QUEUE_CAPACITY: usize = 2_048;
/// Rate limit of log lines, several times what a host writes under its share of the usual load.
const MAX_LINES_PER_SECOND: u64 = 1_000;
/// Longest wait for queued lines to be written when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Queue of the writer thread; unset while logging goes to standard error.
static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();

/// Message to the writer thread.
enum Message {
    /// Writes a line.
    Text(String),
    /// Flushes standard output and acknowledges that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Starts logging to standard output through the queue; logging never blocks.
pub fn start_nonblocking(level: &str) -> Result<(), Failure> {
    let level: LevelFilter =
        level.parse().map_err(|_| Failure::Usage(format!("unknown log level {level}")))?;
    let (queue, messages) = mpsc::sync_channel(QUEUE_CAPACITY);
    let writer = thread::Builder::new().name("log".to_owned());
    writer.spawn(move || write_messages(&messages)).map_err(|e| Failure::System(e.to_string()))?;
    let sender = queue.clone();
    QUEUE.set(queue).map_err(|_| Failure::System("logging started twice".to_owned()))?;
    let rate_limit = Mutex::new(RateLimit { window_start: Instant::now(), lines: 0 });
    let dropped = AtomicU64::new(0);
    let output = fern::Output::call(move |record| {
        let line = format!(
            "time={} level={} {}",
            humantime::format_rfc3339_millis(SystemTime::now()),
            record.level(),
            record.args(),
        );
        let allowed = rate_limit.lock().is_ok_and(|mut limit| limit.allow());
        let queued = allowed && try_send(&sender, line);
        if !queued {
            dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0
            && !try_send(&sender, format!("level=WARN log: dropped lines={dropped_lines}"))
        {
            dropped.fetch_add(dropped_lines, Ordering::Relaxed);
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

/// Waits until all queued lines are written, at most [`FLUSH_TIMEOUT`].
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (acknowledge, acknowledged) = mpsc::sync_channel(1);
    if queue.try_send(Message::Flush(acknowledge)).is_ok() {
        // A log that cannot be written must not prevent the exit.
        let _ = acknowledged.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Queues a line without waiting; returns false if it cannot be queued.
fn try_send(queue: &SyncSender<Message>, line: String) -> bool {
    !matches!(
        queue.try_send(Message::Text(line)),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
    )
}

/// Writes queued lines until all senders are dropped.
fn write_messages(messages: &Receiver<Message>) {
    let mut out = std::io::stdout();
    while let Ok(message) = messages.recv() {
        match message {
            // An error of the log itself cannot be logged anywhere else.
            Message::Text(text) => drop(writeln!(out, "{text}")),
            Message::Flush(acknowledge) => {
                let _ = out.flush();
                let _ = acknowledge.send(());
            }
        }
    }
}

/// Limits the number of lines per second with a fixed window.
struct RateLimit {
    window_start: Instant,
    lines: u64,
}

impl RateLimit {
    /// Counts a line and returns whether it may be written.
    fn allow(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}
