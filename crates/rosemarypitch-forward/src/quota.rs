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

/// What the platform tolerates of limits that are kept by many hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Span of time in which admitted tokens are counted.
    pub window: Duration,
    /// Part of a limit that may be admitted beyond it in a window.
    pub overrun: f64,
    /// Tokens that may be admitted beyond that in a window.
    pub allowance: f64,
}

impl QuotaRules {
    /// Most tokens that a bucket holds.
    fn capacity(self, limit: RateLimit, share: Share) -> f64 {
        let tolerated = self.overrun * (limit.burst + limit.rate * self.window.as_secs_f64());
        (limit.burst + tolerated + HELD_PART * self.allowance) * share.part()
    }
}

/// Part of the allowance by which a full bucket exceeds the burst. A window sees what a
/// bucket gains in it and what it held before, so a bucket may hold what is tolerated.
const HELD_PART: f64 = 0.6;
/// Part of the allowance that hosts may admit before a bucket holds it. What is left of the
/// allowance covers what hosts admit before they hear of each other.
const EARLY_PART: f64 = 0.2;

/// Part of a bucket that is left to small requests: one long prompt counts as much as
/// dozens of calls of a desk, which a customer's long jobs must not shut out.
const SMALL_RESERVE: f64 = 0.05;

/// Buckets of one host.
#[derive(Debug)]
pub struct Quota {
    rules: QuotaRules,
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
    pub fn new(rules: QuotaRules, full: bool) -> Self {
        Self { rules, full, buckets: HashMap::new() }
    }

    /// Changes what is tolerated.
    pub fn set_rules(&mut self, rules: QuotaRules) {
        self.rules = rules;
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
        let early = self.rules.allowance * EARLY_PART / share.hosts.max(1) as f64;
        let capacity = self.rules.capacity(limit, share);
        let bucket = self.bucket(now, &customer.name, limit, share);
        let reserve = capacity * SMALL_RESERVE;
        let kept = if tokens as f64 > reserve { reserve } else { 0.0 };
        // A request larger than the bucket passes a full one.
        let need = (tokens as f64 + kept - early).min(capacity);
        if bucket.level < need {
            let rate = (limit.rate * share.part()).max(1.0);
            log::info!(
                "limits: over customer={} tokens={tokens} level={:.0} capacity={capacity:.0} \
                 rate={:.0} heard={} hosts={}",
                customer.name,
                bucket.level,
                limit.rate,
                share.heard,
                share.hosts,
            );
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
        let capacity = self.rules.capacity(limit, share);
        let start = if self.full { capacity } else { 0.0 };
        let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket {
            limit,
            level: start,
            filled: now,
            admitted: 0,
        });
        let time = now.saturating_duration_since(bucket.filled).as_secs_f64();
        let gained = bucket.level + bucket.limit.rate * share.part() * time;
        bucket.level = gained.min(capacity);
        bucket.filled = now;
        bucket.limit = limit;
        bucket
    }
}
