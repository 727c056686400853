//! Limit on the rate of calls that one host makes to the store.

use std::sync::Mutex;
use std::time::Duration;

use prometheus::IntCounterVec;
use tokio::time::Instant;

/// Counter of calls, with the labels `step` and `outcome`.
pub type CallCounter = IntCounterVec;

/// Token bucket for calls to the platform; one token per call.
#[derive(Debug)]
pub struct RateLimiter {
    rate: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket that allows `rate` calls per second and bursts of `rate` calls.
    pub fn new(rate: u32) -> Self {
        let state = State { tokens: f64::from(rate), refilled_at: Instant::now() };
        Self { rate: f64::from(rate), state: Mutex::new(state) }
    }

    /// Takes one token; returns false if none is left.
    pub fn try_acquire(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        let now = Instant::now();
        let elapsed: Duration = now - state.refilled_at;
        state.tokens = (state.tokens + elapsed.as_secs_f64() * self.rate).min(self.rate);
        state.refilled_at = now;
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }
}
