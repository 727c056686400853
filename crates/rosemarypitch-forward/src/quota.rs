//! Rate and burst of customers, kept by each host for itself within a share.
//!
//! Hosts that hear each other tell each other what they have admitted, and together own
//! as large a part of each limit as they are of all hosts. A host that hears nobody owns
//! the part of one. So hosts that are cut from each other stay within the limit in sum,
//! and no request waits for a word from another host.
//!
//! What others admit is heard late. A bucket may therefore fall below zero; what was
//! admitted too much is made up for before anything else is admitted.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::site::{Customer, RateLimit};

/// Longest time after which a caller beyond its limit is told to come back.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// The part of all limits that a host may use together with those that it hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Hosts that hear each other, this one included.
    pub heard: usize,
    /// All hosts that may admit anything.
    pub hosts: usize,
}

impl Share {
    fn part(self) -> f64 {
        self.heard.min(self.hosts) as f64 / self.hosts.max(1) as f64
    }
}

/// Buckets of one host.
#[derive(Debug)]
pub struct Quota {
    /// Tokens that all hosts together may admit early.
    slack: f64,
    /// Whether buckets start full: no host has admitted anything before.
    full: bool,
    buckets: HashMap<Arc<str>, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    limit: RateLimit,
    level: f64,
    filled: Instant,
    /// Tokens admitted here since the process started, less those given back.
    admitted: u64,
}

impl Quota {
    /// Buckets that are all full, or all empty.
    pub fn new(slack: f64, full: bool) -> Self {
        Self { slack, full, buckets: HashMap::new() }
    }

    /// Takes tokens, or tells when there may be as many.
    pub fn take(
        &mut self,
        now: Instant,
        customer: &Customer,
        share: Share,
        tokens: u64,
    ) -> Result<(), Duration> {
        let Some(limit) = customer.limit else { return Ok(()) };
        let slack = self.slack / share.hosts.max(1) as f64;
        let bucket = self.bucket(now, &customer.name, limit, share);
        let burst = limit.burst * share.part();
        // A request larger than the burst passes a full bucket.
        let need = (tokens as f64 - slack).min(burst).max(0.0);
        if bucket.level < need {
            let rate = (limit.rate * share.part()).max(1.0);
            let wait = Duration::from_secs_f64((need - bucket.level) / rate);
            return Err(wait.min(MAX_RETRY));
        }
        bucket.level -= tokens as f64;
        bucket.admitted += tokens;
        Ok(())
    }

    /// Gives back the tokens of a request that has not run.
    pub fn give_back(&mut self, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += tokens as f64;
            bucket.admitted = bucket.admitted.saturating_sub(tokens);
        }
    }

    /// Takes note of what another host has admitted (negative: given back) since it last told.
    pub fn heard(&mut self, now: Instant, customer: &Customer, share: Share, tokens: i64) {
        let Some(limit) = customer.limit else { return };
        let bucket = self.bucket(now, &customer.name, limit, share);
        bucket.level -= tokens as f64;
    }

    /// Tokens admitted here by customer.
    pub fn admitted(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.buckets.iter().map(|(name, bucket)| (name, bucket.admitted))
    }

    fn bucket(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        limit: RateLimit,
        share: Share,
    ) -> &mut Bucket {
        let part = share.part();
        let start = if self.full { limit.burst * part } else { 0.0 };
        let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket {
            limit,
            level: start,
            filled: now,
            admitted: 0,
        });
        let time = now.saturating_duration_since(bucket.filled).as_secs_f64();
        let gained = bucket.level + bucket.limit.rate * part * time;
        bucket.level = gained.min(limit.burst * part);
        bucket.filled = now;
        bucket.limit = limit;
        bucket
    }
}
