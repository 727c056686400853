//! Passive health tracking of an upstream.
//!
//! Active health checks can be wrong in both directions, so an upstream's health is derived
//! from the outcomes of the requests that were sent to it.

use std::time::Duration;

use tokio::time::Instant;

/// First backoff after an upstream was unreachable.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff; a server that has recovered is tried again within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Weight of the latest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Time in which the failure rate halves without new outcomes.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Succeeded,
    /// The upstream returned an error, or its response was broken or missing.
    Failed,
    /// No connection could be made.
    Unreachable,
}

/// Health of one upstream.
#[derive(Debug, Default)]
pub struct Health {
    /// Failure rate when it was updated last, from 0 to 1.
    rate: f64,
    updated: Option<Instant>,
    /// Failed connections since the last success.
    unreachable: u32,
    avoid_until: Option<Instant>,
}

impl Health {
    /// Records an outcome.
    pub fn record(&mut self, now: Instant, outcome: Outcome) {
        let failure = if outcome == Outcome::Succeeded { 0.0 } else { 1.0 };
        let rate = self.failure_rate(now);
        self.rate = rate + OUTCOME_WEIGHT * (failure - rate);
        self.updated = Some(now);
        match outcome {
            Outcome::Succeeded => {
                self.unreachable = 0;
                self.avoid_until = None;
            }
            Outcome::Failed => {}
            Outcome::Unreachable => {
                let backoff = FIRST_BACKOFF * 2_u32.pow(self.unreachable.min(8));
                self.unreachable += 1;
                self.avoid_until = Some(now + backoff.min(MAX_BACKOFF));
            }
        }
    }

    /// Whether the upstream is in backoff after it was unreachable.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|end| now < end)
    }

    /// Moving average of the fraction of requests that fail, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
