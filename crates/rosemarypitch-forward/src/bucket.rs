//! One customer's bucket at one host.

use std::time::Duration;

use rosemarypitch_peer::Spent;
use tokio::time::Instant;

use crate::counters::TokenDelta;
use crate::quota::Share;
use crate::site::RateLimit;

/// Least time over which the demand is averaged; a burst is seen within it.
const MIN_DEMAND_TIME: Duration = Duration::from_millis(500);
/// Multiple of the lag for which the demand is looked ahead: hosts that answer to what they
/// hear late would else all admit together and all refuse together.
const LAGS_AHEAD: u32 = 2;
/// Time in which the demand that is reckoned with falls: where others are not heard for a
/// moment, their demand must not seem to be gone before that is known.
const FALL_TIME: Duration = Duration::from_secs(2);
/// Part of a full bucket by which buckets of different hosts may differ: what is admitted
/// within the lag.
const APART_PART: f64 = 0.3;
/// Least time for which a bucket is apart before that counts.
const MIN_APART_TIME: Duration = Duration::from_secs(1);
/// Multiple of the lag for which a bucket is apart before that counts.
const APART_LAGS: u32 = 3;

/// Tokens that may be admitted now, as one host knows it.
#[derive(Debug)]
pub struct Bucket {
    limit: RateLimit,
    level: f64,
    /// The part of the limit that it stands for.
    part: f64,
    /// How full it was when it was last filled.
    last_fullness: f64,
    /// Tokens a second that callers ask for at all hosts.
    demand: f64,
    /// The same, falling slowly.
    peak: f64,
    filled: Instant,
    /// Since when it differs from those of other hosts.
    apart: Option<Instant>,
    /// What happened here since the process started.
    spent: Spent,
}

impl Bucket {
    /// A bucket with some tokens.
    pub fn new(now: Instant, limit: RateLimit, share: Share, level: f64) -> Self {
        Self {
            limit,
            level,
            part: share.part(),
            last_fullness: 0.0,
            demand: 0.0,
            peak: 0.0,
            filled: now,
            apart: None,
            spent: Spent::default(),
        }
    }

    /// Adds what has come in since the last time.
    pub fn fill(&mut self, now: Instant, limit: RateLimit, share: Share, capacity: f64) {
        let time = now.saturating_duration_since(self.filled).as_secs_f64();
        let gained = self.level + self.limit.rate * self.part * time;
        // A part of a bucket is as full as the whole: hosts that part share what is left.
        self.level = (gained * share.part() / self.part).min(capacity);
        self.part = share.part();
        self.last_fullness = self.level / capacity.max(1.0);
        self.demand *= (-time / demand_time(share).as_secs_f64()).exp();
        self.peak *= (-time / FALL_TIME.as_secs_f64()).exp();
        self.filled = now;
        self.limit = limit;
    }

    /// Tokens that may be admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Tokens a second that callers are reckoned to ask for at all hosts.
    pub fn peak_demand(&self) -> f64 {
        self.peak
    }

    /// Part of a full bucket; negative if too much was admitted.
    pub fn fullness(&self, capacity: f64) -> f64 {
        self.level / capacity.max(1.0)
    }

    /// Counts what a caller asks for.
    pub fn ask(&mut self, share: Share, tokens: u64) {
        self.spent.asked = self.spent.asked.wrapping_add(tokens);
        self.add_demand(share, tokens);
    }

    fn add_demand(&mut self, share: Share, tokens: u64) {
        self.demand += tokens as f64 / demand_time(share).as_secs_f64();
        self.peak = self.peak.max(self.demand);
    }

    /// Takes tokens.
    pub fn admit(&mut self, tokens: u64) {
        self.level -= tokens as f64;
        self.spent.admitted = self.spent.admitted.wrapping_add(tokens);
    }

    /// Gives tokens back.
    pub fn give_back(&mut self, tokens: u64) {
        self.level += tokens as f64;
        self.spent.admitted = self.spent.admitted.wrapping_sub(tokens);
    }

    /// Counts what happened at other hosts.
    pub fn heard(&mut self, share: Share, told: TokenDelta) {
        self.level -= told.admitted as f64;
        self.add_demand(share, told.asked);
    }

    /// Chance of a request, so that all hosts together admit what is left in the time in
    /// which they do not hear of it.
    pub fn chance(&self, share: Share) -> f64 {
        let ahead = (share.lag * LAGS_AHEAD).as_secs_f64() * self.peak;
        if self.level >= ahead { 1.0 } else { (self.level / ahead).max(0.0) }
    }

    /// Whether it has differed from those of other hosts for longer than lag explains.
    pub fn is_apart(&mut self, now: Instant, share: Share, told: f64, capacity: f64) -> bool {
        if (self.fullness(capacity) - told).abs() <= APART_PART {
            self.apart = None;
            return false;
        }
        let since = *self.apart.get_or_insert(now);
        let patience = (share.lag * APART_LAGS).max(MIN_APART_TIME);
        now.saturating_duration_since(since) >= patience
    }

    /// Makes it as full as those of other hosts.
    pub fn set_fullness(&mut self, fullness: f64, capacity: f64) {
        self.level = fullness.min(1.0) * capacity;
        self.apart = None;
    }

    /// What happened here, and how full the bucket is, if that is worth telling.
    pub fn spent(&self, settled: bool) -> Spent {
        Spent { fullness: settled.then_some(self.last_fullness as f32), ..self.spent }
    }
}

fn demand_time(share: Share) -> Duration {
    (share.lag * LAGS_AHEAD).max(MIN_DEMAND_TIME)
}
