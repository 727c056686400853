//! A bound on the calls that one host makes.

use std::sync::Mutex;
use std::time::Duration;

use prometheus::IntCounterVec;
use tokio::time::Instant;

/// Call counts by step and outcome, for metrics.
pub type CallCounter = IntCounterVec;

/// A token bucket over platform calls.
#[derive(Debug)]
pub struct RateLimiter {
    rate: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    left: f64,
    filled: Instant,
}

impl RateLimiter {
    /// Allows `rate` calls a second and as many at once.
    pub fn new(rate: u32) -> Self {
        let state = State { left: f64::from(rate), filled: Instant::now() };
        Self { rate: f64::from(rate), state: Mutex::new(state) }
    }

    /// Takes one call, if any is left.
    pub fn try_acquire(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        let now = Instant::now();
        let passed: Duration = now - state.filled;
        state.left = (state.left + passed.as_secs_f64() * self.rate).min(self.rate);
        state.filled = now;
        if state.left < 1.0 {
            return false;
        }
        state.left -= 1.0;
        true
    }
}
