//! Retry budget of a service, enforced without coordination between hosts.
//!
//! Over all hosts, the retries in any window are limited to a fraction of the requests plus
//! an allowance. Each host limits itself to an equal share of the allowance and a fraction of
//! its own requests, so the sum stays within the limit although hosts exchange nothing.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

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
#[derive(Debug)]
pub struct RetryBudget {
    rules: RepeatRules,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the budget of a host that has sent nothing.
    pub fn new(rules: RepeatRules) -> Self {
        Self { rules, requests: VecDeque::new(), retries: VecDeque::new() }
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

    /// Takes one retry if this host's share among `hosts` hosts permits it.
    pub fn take(&mut self, now: Instant, hosts: usize) -> bool {
        self.drop_expired(now);
        let share = self.rules.allowance / hosts.max(1) as f64;
        let max = share + self.rules.ratio * self.requests.len() as f64;
        if (self.retries.len() + 1) as f64 > max {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retry taken at `taken`, which was not made.
    pub fn put_back(&mut self, taken: Instant) {
        if let Some(index) = self.retries.iter().position(|at| *at == taken) {
            self.retries.remove(index);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let window = self.rules.window;
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| now.duration_since(*at) > window) {
                queue.pop_front();
            }
        }
    }
}
