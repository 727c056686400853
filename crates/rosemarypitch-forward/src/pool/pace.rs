//! Speed at which engines generate the output of streams.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the latest stream in the moving average.
const PACE_WEIGHT: f64 = 0.1;

/// Output of a stream, as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Output tokens generated so far.
    pub generated: u64,
    /// When the first output arrived, and how many tokens it had.
    first: Option<(Instant, u64)>,
    latest: Option<Instant>,
}

impl Progress {
    /// Records the output tokens that the stream has generated so far.
    pub fn record(&mut self, now: Instant, generated: u64) {
        self.generated = generated;
        self.first.get_or_insert((now, generated));
        self.latest = Some(now);
    }

    /// Time of an output token, in seconds; none before the second output.
    pub fn token_time(&self) -> Option<f64> {
        self.later_output().map(|(tokens, time)| time.as_secs_f64() / tokens as f64)
    }

    /// Tokens generated after the first output, and the time that they took.
    fn later_output(&self) -> Option<(u64, Duration)> {
        let ((start, before), end) = self.first.zip(self.latest)?;
        let tokens = self.generated.saturating_sub(before);
        (tokens > 0).then(|| (tokens, end.saturating_duration_since(start)))
    }
}

/// Moving average of the time that one output token takes.
#[derive(Debug, Default)]
pub struct Pace {
    /// Seconds; none before the first stream has ended.
    mean: Option<f64>,
}

impl Pace {
    /// Adds a stream that has ended.
    pub fn record(&mut self, progress: &Progress) {
        let Some(token_time) = progress.token_time() else { return };
        let mean = self.mean.unwrap_or(token_time);
        self.mean = Some(mean + PACE_WEIGHT * (token_time - mean));
    }

    /// Mean over the streams that have ended, in seconds.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Time that one output token takes, in seconds, also judged by streams that still run; the
    /// slower of both.
    pub fn token_time<'a>(&self, running: impl Iterator<Item = &'a Progress>) -> Option<f64> {
        let sum = running.filter_map(Progress::later_output).reduce(|a, b| (a.0 + b.0, a.1 + b.1));
        let current = sum.map(|(tokens, time)| time.as_secs_f64() / tokens as f64);
        match (self.mean, current) {
            (Some(mean), Some(current)) => Some(mean.max(current)),
            (mean, current) => mean.or(current),
        }
    }
}
