//! Retry budget of a service, enforced without coordination between hosts.
//!
//! Over all hosts, the retries in any window are limited to a fraction of the requests plus
//! an allowance. Each host limits itself to an equal share of the allowance and a fraction of
//! its own requests, so the sum stays within the limit although hosts exchange nothing.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time within which a sent retry arrives, on a link that loses packets too.
const MAX_TRANSIT: Duration = Duration::from_millis(500);

/// Limits on the retries of all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatRules {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to the ratio, per window.
    pub allowance: f64,
    /// Length of the window in which retries are counted.
    pub window: Duration,
}

/// Retry budget of one host for one service.
///
/// A retry is counted when it is sent. Between its permission and its sending it may wait in
/// a queue for seconds; until then it is counted as pending.
#[derive(Debug)]
pub struct RetryBudget {
    rules: RepeatRules,
    /// Until when the allowance is withheld.
    withheld_until: Option<Instant>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    /// Number of permitted retries that are not sent yet.
    pending: usize,
}

impl RetryBudget {
    /// Creates the budget of a host that has sent nothing.
    pub fn new(rules: RepeatRules) -> Self {
        let (requests, retries) = (VecDeque::new(), VecDeque::new());
        Self { rules, withheld_until: None, requests, retries, pending: 0 }
    }

    /// Creates the budget of a host that started at `start` while others were running. It may
    /// have spent its share of the allowance in the window before.
    pub fn restarted(rules: RepeatRules, start: Instant) -> Self {
        Self { withheld_until: Some(start + rules.window), ..Self::new(rules) }
    }

    /// Changes the limits.
    pub fn set_rules(&mut self, rules: RepeatRules) {
        self.rules = rules;
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Permits one retry if this host's share among `hosts` hosts allows it. The retry is
    /// pending until [`Self::send`] or [`Self::cancel`] is called for it.
    pub fn permit(&mut self, now: Instant, hosts: usize) -> bool {
        let max = self.max(now, hosts);
        self.permit_within(max)
    }

    /// Permits one attempt that counts as a retry only if it fails.
    ///
    /// A host whose share is less than one retry may still have one such attempt at a time.
    pub fn permit_first(&mut self, now: Instant, hosts: usize) -> bool {
        let max = self.max(now, hosts).max(1.0);
        self.permit_within(max)
    }

    fn max(&mut self, now: Instant, hosts: usize) -> f64 {
        self.drop_expired(now);
        let withheld = self.withheld_until.is_some_and(|end| now < end);
        let allowance = if withheld { 0.0 } else { self.rules.allowance };
        allowance / hosts.max(1) as f64 + self.rules.ratio * self.requests.len() as f64
    }

    fn permit_within(&mut self, max: f64) -> bool {
        let permitted = (self.retries.len() + self.pending + 1) as f64 <= max;
        self.pending += usize::from(permitted);
        permitted
    }

    /// Counts a permitted retry as sent.
    pub fn send(&mut self, now: Instant) {
        self.pending = self.pending.saturating_sub(1);
        self.retries.push_back(now);
    }

    /// Returns a permission that was not used.
    pub fn cancel(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    fn drop_expired(&mut self, now: Instant) {
        let window = self.rules.window;
        for (queue, time) in
            [(&mut self.requests, window), (&mut self.retries, window + MAX_TRANSIT)]
        {
            while queue.front().is_some_and(|at| now.saturating_duration_since(*at) > time) {
                queue.pop_front();
            }
        }
    }
}
