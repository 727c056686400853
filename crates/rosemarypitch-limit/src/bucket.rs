//! A token bucket with exact arithmetic.

use tokio::time::Instant;

use crate::nano::{self, NanoTokens};

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens in it.
    pub level: NanoTokens,
    /// Tokens that it gains a second.
    pub rate: NanoTokens,
    /// Most tokens that it holds.
    pub burst: NanoTokens,
    filled: Instant,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Instant, rate: NanoTokens, burst: NanoTokens) -> Self {
        Self { level: 0, rate, burst, filled: now }
    }

    /// Gains what `now` has brought.
    pub fn advance(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.filled);
        self.level = (self.level + nano::accrued(self.rate, time)).min(self.burst);
        self.filled = self.filled.max(now);
    }

    /// Changes rate and burst from `now` on.
    pub fn set_limits(&mut self, now: Instant, rate: NanoTokens, burst: NanoTokens) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, amount: NanoTokens) {
        self.level = (self.level + amount).min(self.burst);
    }

    /// Takes tokens, if there are as many.
    pub fn take(&mut self, amount: NanoTokens) -> bool {
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Takes all tokens.
    pub fn drain(&mut self, now: Instant) -> NanoTokens {
        self.advance(now);
        std::mem::take(&mut self.level)
    }
}
