//! What an upstream's outcomes say of it.
//!
//! Health checks may be wrong either way, so an upstream is judged by what became of the
//! requests that were sent to it.

use std::time::Duration;

use tokio::time::Instant;

/// First pause after an upstream could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; a server that is back is tried within this time.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Time in which a failure rate that no outcome confirms halves.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// What became of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Succeeded,
    /// An error of the upstream's own, or a broken or missing answer.
    Failed,
    /// No connection.
    Unreachable,
}

/// Health of one upstream.
#[derive(Debug, Default)]
pub struct Health {
    rate: f64,
    judged: Option<Instant>,
    row: u32,
    avoid: Option<Instant>,
}

impl Health {
    /// Takes an outcome.
    pub fn record(&mut self, now: Instant, outcome: Outcome) {
        let bad = if outcome == Outcome::Succeeded { 0.0 } else { 1.0 };
        let rate = self.failure_rate(now);
        self.rate = rate + OUTCOME_WEIGHT * (bad - rate);
        self.judged = Some(now);
        match outcome {
            Outcome::Succeeded => {
                self.row = 0;
                self.avoid = None;
            }
            Outcome::Failed => {}
            Outcome::Unreachable => {
                let pause = FIRST_PAUSE * 2_u32.pow(self.row.min(8));
                self.row += 1;
                self.avoid = Some(now + pause.min(MAX_PAUSE));
            }
        }
    }

    /// Whether the upstream is left alone for now.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid.is_some_and(|end| now < end)
    }

    /// Part of the requests that fail, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = self.judged.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
