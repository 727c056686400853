//! Rate at which requests for decode memory arrive, averaged over a short time.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the average; short enough that a burst shows while it lasts.
const AVERAGING_TIME: Duration = Duration::from_millis(1_000);

/// Exponentially decaying sum of the memory that requests need.
#[derive(Debug, Default)]
pub struct Demand {
    tokens: f64,
    updated: Option<Instant>,
}

impl Demand {
    /// Adds the memory of a request.
    pub fn add(&mut self, now: Instant, tokens: u64) {
        self.tokens = self.decayed(now) + tokens as f64;
        self.updated = Some(now);
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.tokens * (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }

    /// Average demand, in tokens per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / AVERAGING_TIME.as_secs_f64()
    }
}
