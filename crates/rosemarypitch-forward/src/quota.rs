//! Token-bucket rate limits of customers, enforced by each host for its share of a limit.
//!
//! Hosts that reach each other report to each other what they have admitted. Together they
//! own the same fraction of each limit as they are of all hosts, and a host that reaches no
//! other owns the fraction of one host. The sides of a network partition therefore stay
//! within the limit in sum, and no request waits for a response from another host.
//!
//! Admissions of other hosts arrive with a delay. The level of a bucket can therefore drop
//! below zero, and the excess has to be refilled before anything else is admitted. While
//! demand exceeds what is left within that delay, each request is admitted with the same
//! probability, so that hundreds of hosts don't all spend the same last tokens.
//!
//! Hosts also report how full their buckets are. A host that has started while others run
//! adopts the fullness that they report. So does a host whose bucket keeps differing from
//! theirs, for instance after it was paused while they admitted requests and refilled.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::TokenCounts;
use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::config::{Customer, RateLimit};
use crate::counters::TokenDelta;

/// Longest retry delay for a customer that has exceeded its limit.
const MAX_RETRY: Duration = Duration::from_secs(8);
/// Longest retry delay at a host that has not settled; hosts usually settle within this time,
/// and callers of short requests wait no longer.
const UNSETTLED_RETRY: Duration = Duration::from_millis(400);
/// Time after which a host that has received no fullness reports uses its own buckets as
/// they are: several exchanges, and the time in which hosts discover each other.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Share of all limits that a host owns together with the hosts that it reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Parts of hosts that it may use; one for each host if all reach each other.
    pub parts: f64,
    /// All hosts that may admit requests.
    pub hosts: usize,
    /// Delay until this host receives what other hosts have admitted.
    pub lag: Duration,
}

impl Share {
    /// Share as a fraction of each limit, from 0 to 1.
    pub fn fraction(self) -> f64 {
        let hosts = self.hosts.max(1) as f64;
        self.parts.min(hosts) / hosts
    }
}

/// Deviation from a limit that the platform tolerates when many hosts enforce it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the window in which admitted tokens are counted.
    pub window: Duration,
    /// Fraction of a limit that may be admitted in excess of it per window.
    pub overrun: f64,
    /// Tokens that may be admitted per window in addition to the overrun.
    pub allowance: f64,
}

impl QuotaRules {
    /// Capacity of a bucket, in tokens.
    pub fn capacity(self, limit: RateLimit, share: Share) -> f64 {
        let tolerated = self.overrun * (limit.burst + limit.rate * self.window.as_secs_f64());
        let allowance =
            if share.lag > LONG_LAG { FLEET_CAPACITY_ALLOWANCE } else { CAPACITY_ALLOWANCE };
        (limit.burst + tolerated + allowance * self.allowance) * share.fraction()
    }
}

/// Fraction of the allowance that is added to the capacity of a bucket. A window counts the
/// initial level of a bucket and its refill, so the capacity may include the tolerated
/// excess.
const CAPACITY_ALLOWANCE: f64 = 0.6;
/// The same where hosts receive each other's reports late, as in a fleet of several rows. What
/// they admit before that takes more of the allowance.
const FLEET_CAPACITY_ALLOWANCE: f64 = 0.25;
/// Lag above which [`FLEET_CAPACITY_ALLOWANCE`] applies; that of a single row is shorter.
const LONG_LAG: Duration = Duration::from_millis(800);
/// Fraction of the allowance by which all hosts together may overdraw their buckets. The rest
/// of the allowance covers what hosts admit before they receive each other's reports.
const OVERDRAFT_ALLOWANCE: f64 = 0.2;

/// Fraction of a bucket that is reserved for small requests. One long prompt counts as much
/// as dozens of interactive calls, and a customer's long jobs must not lock those out.
const SMALL_RESERVE: f64 = 0.05;
/// Largest fraction of the capacity that counts as a small request. Interactive calls take
/// about a thousandth, long prompts a few hundredths.
const SMALL_REQUEST: f64 = 0.005;

/// Token buckets of one host, by customer.
#[derive(Debug)]
pub struct Quota {
    rules: QuotaRules,
    /// Whether buckets start full, because no host has admitted anything before.
    start_full: bool,
    /// Whether the fullness of the buckets may be reported to other hosts. A host that has
    /// just started has no record of what was admitted before.
    settled: bool,
    /// When the buckets were first reconciled with those of other hosts.
    reconciled: Option<Instant>,
    buckets: HashMap<Arc<str>, Bucket>,
    /// Tokens for which requests wait, by customer.
    awaited: HashMap<Arc<str>, u64>,
}

impl Quota {
    /// Creates buckets that start full, or empty until other hosts report their fullness.
    pub fn new(rules: QuotaRules, full: bool) -> Self {
        Self {
            rules,
            start_full: full,
            settled: full,
            reconciled: None,
            buckets: HashMap::new(),
            awaited: HashMap::new(),
        }
    }

    /// Changes the tolerated deviation.
    pub fn set_rules(&mut self, rules: QuotaRules) {
        self.rules = rules;
    }

