//! Memory that callers ask for, averaged over a short time.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the demand is averaged: a burst is seen within it.
const DEMAND_TIME: Duration = Duration::from_millis(1_000);

/// Memory that callers ask for, averaged over a short time.
#[derive(Debug, Default)]
pub struct Demand {
    tokens: f64,
    at: Option<Instant>,
}

impl Demand {
    /// Adds what a request needs.
    pub fn add(&mut self, now: Instant, tokens: u64) {
        self.tokens = self.level(now) + tokens as f64;
        self.at = Some(now);
    }

    fn level(&self, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.tokens * (-age.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Tokens a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.level(now) / DEMAND_TIME.as_secs_f64()
    }
}
