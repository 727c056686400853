//! Rate and burst of customers, kept by each host for itself within a share.
//!
//! Hosts that hear each other tell each other what they have admitted, and together own
//! as large a part of each limit as they are of all hosts. A host that hears nobody owns
//! the part of one. So hosts that are cut from each other stay within the limit in sum,
//! and no request waits for a word from another host.
//!
//! What others admit is heard late. A bucket may therefore fall below zero; what was
//! admitted too much is made up for before anything else is admitted. While callers ask for
//! more than is left in the time of that lag, each request has an equal chance, so that
//! hundreds of hosts do not all take the same last tokens.
//!
//! Hosts tell each other how full their buckets are. A host that has started while others
//! run takes the fullness that they tell, and so does one whose bucket stays apart from
//! theirs, such as after it stood still while they admitted and refilled.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::Spent;
use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::counters::TokenDelta;
use crate::site::{Customer, RateLimit};

/// Longest time after which a caller beyond its limit is told to come back.
const MAX_RETRY: Duration = Duration::from_secs(8);
/// Time after which a host that hears of no fullness goes on with its own: several
/// exchanges, and the time in which hosts come to hear each other.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The part of all limits that a host may use together with those that it hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Hosts that hear each other, this one included.
    pub heard: usize,
    /// All hosts that may admit anything.
    pub hosts: usize,
    /// Time after which a host hears what others admit.
    pub lag: Duration,
}

impl Share {
    /// The part of each limit.
    pub fn part(self) -> f64 {
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
    pub fn capacity(self, limit: RateLimit, share: Share) -> f64 {
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
/// Largest part of a full bucket that a small request takes; calls of a desk take a part in
/// a thousand, long prompts some hundredths.
const SMALL_PART: f64 = 0.005;

/// Buckets of one host.
#[derive(Debug)]
pub struct Quota {
    rules: QuotaRules,
    /// Whether buckets start full: no host has admitted anything before.
    full: bool,
    /// Whether the buckets may be told to others; a host that has just started does not
    /// know what was admitted before.
    settled: bool,
    /// When it first compared its buckets with those of others.
    compared: Option<Instant>,
    buckets: HashMap<Arc<str>, Bucket>,
}

impl Quota {
    /// Buckets that are all full, or all empty until others tell.
    pub fn new(rules: QuotaRules, full: bool) -> Self {
        Self { rules, full, settled: full, compared: None, buckets: HashMap::new() }
    }

    /// Changes what is tolerated.
    pub fn set_rules(&mut self, rules: QuotaRules) {
        self.rules = rules;
    }

    /// Takes tokens, or tells when there may be as many.
    ///
    /// `draw` is a random number from 0 to 1. While more is asked for than is left, each
    /// large request has the same chance at all hosts.
    pub fn take(
        &mut self,
        now: Instant,
        customer: &Customer,
        share: Share,
        tokens: u64,
        draw: f64,
    ) -> Result<(), Duration> {
        let Some(limit) = customer.limit else { return Ok(()) };
        let early = self.rules.allowance * EARLY_PART / share.hosts.max(1) as f64;
        let capacity = self.rules.capacity(limit, share);
        let bucket = self.bucket(now, &customer.name, limit, share);
        bucket.ask(share, tokens);
        let reserve = capacity * SMALL_RESERVE;
        let small = tokens as f64 <= SMALL_PART * capacity;
        let kept = if small { 0.0 } else { reserve };
        // A request larger than the bucket passes a full one.
        let need = (tokens as f64 + kept - early).min(capacity);
        let chance = bucket.chance(share);
        if bucket.level() >= need && (small || draw <= chance) {
            bucket.admit(tokens);
            return Ok(());
        }
        let rate = (limit.rate * share.part()).max(1.0);
        log::info!(
            "limits: over customer={} tokens={tokens} level={:.0} capacity={capacity:.0} \
             chance={chance:.2} demand={:.0} rate={:.0} heard={} hosts={}",
            customer.name,
            bucket.level(),
            bucket.peak_demand(),
            limit.rate,
            share.heard,
            share.hosts,
        );
        // Who was unlucky may find as much left after what a request takes is there anew.
        let lacking = (need - bucket.level()).max(tokens as f64);
        Err(Duration::from_secs_f64(lacking / rate).min(MAX_RETRY))
    }

    /// Gives back the tokens of a request that has not run.
    pub fn give_back(&mut self, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.give_back(tokens);
        }
    }

    /// Takes note of what callers asked for and got at other hosts since those last told.
    pub fn heard(&mut self, now: Instant, customer: &Customer, share: Share, told: TokenDelta) {
        if let Some(limit) = customer.limit {
            self.bucket(now, &customer.name, limit, share).heard(share, told);
        }
    }

    /// Compares a bucket with what other hosts tell of theirs, as parts of full ones.
    pub fn compare(&mut self, now: Instant, customer: &Customer, share: Share, told: &mut [f32]) {
        let Some(limit) = customer.limit else { return };
        let Some(median) = median(told) else { return };
        let (settled, capacity) = (self.settled, self.rules.capacity(limit, share));
        let bucket = self.bucket(now, &customer.name, limit, share);
        if settled && !bucket.is_apart(now, share, median, capacity) {
            return;
        }
        log::info!(
            "limits: fullness taken customer={} from={:.2} to={median:.2} hosts={} settled={settled}",
            customer.name,
            bucket.fullness(capacity),
            told.len(),
        );
        bucket.set_fullness(median, capacity);
    }

    /// Takes note that all buckets have been compared; `told` if others told of theirs.
    pub fn note_compared(&mut self, now: Instant, told: bool) {
        let first = *self.compared.get_or_insert(now);
        let waited = now.saturating_duration_since(first) >= SETTLE_TIME;
        if !self.settled && (told || waited) {
            log::info!("limits: settled told={told}");
            self.settled = true;
        }
    }

    /// What happened here, by customer.
    pub fn spent(&self) -> impl Iterator<Item = (&Arc<str>, Spent)> {
        self.buckets.iter().map(|(name, bucket)| (name, bucket.spent(self.settled)))
    }

    fn bucket(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        limit: RateLimit,
        share: Share,
    ) -> &mut Bucket {
        let capacity = self.rules.capacity(limit, share);
        let level = if self.full { capacity } else { 0.0 };
        let fresh = || Bucket::new(now, limit, share, level);
        let bucket = self.buckets.entry(name.clone()).or_insert_with(fresh);
        bucket.fill(now, limit, share, capacity);
        bucket
    }
}

fn median(values: &mut [f32]) -> Option<f64> {
    values.sort_by(f32::total_cmp);
    let middle = values.len() / 2;
    let upper = f64::from(*values.get(middle)?);
    if values.len() % 2 == 1 {
        return Some(upper);
    }
    Some((upper + f64::from(values[middle - 1])) / 2.0)
}