    /// Takes tokens for a request, or returns the delay after which to retry.
    ///
    /// `draw` is a random number from 0 to 1. While demand exceeds what is left, each large
    /// request is admitted with the same probability at all hosts.
    pub fn take(
        &mut self,
        now: Instant,
        customer: &Customer,
        share: Share,
        tokens: u64,
        draw: f64,
    ) -> Result<(), Duration> {
        let Some(limit) = customer.limit else { return Ok(()) };
        let overdraft = self.overdraft(share);
        let capacity = self.rules.capacity(limit, share);
        let awaited = self.awaited.get(&customer.name).copied().unwrap_or(0);
        let bucket = self.bucket(now, &customer.name, limit, share);
        bucket.record_request(share, tokens);
        let reserve = capacity * SMALL_RESERVE;
        let small = tokens as f64 <= SMALL_REQUEST * capacity;
        let reserved = if small { 0.0 } else { reserve };
        let awaited = if small { 0 } else { awaited };
        // A request larger than the capacity is admitted by a full bucket.
        let needed = (tokens as f64 + reserved - overdraft).min(capacity) + awaited as f64;
        let probability = bucket.admission_probability(share);
        if bucket.level() >= needed && (small || draw <= probability) {
            bucket.admit(tokens);
            return Ok(());
        }
        let rate = (limit.rate * share.fraction()).max(1.0);
        log::info!(
            "limits: limit exceeded customer={} tokens={tokens} level={:.0} capacity={capacity:.0} \
             chance={probability:.2} demand={:.0} rate={:.0} parts={:.1} hosts={}",
            customer.name,
            bucket.level(),
            bucket.peak_demand(),
            limit.rate,
            share.parts,
            share.hosts,
        );
        // For a request refused by the draw, the delay is the time that its own tokens take to
        // refill.
        let missing = (needed - bucket.level()).max(tokens as f64);
        let retry =
            Duration::try_from_secs_f64(missing / rate).map_or(MAX_RETRY, |t| t.min(MAX_RETRY));
        // Until others report their fullness, an empty bucket says nothing about the customer.
        let unsettled = !self.settled && share.hosts > 1;
        Err(if unsettled { retry.min(UNSETTLED_RETRY) } else { retry })
    }

    /// Tokens that a host may take from an empty bucket.
    fn overdraft(&self, share: Share) -> f64 {
        self.rules.allowance * OVERDRAFT_ALLOWANCE / share.hosts.max(1) as f64
    }

    /// Sets tokens aside for a request that takes a stream up: it was admitted once, and its caller
    /// loses the stream if it has to compete with new ones again.
    pub fn await_tokens(&mut self, customer: &Customer, tokens: u64) {
        *self.awaited.entry(customer.name.clone()).or_default() += tokens;
    }

    /// Takes tokens that were set aside, if they are there.
    ///
    /// `draw` is a random number from 0 to 1. Other hosts see the same tokens until they learn who
    /// has taken them, so on average only one of them tries at a time.
    pub fn take_awaited(
        &mut self,
        now: Instant,
        customer: &Customer,
        share: Share,
        tokens: u64,
        draw: f64,
    ) -> bool {
        let Some(limit) = customer.limit else { return true };
        let overdraft = self.overdraft(share);
        let needed = (tokens as f64 - overdraft).min(self.rules.capacity(limit, share));
        let bucket = self.bucket(now, &customer.name, limit, share);
        let admitted = bucket.level() >= needed && draw * share.parts <= 1.0;
        if admitted {
            bucket.admit(tokens);
        }
        admitted
    }

    /// Ends the wait of a request for tokens that were set aside.
    pub fn end_wait(&mut self, customer: &Customer, tokens: u64) {
        if let Some(awaited) = self.awaited.get_mut(&customer.name) {
            *awaited = awaited.saturating_sub(tokens);
        }
    }

    /// Refunds the tokens of a request that was not executed.
    pub fn refund(&mut self, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.refund(tokens);
        }
    }

    /// Applies what callers requested and other hosts admitted since their last report.
    pub fn apply_remote(
        &mut self,
        now: Instant,
        customer: &Customer,
        share: Share,
        change: TokenDelta,
    ) {
        if let Some(limit) = customer.limit {
            self.bucket(now, &customer.name, limit, share).apply_remote(share, change);
        }
    }

    /// Compares a bucket with the fullness that other hosts report for theirs, from 0 to 1, and
    /// adopts their median if this host has just started or its bucket has drifted.
    pub fn reconcile(
        &mut self,
        now: Instant,
        customer: &Customer,
        share: Share,
        reported: &mut [f32],
    ) {
        let Some(limit) = customer.limit else { return };
        let Some(median) = median(reported) else { return };
        let (settled, capacity) = (self.settled, self.rules.capacity(limit, share));
        let bucket = self.bucket(now, &customer.name, limit, share);
        if settled && !bucket.has_drifted(now, share, median, capacity) {
            return;
        }
        log::info!(
            "limits: fullness adopted customer={} from={:.2} to={median:.2} hosts={} settled={settled}",
            customer.name,
            bucket.fullness(capacity),
            reported.len(),
        );
        bucket.set_fullness(median, capacity);
    }

    /// Records that all buckets have been reconciled; `reported` if any other host has
    /// reported its fullness.
    pub fn mark_reconciled(&mut self, now: Instant, reported: bool) {
        let first = *self.reconciled.get_or_insert(now);
        let waited = now.saturating_duration_since(first) >= SETTLE_TIME;
        if !self.settled && (reported || waited) {
            log::info!("limits: buckets settled told={reported}");
            self.settled = true;
        }
    }

    /// Whether the buckets reflect what was admitted before this host started.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Totals of this host by customer, to be reported to other hosts.
    pub fn spent(&self) -> impl Iterator<Item = (&Arc<str>, TokenCounts)> {
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
        let level = if self.start_full { capacity } else { 0.0 };
        let new = || Bucket::new(now, limit, share, level);
        let bucket = self.buckets.entry(name.clone()).or_insert_with(new);
        bucket.refill(now, limit, share, capacity);
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
