//! Token bucket with exact integer arithmetic.

use tokio::time::Instant;

use crate::nano::{self, NanoTokens};

/// Token bucket; amounts are in billionths of a token.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Available tokens.
    pub level: NanoTokens,
    /// Refill rate, in tokens per second.
    pub rate: NanoTokens,
    /// Capacity.
    pub burst: NanoTokens,
    updated: Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now: Instant, rate: NanoTokens, burst: NanoTokens) -> Self {
        Self { level: 0, rate, burst, updated: now }
    }

    /// Refills the bucket up to `now`; an earlier instant has no effect.
    pub fn advance(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.updated);
        self.level = (self.level + nano::accrued(self.rate, time)).min(self.burst);
        self.updated = self.updated.max(now);
    }

    /// Sets rate and burst from `now` on; tokens above the new burst are lost.
    pub fn set_limits(&mut self, now: Instant, rate: NanoTokens, burst: NanoTokens) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Adds tokens; those above the burst are lost.
    pub fn add(&mut self, amount: NanoTokens) {
        self.level = (self.level + amount).min(self.burst);
    }

    /// Takes tokens if all of them are available; returns whether they were.
    pub fn take(&mut self, amount: NanoTokens) -> bool {
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Takes and returns all tokens available at `now`.
    pub fn drain(&mut self, now: Instant) -> NanoTokens {
        self.advance(now);
        std::mem::take(&mut self.level)
    }
}
