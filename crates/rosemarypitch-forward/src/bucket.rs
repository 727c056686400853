//! Token bucket of one customer at one host.

use std::time::Duration;

use rosemarypitch_peer::TokenCounts;
use tokio::time::Instant;

use crate::config::RateLimit;
use crate::counters::TokenDelta;
use crate::quota::Share;

/// Shortest time constant of the average demand; a burst shows within it.
const MIN_AVERAGING_TIME: Duration = Duration::from_millis(500);
/// Multiple of the lag for which demand is forecast. Without the forecast, hosts that react
/// to delayed reports would oscillate, all admitting and then all refusing at the same time.
const LOOKAHEAD_LAGS: u32 = 2;
/// Time constant with which the peak demand decays. When reports from other hosts are missing
/// for a moment, their demand must not be taken as gone before that is certain.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(2);
/// Largest difference in fullness between the buckets of different hosts that is not drift;
/// covers what is admitted within the lag.
const DRIFT_TOLERANCE: f64 = 0.3;
/// Shortest time for which fullness must differ to count as drift.
const MIN_DRIFT_TIME: Duration = Duration::from_secs(1);
/// Multiple of the lag for which fullness must differ to count as drift.
const DRIFT_LAGS: u32 = 3;

/// Token bucket whose level follows the admissions of all reachable hosts.
#[derive(Debug)]
pub struct Bucket {
    limit: RateLimit,
    level: f64,
    /// Fraction of the limit that the bucket represents.
    fraction: f64,
    /// Fullness at the last refill.
    last_fullness: f64,
    /// Average demand of callers at all reachable hosts, in tokens per second.
    demand: f64,
    /// Slowly decaying peak of `demand`, in tokens per second.
    peak_demand: f64,
    refilled: Instant,
    /// Since when the fullness differs from that of other hosts.
    drift_start: Option<Instant>,
    /// Totals of this host since the process started.
    spent: TokenCounts,
}

impl Bucket {
    /// Creates a bucket with an initial level, in tokens.
    pub fn new(now: Instant, limit: RateLimit, share: Share, level: f64) -> Self {
        Self {
            limit,
            level,
            fraction: share.fraction(),
            last_fullness: 0.0,
            demand: 0.0,
            peak_demand: 0.0,
            refilled: now,
            drift_start: None,
            spent: TokenCounts::default(),
        }
    }

    /// Adds the tokens of the time since the last refill, and decays the demand.
    pub fn refill(&mut self, now: Instant, limit: RateLimit, share: Share, capacity: f64) {
        let time = now.saturating_duration_since(self.refilled).as_secs_f64();
        let gained = self.level + self.limit.rate * self.fraction * time;
        // The fullness stays the same when the fraction changes, so that hosts separated by
        // a partition divide what is left between them.
        self.level = (gained * share.fraction() / self.fraction).min(capacity);
        self.fraction = share.fraction();
        self.last_fullness = self.level / capacity.max(1.0);
        self.demand *= (-time / averaging_time(share).as_secs_f64()).exp();
        self.peak_demand *= (-time / PEAK_DECAY_TIME.as_secs_f64()).exp();
        self.refilled = now;
        self.limit = limit;
    }

    /// Tokens that may be admitted; negative if too many were admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Demand at all reachable hosts that admission is based on, in tokens per second.
    pub fn peak_demand(&self) -> f64 {
        self.peak_demand
    }

    /// Level as a fraction of the capacity; negative if too many tokens were admitted.
    pub fn fullness(&self, capacity: f64) -> f64 {
        self.level / capacity.max(1.0)
    }

    /// Adds a request of a caller at this host to the demand.
    pub fn record_request(&mut self, share: Share, tokens: u64) {
        self.spent.requested = self.spent.requested.wrapping_add(tokens);
        self.add_demand(share, tokens);
    }

    fn add_demand(&mut self, share: Share, tokens: u64) {
        self.demand += tokens as f64 / averaging_time(share).as_secs_f64();
        self.peak_demand = self.peak_demand.max(self.demand);
    }

    /// Takes the tokens of a request.
    pub fn admit(&mut self, tokens: u64) {
        self.level -= tokens as f64;
        self.spent.admitted = self.spent.admitted.wrapping_add(tokens);
    }

    /// Returns the tokens of a request that was not executed.
    pub fn refund(&mut self, tokens: u64) {
        self.level += tokens as f64;
        self.spent.admitted = self.spent.admitted.wrapping_sub(tokens);
    }

    /// Applies the requests and admissions that another host has reported.
    pub fn apply_remote(&mut self, share: Share, change: TokenDelta) {
        self.level -= change.admitted as f64;
        self.add_demand(share, change.asked);
    }

    /// Probability with which to admit a request, so that all hosts together admit no more
    /// than what is left until they receive each other's reports.
    pub fn admission_probability(&self, share: Share) -> f64 {
        let expected = (share.lag * LOOKAHEAD_LAGS).as_secs_f64() * self.peak_demand;
        if self.level >= expected { 1.0 } else { (self.level / expected).max(0.0) }
    }

    /// Whether the fullness has differed from `reported`, that of other hosts, for longer than
    /// the lag explains.
    pub fn has_drifted(
        &mut self,
        now: Instant,
        share: Share,
        reported: f64,
        capacity: f64,
    ) -> bool {
        if (self.fullness(capacity) - reported).abs() <= DRIFT_TOLERANCE {
            self.drift_start = None;
            return false;
        }
        let since = *self.drift_start.get_or_insert(now);
        let min_time = (share.lag * DRIFT_LAGS).max(MIN_DRIFT_TIME);
        now.saturating_duration_since(since) >= min_time
    }

    /// Sets the level to a fraction of the capacity.
    pub fn set_fullness(&mut self, fullness: f64, capacity: f64) {
        self.level = fullness.min(1.0) * capacity;
        self.drift_start = None;
    }

    /// Totals of this host, with the fullness of the bucket if `settled`.
    pub fn spent(&self, settled: bool) -> TokenCounts {
        TokenCounts { fullness: settled.then_some(self.last_fullness as f32), ..self.spent }
    }
}

fn averaging_time(share: Share) -> Duration {
    (share.lag * LOOKAHEAD_LAGS).max(MIN_AVERAGING_TIME)
}
